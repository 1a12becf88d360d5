"""A key range gets a new owner when its owner dies or loses the store."""

import pytest
from claim_parts import keys_of, order, range_owner
from promise_parts import Trial, small_shape

from emulator.waiting import wait_until

#: As many ranges as instances, so that each instance can own one.
RANGES = 4
OWNERS_S = 40


@pytest.fixture
def trial(runner, tmp_path_factory):
    shape = small_shape(instances=2, services=1, proxied=('instance', 'kv'))
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    yield started
    started.stop()


def owners(trial):
    return [range_owner(trial, number) for number in range(RANGES)]


def are_owned(trial, among):
    return set(owners(trial)) <= among


def dead(trial, instance):
    """Kill an instance, which the list still shows."""
    trial.runner.kill(instance)


def cut_off(trial, instance):
    """Cut an instance off from the key-value service, not from its peers."""
    trial.dep.links.cut((instance, trial.dep.kv.name))


@pytest.mark.parametrize(
    'lose', [dead, cut_off], ids=lambda each: each.__name__
)
def test_range_finds_an_owner(trial, lose):
    names = {each.name for each in trial.dep.controllers}
    wait_until(lambda: are_owned(trial, names), OWNERS_S, 'first owners')
    lost = owners(trial)[0]
    lose(trial, lost)
    trial.lapse_leases()
    remaining = names - {lost}
    # An instance that took a second range may keep it for a minute.
    wait_until(lambda: are_owned(trial, remaining), OWNERS_S, 'other owners')
    entry = next(
        each
        for each in trial.dep.entries
        if not each.name.startswith(f'{lost}-')
    )
    for number in range(RANGES):
        keys = keys_of(number, f'found-{number}', RANGES)
        wait_until(
            lambda keys=keys: order(trial, entry, next(keys)).completed,
            OWNERS_S,
            f'a claim in range {number}',
        )
