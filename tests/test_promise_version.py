"""Each request is answered by the version that its bundle names."""

from functools import partial

import pytest
from caller_parts import (
    ADAPTERS,
    Traffic,
    any_adapter,
    check_answers,
    model_document,
)
from promise_parts import FAST_ENGINE, start_trial

from emulator.waiting import wait_until

SEED = 20261203


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    return start_trial(
        runner,
        tmp_path_factory,
        engine_args=(*FAST_ENGINE, '--slots', '8'),
    )


def roll_next(trial):
    number = len(trial.versions) + 1
    return trial.roll(dict.fromkeys(ADAPTERS, str(number)))


def plain_roll(trial, traffic):
    trial.wait_in_force(roll_next(trial))


def slow_load_of_the_old_version(trial, traffic):
    """Delay the old version's load beyond the new one's."""
    for engine in trial.dep.engines:
        trial.fault(engine, kind='slow_loads', count=2, delay_ms=1500)
    roll_next(trial)
    traffic.wait_for(3)
    trial.wait_in_force(roll_next(trial))


def engines_restart_empty(trial, traffic):
    for engine in trial.dep.engines:
        trial.fault(engine, kind='restart_empty')
    trial.wait_in_force(roll_next(trial))


def loads_fail(trial, traffic):
    for engine in trial.dep.engines:
        trial.fault(engine, kind='fail_loads', count=3)
    trial.wait_in_force(roll_next(trial))


def rolls_in_a_row(trial, traffic):
    for _ in range(3):
        number = roll_next(trial)
    trial.wait_in_force(number)


@pytest.mark.parametrize(
    'provoke',
    [
        plain_roll,
        slow_load_of_the_old_version,
        engines_restart_empty,
        loads_fail,
        rolls_in_a_row,
    ],
    ids=lambda each: each.__name__,
)
def test_version(trial, provoke):
    with Traffic(trial, 6, any_adapter, SEED) as traffic:
        traffic.wait_for(20)
        provoke(trial, traffic)
        traffic.wait_for(20)
    completed = check_answers(trial, traffic.answers)
    seen = {answer.bundle for answer in completed}
    assert trial.in_force in seen
    assert len(seen) > 1


def is_loading(trial, version):
    return any(
        entry['event'] == 'load'
        and entry['load_name'].startswith(f'{ADAPTERS[1]}@{version}#')
        and 'ended_at' not in entry
        for engine in trial.dep.engines
        for entry in trial.log(engine)['log']
    )


def test_accepted_before_the_roll(trial):
    """A request that waits for its load is answered by its own bundle."""
    for engine in trial.dep.engines:
        trial.fault(engine, kind='restart_empty')
        trial.fault(engine, kind='slow_loads', count=1, delay_ms=1500)
    before = trial.in_force
    make = partial(model_document, ADAPTERS[1])
    with Traffic(trial, 1, lambda rng: make(), SEED) as traffic:
        version = trial.versions[before][ADAPTERS[1]]
        wait_until(lambda: is_loading(trial, version), 10, 'slow load')
        trial.wait_in_force(roll_next(trial))
        traffic.wait_for(2)
    completed = check_answers(trial, traffic.answers)
    assert completed[0].bundle == before
    assert completed[-1].bundle == trial.in_force
