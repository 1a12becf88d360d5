"""Keyed calls run at most once when instances die or ranges change owners."""

import threading
from functools import partial
from itertools import islice

import pytest
from claim_parts import (
    Copies,
    at_once,
    check_once,
    is_logged,
    is_settled,
    keys_of,
    order,
    range_owner,
    runs,
    segments,
)
from promise_parts import SHORT_TIMES, Trial, small_shape

from emulator.waiting import wait_until

#: A write to the log contains the whole last segment. With a segment of such a
#: size, the write is recognised by its size among the requests to the service.
SEGMENT_BYTES = range(1_000, 14_000)
#: Beginning of requests that read a key of the key-value service.
READ = 'GET /v1/key'
OWNERS_S = 30


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(
        instances=2,
        services=1,
        proxied=('instance', 'kv', 'service'),
        # A single range is never transferred just to balance ranges.
        settings={**SHORT_TIMES, 'claims': {'ranges': 1}},
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


@pytest.fixture
def owned(trial):
    """Wait until every entry reaches the range's owner.

    Afterwards remove the faults of links that a failed test may have left.
    """
    for entry in trial.dep.entries:
        keys = keys_of(0, f'owned-{entry.name}-{trial.next_number()}')
        wait_until(
            lambda keys=keys, entry=entry: completes(trial, entry, keys),
            OWNERS_S,
            f'an owner for {entry.name}',
        )
    yield
    for entry in trial.dep.entries:
        instance = trial.dep.instance_of(entry.name)
        for target in (trial.dep.kv, *trial.dep.services):
            trial.dep.links.heal((instance, target.name))


def completes(trial, entry, keys):
    """Send an order; if it completes, wait until its outcome is in the log.

    The caller gets the outcome while it is being written, and a log does one
    write at a time: holding bytes before its end would delay that write too.
    """
    key = next(keys)
    if not order(trial, entry, key).completed:
        return False
    wait_until(lambda: is_settled(trial, 0, key), OWNERS_S, 'the outcome')
    return True


class RangeOwner:
    """The instance that owns the range of keys, and its entry."""

    def __init__(self, trial):
        self.trial = trial
        self.range = 0
        self.name = wait_until(lambda: range_owner(trial, 0), OWNERS_S, 'owner')
        self.others = [
            entry
            for entry in trial.dep.entries
            if trial.dep.instance_of(entry.name) != self.name
        ]
        (self.entry,) = {*trial.dep.entries} - {*self.others}

    def hold(self, kind, direction, text=''):
        """Hold bytes to or from all processes of a kind until `heal`."""
        for target in self._targets(kind):
            self.trial.dep.links.fault(
                self.name, target, hold=[direction], hold_text=text
            )

    def undelivered(self, kind, direction='up'):
        """Count the bytes that the links have not delivered yet."""
        return sum(
            self.trial.dep.links.count(self.name, target, direction, 'waiting')
            for target in self._targets(kind)
        )

    def complete_call(self, stem):
        """Complete a call and wait for the answer to the write of its outcome.

        A log does one write at a time, so holding that answer would delay the
        next write too.
        """
        assert completes(self.trial, self.entry, keys_of(self.range, stem))
        wait_until(lambda: not self.undelivered('kv', 'down'), 10, 'the answer')

    def heal(self):
        """Deliver held bytes and wait until the links have none left."""
        for kind in ('kv', 'service'):
            for target in self._targets(kind):
                self.trial.dep.links.heal((self.name, target))
            wait_until(
                lambda kind=kind: not self.undelivered(kind), 10, 'delivery'
            )

    def kill(self, programs):
        for name in programs:
            self.trial.runner.kill(name)

    def restart(self, programs):
        for name in programs:
            self.trial.runner.restart(name)

    def _targets(self, kind):
        if kind == 'kv':
            return [self.trial.dep.kv.name]
        return [service.name for service in self.trial.dep.services]


def claim_on_its_way(instance, key, send):
    """Hold the claim between its owner and the key-value service."""
    trial, number = instance.trial, instance.range
    keys = keys_of(number, f'fill-{key}')
    while len(segments(trial, number)[-1]) not in SEGMENT_BYTES:
        assert completes(trial, instance.entry, keys)
    instance.hold('kv', 'up')
    send()
    wait_until(
        lambda: instance.undelivered('kv') > SEGMENT_BYTES.start, 10, 'write'
    )


def claim_written(instance, key, send):
    """Write the claim to the log, but hold the answer to its owner."""
    instance.complete_call(f'settled-{key}')
    instance.hold('kv', 'down')
    send()
    logged = partial(is_logged, instance.trial, instance.range, key)
    wait_until(logged, 10, 'claim in the log')


def order_on_its_way(instance, key, send):
    """Hold the order between its entry and the service."""
    instance.hold('service', 'up')
    send()
    wait_until(lambda: instance.undelivered('service'), 10, 'order sent')


def order_run(instance, key, send):
    """Run the order, but hold its answer."""
    instance.hold('service', 'down')
    send()
    wait_until(lambda: runs(instance.trial, key), 10, 'order run')


def wait_for_owner(instance, stem):
    """Wait until the other instances reach an owner of the range."""
    keys = keys_of(instance.range, stem)
    wait_until(
        lambda: order(instance.trial, instance.others[0], next(keys)).completed,
        OWNERS_S,
        'an owner of the range',
    )


def whole_instance(instance):
    return (instance.name, instance.entry.name)


def entry_alone(instance):
    return (instance.entry.name,)


def controller_alone(instance):
    return (instance.name,)


@pytest.mark.parametrize(
    'programs_of', [whole_instance, entry_alone, controller_alone]
)
@pytest.mark.parametrize(
    'hold_call',
    [claim_on_its_way, claim_written, order_on_its_way, order_run],
    ids=lambda each: each.__name__,
)
def test_killed(trial, owned, hold_call, programs_of):
    """Held bytes arrive only after the kill and the first repeats."""
    instance = RangeOwner(trial)
    key = next(
        keys_of(instance.range, f'{hold_call.__name__}-{programs_of.__name__}')
    )
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(order(trial, instance.entry, key)),
    )
    hold_call(instance, key, caller.start)
    killed = programs_of(instance)
    instance.kill(killed)
    trial.lapse_leases()
    wait_for_owner(instance, f'{key}-owner')
    answers.extend(at_once(trial, key, instance.others))
    instance.heal()
    answers.extend(at_once(trial, key, instance.others))
    instance.restart(killed)
    caller.join(40)
    wait_until(lambda: trial.is_ready(instance.entry), 10, 'ready again')
    answers.extend(at_once(trial, key, trial.dep.entries))
    check_once(trial, key, answers)


