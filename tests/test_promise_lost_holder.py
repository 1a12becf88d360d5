"""Repeats of keyed calls whose entry process died or was paused."""

import threading
from functools import partial

import pytest
from promise_parts import SHORT_TIMES, Trial, small_shape

from emulator.waiting import wait_until

#: Far longer than a test takes, so that no claim ends because of its age.
LONG_S = 120
KEYS = tuple(f'lost-{number}' for number in range(8))
SLOW_MS = 4000


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    times = {**SHORT_TIMES['servers'], 'max_request_s': LONG_S}
    shape = small_shape(
        services=1,
        entries=2,
        settings={**SHORT_TIMES, 'servers': times},
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    for number in range(100):
        wait_until(
            lambda key=f'first-{number}': (
                order(started, started.dep.entries[0], key).completed
            ),
            20,
            'owners of the claims',
        )
    return started


def order(trial, entry, key):
    return trial.call(
        entry,
        {'order': key},
        path='/orders',
        headers={'Idempotency-Key': key},
    )


def runs(trial, key):
    return sum(
        trial.log(service)['executions_by_key'].get(key, 0)
        for service in trial.dep.services
    )


class RunningCalls:
    """Keyed calls in threads, which run at a slow service."""

    def __init__(self, trial, entry, keys):
        self.answers = {}
        self.keys = keys
        self._trial = trial
        self._entry = entry
        for service in trial.dep.services:
            trial.fault(service, kind='slow', delay_ms=SLOW_MS)
        self.threads = [
            threading.Thread(target=self._call, args=(key,)) for key in keys
        ]
        for thread in self.threads:
            thread.start()
        wait_until(
            lambda: all(runs(trial, key) for key in keys), 10, 'running calls'
        )

    def join(self):
        for thread in self.threads:
            thread.join(30)
        for service in self._trial.dep.services:
            self._trial.fault(service, kind='slow', delay_ms=0)

    def _call(self, key):
        self.answers[key] = order(self._trial, self._entry, key)


def has_unknown_outcome(trial, entry, key):
    answer = order(trial, entry, key)
    return answer.status == 409 and b'"outcome_unknown"' in answer.body


@pytest.mark.parametrize('restarts', [False, True])
def test_repeat_learns_that_the_holder_died(trial, restarts):
    """Only the dead entry counts as lost: repeats get an unknown outcome."""
    victim, *others = trial.dep.entries
    keys = [f'{key}-{restarts}' for key in KEYS]
    calls = RunningCalls(trial, victim, keys)
    trial.runner.kill(victim.name)
    if restarts:
        trial.runner.restart(victim.name)
    for entry in others:
        for key in keys:
            wait_until(
                partial(has_unknown_outcome, trial, entry, key),
                15,
                f'{key} reported as unknown by {entry.name}',
            )
    calls.join()
    assert [runs(trial, key) for key in keys] == [1] * len(keys)
    if not restarts:
        trial.runner.restart(victim.name)
    wait_until(lambda: trial.is_ready(victim), 15, 'ready again')
    assert order(trial, victim, f'after-{restarts}').completed


def test_a_frozen_holder_is_not_lost(trial):
    """A paused entry continues its call, whose answer is kept."""
    victim, other, *_rest = trial.dep.entries
    calls = RunningCalls(trial, victim, ['frozen'])
    trial.runner.pause(victim.name)
    try:
        answers = [order(trial, other, 'frozen') for _turn in range(5)]
    finally:
        trial.runner.resume(victim.name)
    calls.join()
    for answer in answers:
        assert answer.status == 409
        assert b'"still_running"' in answer.body
    assert calls.answers['frozen'].completed
    repeat = order(trial, other, 'frozen')
    assert repeat.completed
    assert repeat.body == calls.answers['frozen'].body
    assert runs(trial, 'frozen') == 1
