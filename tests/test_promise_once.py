"""A call with an idempotency key runs at most once, wherever it is sent."""

import pytest
from claim_parts import at_once, order, runs
from promise_parts import Trial, small_shape

from emulator.waiting import wait_until


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(services=1)
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    # Enough keys to reach every key range, each of which has an owner.
    for number in range(100):
        wait_until(
            lambda: (
                order(
                    started, started.dep.entries[number % 2], f'first-{number}'
                ).completed
            ),
            20,
            'owners of the claims',
        )
    return started


def test_repeat_gets_the_answer(trial):
    first, second = (
        order(trial, entry, 'again') for entry in trial.dep.entries
    )
    assert first.completed
    assert second.completed
    assert second.body == first.body
    assert runs(trial, 'again') == 1


def nothing(trial):
    """Inject no fault."""


def swaps_lost(trial):
    """Claims take effect in the store, but its answers are lost."""
    trial.fault(trial.dep.kv, drop_swaps=2, drop_prefix='claims/')


def service_dies(trial):
    for service in trial.dep.services:
        trial.fault(service, kind='die', point='after_run', count=1)


def store_down(trial):
    trial.fault(trial.dep.kv, refuse=True)


@pytest.mark.parametrize(
    'provoke',
    [nothing, swaps_lost, service_dies, store_down],
    ids=lambda each: each.__name__,
)
def test_once(trial, provoke):
    key = provoke.__name__
    provoke(trial)
    answers = at_once(trial, key, trial.dep.entries)
    trial.fault(trial.dep.kv, refuse=False, drop_swaps=0, drop_prefix='')
    # Later repeats, through both data centres.
    for _ in range(2):
        answers.extend(order(trial, entry, key) for entry in trial.dep.entries)
    if provoke is swaps_lost:
        assert trial.ask(trial.dep.kv, '/stats')['dropped']
    count = runs(trial, key)
    assert count <= 1
    outcomes = {answer.outcome for answer in answers if answer.is_complete}
    if count == 0:
        assert outcomes == {'not-run'}
    bodies = {each.body for each in answers if each.status == 200}
    assert len(bodies) <= count
    if provoke is nothing:
        assert count == 1
        assert bodies