def paused(instance):
    """Pause the owner; it resumes when another instance owns its range."""
    instance.trial.runner.pause(instance.name)


def killed(instance):
    instance.trial.runner.kill(instance.name)


def bring_back(instance, change):
    if change is paused:
        # It can write, but not read that another instance owns its range.
        instance.hold('kv', 'up', READ)
        instance.trial.runner.resume(instance.name)
    else:
        instance.trial.runner.restart(instance.name)


@pytest.mark.parametrize('change', [paused, killed], ids=['paused', 'killed'])
def test_range_changes_its_owner(trial, owned, change):
    """Copies arrive before, during and after it, at the old owner as well."""
    instance = RangeOwner(trial)
    stem = f'changed-{change.__name__}'
    early, late = islice(keys_of(instance.range, stem), 2)
    answers = {early: at_once(trial, early, trial.dep.entries), late: []}
    change(instance)
    waves = [Copies(trial, late, trial.dep.entries)]
    trial.lapse_leases()
    wait_until(
        lambda: range_owner(trial, instance.range) not in {'', instance.name},
        OWNERS_S,
        'another owner',
    )
    new = next(keys_of(instance.range, f'{stem}-new'))
    answers[new] = []
    wait_until(
        lambda: (
            answers[new].append(order(trial, instance.others[0], new))
            or answers[new][-1].completed
        ),
        OWNERS_S,
        'a claim at the new owner',
    )
    # These are queued for the old owner, which reads them first.
    stale = [
        (key, Copies(trial, key, [instance.entry], copies=2))
        for key in (early, late, new)
    ]
    bring_back(instance, change)
    for key in answers:
        stale.append((key, Copies(trial, key, trial.dep.entries)))
    for key, wave in [*((late, wave) for wave in waves), *stale]:
        answers[key].extend(wave.join())
    instance.heal()
    wait_until(lambda: trial.is_ready(instance.entry), 10, 'ready again')
    for key, got in answers.items():
        got.extend(order(trial, entry, key) for entry in trial.dep.entries)
        check_once(trial, key, got)
    assert runs(trial, early) == 1
    assert runs(trial, new) == 1
