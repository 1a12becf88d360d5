"""A former owner's evict order that arrives late ends no request."""

from functools import partial

import pytest
from caller_parts import Traffic, any_adapter, check_answers
from promise_parts import (
    FAST_ENGINE,
    Trial,
    owner_of,
    owner_version,
    small_shape,
)

from emulator.waiting import wait_until

SEED = 20261209
TOKENS = (1, 150)
EVICT_PATH = '/v1/unload_lora_adapter'


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(
        data_centres=('north', 'south'),
        instances=2,
        engine_args=(*FAST_ENGINE, '--slots', '2'),
        further_args={'north': ('--no-fencing',)},
        proxied=('engine',),
    )
    return Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()


def events(trial, engine, event, **fields):
    expected = {'event': event, **fields}
    return [
        entry
        for entry in trial.log(engine)['log']
        if expected.items() <= entry.items()
    ]


def settled_terms(trial, instance, engine):
    lines = trial.runner.log_path(instance).read_text().splitlines()
    return sum(
        '"owner_settled"' in line and f'"{engine.name}"' in line
        for line in lines
    )


@pytest.mark.parametrize('stopped_by', ['paused', 'killed'])
@pytest.mark.parametrize(
    ('data_centre', 'outcomes'),
    [('south', {'stale_fencing_term'}), ('north', {'ok', 'not_loaded'})],
    ids=['fencing', 'no fencing'],
)
def test_late_evict(trial, data_centre, outcomes, stopped_by):
    """The order leaves before the owner stops and arrives after a takeover."""
    links, runner = trial.dep.links, trial.runner
    engine = next(
        each for each in trial.dep.engines if each.data_centre == data_centre
    )
    wait_until(lambda: owner_of(trial, engine), 20, 'an owner')
    old = owner_of(trial, engine)
    entries = [
        entry
        for entry in trial.dep.entries
        if trial.dep.instance_of(entry.name) != old
    ]
    make = partial(any_adapter, tokens=TOKENS)
    with Traffic(trial, 10, make, SEED, entries) as traffic:
        traffic.wait_for(5)
        version = owner_version(trial, engine)
        links.fault(old, engine.name, hold=['up'], hold_text=EVICT_PATH)
        wait_until(
            lambda: links.count(old, engine.name, 'up', 'waiting'),
            20,
            'an evict order on its way',
        )
        if stopped_by == 'paused':
            runner.pause(old)
        else:
            runner.kill(old)
        trial.lapse_leases()
        wait_until(
            lambda: owner_of(trial, engine) not in {'', old}, 20, 'takeover'
        )
        assert owner_version(trial, engine) > version
        new = owner_of(trial, engine)
        before = settled_terms(trial, new, engine)
        if stopped_by == 'paused':
            runner.resume(old)
        else:
            runner.restart(old)
        wait_until(
            lambda: (
                settled_terms(trial, new, engine) > before
                or owner_of(trial, engine) == old
            ),
            20,
            'the new owner knows all loads',
        )
        served = len(events(trial, engine, 'request'))
        wait_until(
            lambda: len(events(trial, engine, 'request')) > served + 3,
            20,
            'requests under the new owner',
        )
        if data_centre == 'south':
            # An engine that checks terms learns the new term from an order.
            wait_until(
                lambda: trial.log(engine)['highest_term'] > version,
                20,
                'an order of the new owner',
            )
        evicts_before = len(events(trial, engine, 'evict'))
        links.heal((old, engine.name))
        wait_until(
            lambda: any(
                entry['term'] <= version
                for entry in events(trial, engine, 'evict')[evicts_before:]
            ),
            20,
            'the late order',
        )
        traffic.wait_for(5)
    late_evicts = [
        entry
        for entry in events(trial, engine, 'evict')[evicts_before:]
        if entry['term'] <= version
    ]
    assert {entry['outcome'] for entry in late_evicts} <= outcomes
    evicted = [each for each in trial.evictions() if each['in_progress']]
    assert not evicted
    assert not trial.evicted_in_progress()
    assert not trial.repeated_load_names()
    assert check_answers(trial, traffic.answers)
