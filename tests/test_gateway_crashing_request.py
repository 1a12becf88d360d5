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


def no_head(_received):
    """Return nothing to send before the process ends."""
    return [WORK_S]


def only_head(_received):
    """Return the head of an answer."""
    return [STREAM_HEAD, WORK_S]


def next_event(received):
    """Return the head and the next event of a stream."""
    number = int(received.fields.get('last-event-id', 0)) + 1
    return [STREAM_HEAD, chunk(events(number, number)), WORK_S]


#: What a server sends before its process ends, by the moment at which it does.
BEGUN = {
    'before the head': no_head,
    'after the head': only_head,
    'after an event': next_event,
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
    assert status_of(answers[-1]) == 422
    assert b'\r\nretry-after: ' not in answers[-1].lower()


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
    answers, crashed = play(kind, requests, begun=no_head)
    assert crashed == 2
    sound = [each for number, each in enumerate(answers) if number % 3]
    assert {status_of(each) for each in sound} == {200}


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'stream-resumable'])
def test_servers_that_break_off_answers_convict_no_request(kind):
    copies = [sent(kind, number=number) for number in range(4)]
    answers, crashed = play(kind, copies, begun=no_head, ends=False)
    assert crashed >= len(copies)
    assert 422 not in {status_of(each) for each in answers}


def test_a_read_that_is_under_way_at_each_crash_is_served():
    """Many callers ask the same, so it is under way whenever a server ends."""

    async def scenario():
        mortals = [
            MortalServer([0.1, OK], is_deadly, begun=no_head) for _ in range(3)
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


def test_a_read_that_a_crash_has_cut_off_is_served_by_another_server():
    """It was beside the request that crashed its server."""

    async def scenario():
        mortals = [
            MortalServer([0.1, OK], is_deadly, no_head) for _ in range(2)
        ]
        async with running_gateway(mortals) as bench:
            asking = asyncio.create_task(ask(bench.port, sent('safe', 'sound')))
            async with asyncio.timeout(5):
                while not any(mortal.seen for mortal in mortals):
                    await asyncio.sleep(0.01)
            for mortal in mortals:
                if mortal.seen:
                    mortal.end()
            return await asking, sum(len(mortal.seen) for mortal in mortals)

    received, sends = asyncio.run(scenario())
    assert status_of(received) == 200
    assert sends == 2


def test_one_try_of_a_read_that_crashes_two_servers_convicts_it():
    """The second crash came so soon that both counted as one."""
    (_, last), crashed = play(
        'safe', [sent('safe'), sent('safe', number=1)], begun=no_head
    )
    assert crashed == 2
    assert status_of(last) == 422
