"""Whole requests that crash each server that begins to run them."""

import asyncio
import itertools

import pytest
from gateway_parts import OK, running_gateway
from mortal_server import MortalServer
from raw_caller import ask, request, status_of
from scripted_server import STREAM_END, STREAM_HEAD, chunk, events

from wasabicross.gateway.crashes import crash_evidence

#: Time that a server works before its process ends.
WORK_S = 0.02

#: What a server sends before its process ends, by the moment at which it does.
BEGUN = {
    'before the head': [WORK_S],
    'after the head': [STREAM_HEAD, WORK_S],
    'after an event': [STREAM_HEAD, chunk(events(1, 1)), WORK_S],
}
SOUND_STREAM = [STREAM_HEAD, chunk(events(1, 3)), STREAM_END]


def is_deadly(received):
    """Tell whether a received request is the deadly one."""
    return b'/deadly' in received.head


def sent(kind, name='deadly', number=0, **fields):
    """Return one of the copies of a request."""
    return request(
        f'/{kind}/{name}', b'x', Request_Id=f'{name}{number}', **fields
    )


def play(kind, requests, servers=5, **how):
    """Send requests one after the other; return the answers and crashes."""
    is_stream = 'stream' in kind

    async def scenario():
        script = SOUND_STREAM if is_stream else [OK]
        mortals = [
            MortalServer(script, is_deadly, **how) for _ in range(servers)
        ]
        answers = []
        service = 'llm' if is_stream else 'desk'
        async with running_gateway(mortals, service=service) as bench:
            for each in requests:
                answers.append(await ask(bench.port, each))
                await asyncio.sleep(crash_evidence.SEPARATE_S)
        return answers, sum(each.deadly for each in mortals)

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('kind', 'moment'),
    [
        ('safe', 'before the head'),
        ('unsafe', 'before the head'),
        *itertools.product(('streaming', 'stream-resumable'), BEGUN),
    ],
)
def test_a_request_that_comes_again_crashes_no_more_than_two_servers(
    kind, moment
):
    """Each copy crashed one or two more servers, as it has no prompt parts."""
    copies = [sent(kind, number=number) for number in range(6)]
    answers, crashed = play(kind, copies, begun=BEGUN[moment])
    assert crashed == 2
    assert status_of(answers[-1]) == 503


@pytest.mark.parametrize('kind', ['safe', 'stream-resumable'])
def test_other_requests_of_the_route_are_served_beside_it(kind):
    """A conviction of all that was under way would refuse them too."""
    requests = [
        each
        for number in range(4)
        for each in (
            sent(kind, number=number),
            sent(kind, 'sound', number),
            sent(kind, f'sound{number}'),
        )
    ]
    answers, crashed = play(kind, requests, begun=[WORK_S])
    assert crashed == 2
    sound = [each for number, each in enumerate(answers) if number % 3]
    assert {status_of(each) for each in sound} == {200}


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'stream-resumable'])
def test_servers_that_break_off_answers_convict_no_request(kind):
    copies = [sent(kind, number=number) for number in range(4)]
    answers, crashed = play(kind, copies, begun=[WORK_S], ends=False)
    assert crashed >= len(copies)
    assert 503 not in {status_of(each) for each in answers}


def test_a_read_that_is_under_way_at_each_crash_is_served():
    """Many callers ask the same, so it is under way whenever a server ends."""

    async def scenario():
        mortals = [
            MortalServer([0.1, OK], is_deadly, begun=[WORK_S]) for _ in range(3)
        ]
        async with running_gateway(mortals) as bench:
            for mortal in mortals[:2]:
                reads = [
                    asyncio.create_task(
                        ask(bench.port, sent('safe', 'hot', number))
                    )
                    for number in range(6)
                ]
                await asyncio.sleep(0.05)
                mortal.end()
                await asyncio.wait(reads)
                await asyncio.sleep(crash_evidence.SEPARATE_S)
            return [
                await ask(bench.port, sent('safe', 'hot')) for _ in range(4)
            ]

    answers = asyncio.run(scenario())
    assert {status_of(each) for each in answers} == {200}
