"""Brittle servers, which fail if they turn too many requests away."""

import asyncio
import bisect
import itertools
import random

import pytest
from gateway_parts import running_gateway, server_entry
from raw_caller import ask, request, status_of
from scripted_server import ScriptedServer, answer

from wasabicross.gateway.server_limits.brittle_servers import BrittleServers
from wasabicross.gateway.server_limits.gateway_shares import GatewayShares
from wasabicross.gateway.server_limits.known_limits import KnownLimits
from wasabicross.gateway.server_limits.stated import NO_LIMITS, StatedLimits

BRITTLE = answer(b'the answer', extra=b'Server-Brittle: 3\r\n')
FULL = answer(
    b'', b'503 Service Unavailable', b'Server-Brittle: 3\r\nNot-Run: 1\r\n'
)
SERVER = server_entry('s1', 'desk', 1).server
STEP_S = 0.01


class SimulatedServer:
    """A brittle server with slots and no queue, and its refusals.

    :param entry: its entry.
    :param work_s: how long a request runs.
    """

    def __init__(self, entry, work_s):
        self.entry = entry
        self.refused_s = []
        self._work_s = work_s
        self._ends_s = []

    def runs(self, at_s):
        """Return whether it runs one more request."""
        self._ends_s = [each for each in self._ends_s if each > at_s]
        if len(self._ends_s) < self.entry.slots:
            self._ends_s.append(at_s + self._work_s)
            return True
        self.refused_s.append(at_s)
        return False

    def most_refused_in_a_second(self):
        """Return the most refusals in some second."""
        return max(
            (
                bisect.bisect_right(self.refused_s, start + 1) - position
                for position, start in enumerate(self.refused_s)
            ),
            default=0,
        )


def gateways(count, refusals_per_s, entry):
    """Return what each gateway knows of the server."""
    names = [f'front-{number}' for number in range(count)]
    known = KnownLimits()
    known.on_answer(entry, StatedLimits(None, refusals_per_s), 0, 0)
    return [BrittleServers(known, GatewayShares(name, names)) for name in names]


@pytest.mark.parametrize('count', [1, 7, 360])
@pytest.mark.parametrize('refusals_per_s', [1, 3, 10])
@pytest.mark.parametrize('slots', [0, 6, 64])
def test_brittle_server_turns_no_more_away_than_it_bears(
    count, refusals_per_s, slots
):
    """Without slots it has lost its room to something else."""
    entry = SERVER._replace(slots=slots)
    server = SimulatedServer(entry, work_s=0.2)
    draw = random.Random(5)
    own = [[] for _ in range(count)]
    senders = gateways(count, refusals_per_s, entry)
    users = [
        number for number, each in enumerate(senders) if each.is_user(entry)
    ]
    for step in range(600):
        at_s = step * STEP_S
        for number in users:
            own[number] = [each for each in own[number] if each > at_s]
            has_room = senders[number].has_room(entry, len(own[number]), at_s)
            if draw.random() < 0.5 or not has_room:
                continue
            if server.runs(at_s):
                own[number].append(at_s + 0.2)
            else:
                senders[number].on_refused(entry, at_s)
    assert users
    assert server.most_refused_in_a_second() <= refusals_per_s


def test_one_request_at_a_time_waits_for_its_answer():
    (sender,) = gateways(1, 5, SERVER)
    assert sender.has_room(SERVER, 0, 1)
    sender.on_sent('s1')
    assert not sender.has_room(SERVER, 1, 1)
    sender.on_answered('s1')
    assert sender.has_room(SERVER, 1, 1)
    assert not sender.has_room(SERVER, SERVER.slots, 1)


def test_server_that_is_no_longer_brittle_takes_all():
    known = KnownLimits()
    sender = BrittleServers(known, GatewayShares('front-1', ()))
    known.on_answer(SERVER, StatedLimits(None, 1), 0, 0)
    sender.on_refused(SERVER, 0.5)
    assert not sender.has_room(SERVER, 0, 1)
    known.on_answer(SERVER, NO_LIMITS, 1, 1.1)
    assert sender.has_room(SERVER, 100, 1.2)


#: Numbers of requests, as each one has an id of its own.
NUMBERS = itertools.count(1)


async def ask_at_once(port, count):
    """Send requests at the same time; return the statuses."""
    answers = await asyncio.gather(
        *(
            ask(port, request('/unsafe/x', b'x', Request_Id=f'r{number}'))
            for number in itertools.islice(NUMBERS, count)
        )
    )
    return [status_of(each) for each in answers]


def run_burst(scripts, count):
    """Ask each server once, then send many; return statuses and servers."""

    async def scenario():
        servers = [ScriptedServer(*each) for each in scripts]
        async with running_gateway(servers) as bench:
            await ask_at_once(bench.port, len(servers))
            return await ask_at_once(bench.port, count), servers

    return asyncio.run(scenario())


def test_burst_of_requests_makes_a_brittle_server_refuse_one():
    statuses, (server,) = run_burst([[[BRITTLE], [FULL]]], 40)
    assert set(statuses) == {503}
    assert len(server.seen) == 2


def test_requests_go_to_the_brittle_server_with_room():
    statuses, servers = run_burst(
        [[[0.1, BRITTLE], [0.3, BRITTLE]], [[0.1, BRITTLE], [0.3, BRITTLE]]], 10
    )
    assert sorted(set(statuses)) == [200, 503]
    assert statuses.count(200) == 2
    assert [len(each.seen) for each in servers] == [2, 2]
