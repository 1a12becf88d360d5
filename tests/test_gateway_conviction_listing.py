"""Operators see what is refused as it crashes servers, and lift it."""

import asyncio
import json

import pytest
from click.testing import CliRunner
from gateway_parts import OK, running_gateway
from mortal_server import MortalServer
from raw_caller import ask, body_of, request, status_of
from scripted_server import HOST

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.conviction_records import CrashKey
from wasabicross.gateway.crashes.conviction_listing import answer_operator
from wasabicross.gateway.crashes.crash_evidence import Crash, CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.programs.cli import main

ONE, TWO = (f'request/{number:032x}' for number in (1, 2))


def sharing_with_convictions():
    """Return what a gateway knows that has convicted a request and a part."""
    evidence = CrashEvidence()
    for number, causes in enumerate(((ONE, 'd4'), (TWO, 'd4'), (ONE,))):
        key = CrashKey(f's{number}', 0)
        evidence.add(Crash(key, 5 + number, frozenset(causes)), 9.0)
    return CrashSharing(evidence)


def test_the_list_tells_which_servers_fell_by_what():
    answer = answer_operator(
        b'GET', '/convictions', sharing_with_convictions(), 10.0
    )
    listed = {
        each['cause']: each for each in json.loads(answer.body)['convictions']
    }
    assert set(listed) == {ONE, 'd4'}
    assert listed[ONE]['kind'] == 'request'
    assert listed[ONE]['servers'] == ['s0', 's2']
    assert listed[ONE]['last_crash_age_s'] == 3
    assert listed['d4']['kind'] == 'part'
    assert listed['d4']['remaining_s'] > 0


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        (b'GET', '/convictions', 200),
        (b'GET', '/convictions/', 200),
        (b'GET', f'/convictions/{ONE}', 405),
        (b'POST', '/convictions', 405),
        (b'DELETE', '/convictions', 405),
        (b'DELETE', f'/convictions/{TWO}', 404),
        (b'DELETE', f'/convictions/{ONE}', 200),
        (b'DELETE', '/convictions/d4', 200),
    ],
)
def test_only_convictions_can_be_lifted(method, path, status):
    answer = answer_operator(method, path, sharing_with_convictions(), now_s())
    assert answer.status == status
    assert json.loads(answer.body)


def test_a_lifted_conviction_is_told_to_other_gateways():
    sharing = sharing_with_convictions()
    told = []
    sharing.to_owners = told.append
    answer_operator(b'DELETE', f'/convictions/{ONE}', sharing, now_s())
    assert [each.parts for each in told] == [(ONE,)]
    assert ONE not in sharing.evidence.convicted()


async def command(*args):
    """Return the output of the command line."""
    runner = CliRunner()
    result = await asyncio.to_thread(
        runner.invoke, main, ['convictions', *args]
    )
    return result.output


def test_the_command_line_lists_and_lifts():

    async def scenario():
        mortals = [
            MortalServer(
                [OK], lambda each: b'/deadly' in each.head, lambda _: [0.02]
            )
            for _ in range(3)
        ]
        async with running_gateway(mortals) as bench:
            url = f'http://{HOST}:{bench.ready_port}'
            before = await command(url)
            await ask(bench.port, request('/safe/deadly'))
            refused = await ask(bench.port, request('/safe/deadly'))
            (cause,) = bench.gateway.crashes.evidence.convicted()
            listed = await command(url)
            lifted = await command(url, '--lift', cause)
            missing = await command(url, '--lift', cause)
            after = json.loads(await command(url, '--json'))
        return before, status_of(refused), listed, lifted, missing, after, cause

    before, refused, listed, lifted, missing, after, cause = asyncio.run(
        scenario()
    )
    assert before == 'nothing is convicted\n'
    assert refused == 422
    assert listed.startswith(f'{cause}  2 crashes')
    assert lifted == f'lifted: {cause}\n'
    assert 'not_found' in missing
    assert after == {'convictions': []}


def test_the_list_is_served_beside_the_metrics():

    async def scenario():
        async with running_gateway([]) as bench:
            return await ask(bench.ready_port, request('/convictions'))

    received = asyncio.run(scenario())
    assert json.loads(body_of(received)) == {'convictions': []}
