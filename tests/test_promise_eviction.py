"""A load is never evicted while a request runs on it."""

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

SEED = 20261204
TOKENS = (1, 150)
# Two slots for six adapters, so that loads need evictions.
FEW_SLOTS = (*FAST_ENGINE, '--slots', '2')


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(
        data_centres=('north', 'south'),
        instances=2,
        engine_args=FEW_SLOTS,
        further_args={'north': ('--no-fencing',)},
        proxied=('instance',),
    )
    return Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()


def wait_for_evictions(trial, count):
    goal = len(trial.evictions()) + count
    wait_until(lambda: len(trial.evictions()) >= goal, 20, 'evictions')


def hot_adapters(trial):
    wait_for_evictions(trial, 10)


def owner_paused(trial):
    """Pause the owner until another instance has taken over."""
    engine = trial.dep.engines[0]
    owner, version = owner_of(trial, engine), owner_version(trial, engine)
    trial.runner.pause(owner)
    trial.lapse_leases()
    wait_until(lambda: owner_version(trial, engine) > version, 20, 'takeover')
    trial.runner.resume(owner)
    wait_for_evictions(trial, 6)


def owner_killed(trial):
    engine = trial.dep.engines[0]
    owner, version = owner_of(trial, engine), owner_version(trial, engine)
    trial.runner.kill(owner)
    trial.lapse_leases()
    trial.runner.restart(owner)
    wait_until(lambda: owner_version(trial, engine) > version, 20, 'takeover')
    wait_for_evictions(trial, 6)


def instances_replaced(trial):
    """Restart all programs of a data centre, which lose their state."""
    engine = trial.dep.engines[0]
    version = owner_version(trial, engine)
    names = [
        each.name
        for each in (*trial.dep.controllers, *trial.dep.entries)
        if each.data_centre == engine.data_centre
    ]
    for name in names:
        trial.runner.kill(name)
    trial.lapse_leases()
    for name in names:
        trial.runner.restart(name)
    wait_until(lambda: owner_version(trial, engine) > version, 20, 'takeover')
    wait_for_evictions(trial, 4)


def entry_killed(trial):
    entry = trial.dep.entries[0].name
    wait_for_evictions(trial, 2)
    trial.runner.kill(entry)
    trial.runner.restart(entry)
    wait_for_evictions(trial, 6)


def links_cut(trial):
    """Cut both links between the owner and its data centre's other instance."""
    owner = owner_of(trial, trial.dep.engines[0])
    other = next(
        each.name
        for each in trial.dep.controllers
        if each.data_centre == 'north' and each.name != owner
    )
    pairs = ((owner, other), (other, owner))
    trial.dep.links.cut(*pairs)
    wait_for_evictions(trial, 2)
    trial.dep.links.heal(*pairs)
    wait_for_evictions(trial, 6)


def visitors_cut(trial):
    """Cut the data centres off from each other beyond a use lease."""
    names = [each.name for each in trial.dep.controllers]
    pairs = [
        (source, target)
        for source in names
        for target in names
        if source.split('-')[0] != target.split('-')[0]
    ]
    trial.dep.links.cut(*pairs)
    wait_for_evictions(trial, 6)
    trial.dep.links.heal(*pairs)
    wait_for_evictions(trial, 2)


@pytest.mark.parametrize(
    'provoke',
    [
        hot_adapters,
        owner_paused,
        owner_killed,
        instances_replaced,
        entry_killed,
        links_cut,
        visitors_cut,
    ],
    ids=lambda each: each.__name__,
)
def test_eviction(trial, provoke):
    make = partial(any_adapter, tokens=TOKENS)
    with Traffic(trial, 10, make, SEED) as traffic:
        traffic.wait_for(5)
        provoke(trial)
        traffic.wait_for(5)
    evicted = [each for each in trial.evictions() if each['in_progress']]
    assert not evicted
    assert not trial.evicted_in_progress()
    assert not trial.repeated_load_names()
    assert check_answers(trial, traffic.answers)
