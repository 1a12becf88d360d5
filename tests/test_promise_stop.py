"""A planned stop cuts no answer, and a leaving server gets no new request."""

import threading

import pytest
from caller_parts import (
    ADAPTERS,
    Traffic,
    any_adapter,
    check_answers,
    model_document,
)
from promise_parts import SHORT_TIMES, owner_of, start_trial

from emulator.waiting import wait_until

SEED = 20261206
#: Tokens of a stream that takes 1 to 4 s, depending on the machine's load.
STREAM_TOKENS = 700
#: Streams end within this limit even on a busy machine, so that only the stop
#: can cut one off.
TIMES = {**SHORT_TIMES['servers'], 'max_request_s': 15}


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    return start_trial(
        runner,
        tmp_path_factory,
        data_centres=('north',),
        instances=2,
        engines=2,
        services=2,
        settings={**SHORT_TIMES, 'servers': TIMES},
    )


class Streams:
    """Long streams through an entry, all of which have begun on return."""

    def __init__(self, trial, entry, count):
        self.answers = []
        self._begun = threading.Semaphore(0)
        self._trial = trial
        self._threads = [
            threading.Thread(target=self._run, args=(entry, number))
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()
        for _ in self._threads:
            assert self._begun.acquire(timeout=10)

    def join(self):
        for thread in self._threads:
            thread.join(20)
        return self.answers

    def _run(self, entry, number):
        document = model_document(
            ADAPTERS[number % 3], tokens=STREAM_TOKENS, text=f'stream {number}'
        )
        answer = self._trial.call(entry, document, on_chunk=self._on_chunk)
        self.answers.append(answer)

    def _on_chunk(self, chunks):
        if chunks == 1:
            self._begun.release()
        return False


def wait_and_restart(trial, name):
    exit_code = trial.runner.wait(name)
    trial.runner.restart(name)
    return exit_code


def test_entry_stops_under_streams(trial):
    entry, other = trial.dep.entries
    with Traffic(trial, 3, any_adapter, SEED, [other]) as traffic:
        streams = Streams(trial, entry, 6)
        trial.runner.terminate(entry.name)
        wait_until(lambda: not trial.is_ready(entry), 5, 'not ready')
        refused = trial.call(entry, model_document(ADAPTERS[0]))
        answers = streams.join()
        assert wait_and_restart(trial, entry.name) == 0
        wait_until(lambda: trial.is_ready(entry), 10, 'ready again')
    assert refused.status in {0, 503}
    assert refused.status == 0 or refused.outcome == 'not-run'
    assert check_answers(trial, answers) == answers
    others = [answer for answer in traffic.answers if answer.status == 200]
    assert others
    assert check_answers(trial, others) == others


def test_controller_stops_under_streams(trial):
    """Another instance takes over quickly, and streams continue."""
    engine = trial.dep.engines[0]
    owner = owner_of(trial, engine)
    streams = Streams(trial, trial.dep.entries[0], 6)
    trial.runner.terminate(owner)
    wait_until(
        lambda: owner_of(trial, engine) not in {owner, ''}, 10, 'takeover'
    )
    answers = streams.join()
    assert wait_and_restart(trial, owner) == 0
    assert check_answers(trial, answers) == answers


def test_rolling_stop(trial):
    """Every program stops in turn; no answer is cut off or lost."""
    with Traffic(trial, 6, any_adapter, SEED) as traffic:
        for place in (*trial.dep.entries, *trial.dep.controllers):
            traffic.wait_for(5)
            trial.runner.terminate(place.name)
            assert wait_and_restart(trial, place.name) == 0
        for entry in trial.dep.entries:
            wait_until(lambda: trial.is_ready(entry), 10, 'ready again')
        traffic.wait_for(5)
    cut = [
        each for each in traffic.answers if each.status and not each.is_complete
    ]
    assert not cut
    outcomes = {each.outcome for each in traffic.answers if each.status}
    assert outcomes <= {'completed', 'not-run'}
    check_answers(trial, traffic.answers)


def set_state(trial, place, state):
    for each in {*trial.dep.lists.values()}:
        trial.ask(each, '/state', {'id': place.name, 'state': state})


@pytest.mark.parametrize('kind', ['engine', 'service'])
def test_leaving_server(trial, kind):
    """A server gets nothing new from 5 s after it is listed as leaving."""
    places = trial.dep.engines if kind == 'engine' else trial.dep.services
    leaving = places[0]

    def served(place):
        log = trial.log(place)['log']
        if kind == 'service':
            return len(log)
        return sum(
            entry['event'] in {'request', 'load'} for entry in log
        ) + sum(trial.log(place)['in_progress'].values())

    def send(count):
        for number in range(count):
            if kind == 'service':
                answer = trial.call(
                    trial.dep.entries[number % 2], {'n': 1}, path='/orders'
                )
            else:
                adapter = ADAPTERS[number % len(ADAPTERS)]
                entry = trial.dep.entries[number % 2]
                answer = trial.call(entry, model_document(adapter))
            assert answer.completed, answer

    send(12)
    set_state(trial, leaving, 'leaving')
    counts = []

    def settled():
        counts.append(served(leaving))
        send(6)
        return served(leaving) == counts[-1]

    wait_until(settled, 5, 'nothing new within 5 s')
    before = served(leaving)
    send(30)
    assert served(leaving) == before
    set_state(trial, leaving, 'live')
