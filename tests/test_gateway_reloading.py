"""Reload of settings while requests are running."""

import asyncio

import pytest
from gateway_parts import running_gateway, settings_at
from raw_caller import ask, body_of, request, status_of
from scripted_server import ScriptedServer, answer

from wasabicross.gateway import settings_reload
from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.retry_budgets import RetryBudgets
from wasabicross.gateway.settings import Address
from wasabicross.gateway.settings_reload import settings_change
from wasabicross.gateway.view import FleetView

CFG = settings_at(1, 2, 3)


@pytest.mark.parametrize(
    ('changes', 'taken', 'waiting'),
    [
        ({}, (), ()),
        ({'seeds': ('10.0.0.1',)}, ('seeds',), ()),
        (
            {'retry_ratio': 0.1, 'retry_slack': 5},
            ('retry_ratio', 'retry_slack'),
            (),
        ),
        ({'grace_s': 20}, ('grace_s',), ()),
        # Other gateways may rely on these.
        ({'holder_gap_s': 1}, (), ('holder_gap_s',)),
        ({'callers': Address('10.0.0.9', 1)}, (), ('callers',)),
        ({'instance': 'other', 'grace_s': 20}, ('grace_s',), ('instance',)),
        # Only the start of a process is told by this field.
        ({'is_first_start': True}, (), ()),
    ],
)
def test_what_takes_effect(changes, taken, waiting):
    change = settings_change(CFG, CFG._replace(**changes))
    assert change.taken == taken
    assert change.waiting == waiting
    in_force = {name: changes[name] for name in taken}
    assert change.cfg == CFG._replace(**in_force)


@pytest.fixture
def logged(monkeypatch):
    """Collect the logged events of the gateway with their fields."""
    lines = []
    monkeypatch.setattr(
        settings_reload,
        'log_event',
        lambda event, **fields: lines.append((event.name, fields)),
    )
    return lines


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
@pytest.mark.parametrize('has_fault', [False, True])
def test_nothing_is_cut_or_sent_twice_around_a_reload(logged, path, has_fault):
    def read():
        if has_fault:
            raise DocumentUnreadable('settings: zone: missing')
        return CFG._replace(retry_slack=7)

    sent = [request(path, b'x', Request_Id=f'r{number}') for number in range(4)]

    async def scenario():
        server = ScriptedServer([0.3, answer(b'the answer')])
        async with running_gateway([server], read_settings=read) as bench:
            pending = [
                asyncio.ensure_future(ask(bench.port, each))
                for each in sent[:3]
            ]
            for _ in range(10):
                bench.gateway.settings.reload()
                await asyncio.sleep(0.02)
            received = [await each for each in pending]
            received.append(await ask(bench.port, sent[3]))
        return received, server

    received, server = asyncio.run(scenario())
    assert [status_of(each) for each in received] == [200] * 4
    assert {body_of(each) for each in received} == {b'the answer'}
    assert len(server.seen) == 4
    reloads = [line for line in logged if line[0].startswith('SETTINGS')]
    if has_fault:
        kept = ('SETTINGS_KEPT', {'reason': 'settings: zone: missing'})
        assert reloads == [kept] * 10
    else:
        assert reloads[0][1]['taken'] == ('retry_slack',)
        assert all(not line[1]['taken'] for line in reloads[1:])


def test_a_change_without_a_signal_is_noticed_once(logged, monkeypatch):
    monkeypatch.setattr(settings_reload, '_CHECK_INTERVAL_S', 0.05)
    read = {'cfg': None}

    def read_settings():
        if read['cfg'] is None:
            raise DocumentUnreadable('settings: no JSON')
        return read['cfg']

    async def scenario():
        async with running_gateway([], read_settings=read_settings) as bench:
            await asyncio.sleep(0.3)
            read['cfg'] = bench.gateway.settings.cfg
            await asyncio.sleep(0.3)
            read['cfg'] = read['cfg']._replace(grace_s=20, host='10.0.0.9')
            await asyncio.sleep(0.3)
            return bench.gateway.settings.cfg.grace_s

    assert asyncio.run(scenario()) == 20
    taken = {'taken': ('grace_s',), 'waiting': ('host',)}
    assert [line for line in logged if line[0].startswith('SETTINGS')] == [
        ('SETTINGS_KEPT', {'reason': 'settings: no JSON'}),
        ('SETTINGS_TAKEN', {'taken': (), 'waiting': ()}),
        ('SETTINGS_TAKEN', taken),
    ]


def retries_left(budgets):
    count = 0
    while budgets.for_service('llm').spend():
        count += 1
    return count


def test_the_slack_is_shared_with_gateways_that_join():
    view = FleetView()
    budgets = RetryBudgets(0.2, 100, view)
    budgets.for_service('llm')
    for number in range(25):
        entry = InstanceEntry(f'front-{number}', '10.0.0.1', 'dc')
        view.instances[entry.instance] = entry
    assert retries_left(budgets) == 2


def test_a_renewed_slack_holds_at_once():
    budgets = RetryBudgets(0.2, 100, FleetView())
    budgets.for_service('llm')
    budgets.set_limits(0.2, 8)
    assert retries_left(budgets) == 4


def test_without_a_ratio_only_the_slack_is_spent():
    budgets = RetryBudgets(0, 8, FleetView())
    for _ in range(1000):
        budgets.for_service('llm').add_request()
    assert retries_left(budgets) == 4
