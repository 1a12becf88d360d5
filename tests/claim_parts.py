"""Calls with idempotency keys, their executions and the owners of the keys."""

import threading
from itertools import count

import cbor2
from caller_parts import Answer

from wasabicross.claims.claims import ClaimState, key_digest, range_of
from wasabicross.stores.kv import KeyValueStore

COPIES = 8
TENANT = 'agents'


def order(trial, entry, key) -> Answer:
    """Send one order under an idempotency key."""
    return trial.call(
        entry,
        {'order': key},
        path='/orders',
        headers={'Idempotency-Key': key},
    )


class Copies:
    """Copies of one order that threads send at the same time."""

    def __init__(self, trial, key, entries, copies=COPIES):
        self.answers: list[Answer] = []
        self._gate = threading.Barrier(copies)
        self._threads = [
            threading.Thread(
                target=self._send,
                args=(trial, entries[number % len(entries)], key),
            )
            for number in range(copies)
        ]
        for thread in self._threads:
            thread.start()

    def join(self):
        for thread in self._threads:
            thread.join(40)
        return self.answers

    def _send(self, trial, entry, key):
        self._gate.wait(10)
        self.answers.append(order(trial, entry, key))


def at_once(trial, key, entries):
    """Send copies of an order at the same time and return their answers."""
    return Copies(trial, key, entries).join()


def runs(trial, key):
    """Return how often the order of a key was executed."""
    return executions(trial, 'executions_by_key', key)


def executions(trial, field, name):
    return sum(
        trial.log(service)[field].get(name, 0) for service in trial.dep.services
    )


def range_owner(trial, number):
    """Return the id of the instance that owns a range, or an empty string."""
    present = KeyValueStore(trial.dep.kv.url, 2).get(f'claims/{number}/owner')
    value = present.ok.value
    return cbor2.loads(value)[0] if value else ''


def keys_of(number, stem, ranges=1):
    """Yield keys that fall into one range.

    :param ranges: how many ranges there are.
    """
    for suffix in count():
        if range_of(TENANT, f'{stem}-{suffix}', ranges) == number:
            yield f'{stem}-{suffix}'


def segments(trial, number):
    """Return the stored segments of the log of a range."""
    store = KeyValueStore(trial.dep.kv.url, 2)
    head = store.get(f'claims/{number}/head').ok.value
    found = []
    for seq in count(int(head or b'0')):
        value = store.get(f'claims/{number}/{seq:012}').ok.value
        if value is None:
            return found
        found.append(value)


def states_of(trial, number, key):
    """Return the states of a key that the log of a range holds."""
    digest = key_digest(TENANT, key)
    return {
        ClaimState(record[0])
        for segment in segments(trial, number)
        for record in cbor2.loads(segment)[1]
        if record[1] == digest
    }


def is_logged(trial, number, key):
    """Return whether the log of a range holds a claim of a key."""
    return bool(states_of(trial, number, key))


def is_settled(trial, number, key):
    """Return whether the log of a range holds the outcome of a key."""
    return bool(states_of(trial, number, key) - {ClaimState.CLAIMED})


def check_once(trial, key, answers):
    """Check that an order ran at most once and that all answers are true."""
    ran = runs(trial, key)
    assert ran <= 1
    bodies = {each.body for each in answers if each.completed}
    assert len(bodies) <= ran
    for answer in answers:
        if answer.outcome == 'not-run':
            request_id = answer.request_id
            assert not executions(trial, 'executions_by_request', request_id)
        if answer.outcome == 'completed':
            assert ran == 1
    return ran
