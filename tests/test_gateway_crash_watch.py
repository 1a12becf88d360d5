"""Which ends of answers count as crashes of servers."""

import asyncio
import contextlib
import socket

import pytest

from emulator.waiting import free_ports
from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.crashes import crash_watch
from wasabicross.gateway.crashes.crash_evidence import (
    SEPARATE_S,
    Crash,
    CrashEvidence,
    CrashKey,
)
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.crashes.crash_watch import CrashWatch
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.messages import ServerState
from wasabicross.gateway.server_notices import ServerNotice
from wasabicross.gateway.view import FleetView

HOST = '127.0.0.1'
INFO = RequestInfo('r1', None, None, '', parts=('f0', 'd4'))


def server_at(port, **fields):
    """Return a listed server."""
    server = BackendServer(
        's1', 'llm', HOST, port, 'dc', 8, False, {}, frozenset(), 5
    )
    return server._replace(**fields)


@contextlib.contextmanager
def _nothing(port):
    """Leave a port without a listener, as after a crash."""
    yield


@contextlib.contextmanager
def _listener(port):
    """Accept connections, as a server that breaks answers off and goes on."""
    with socket.create_server((HOST, port)) as listener:
        yield listener


@contextlib.contextmanager
def _silence(port):
    """Leave connects without an answer, as a cut link or a frozen machine."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, port))
        listener.listen(0)
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((HOST, port))
        yield


class Watched:
    """A watch of one listed server, and what it finds."""

    def __init__(self, port):
        self.view = FleetView()
        self.server = server_at(port)
        self.view.servers['s1'] = self.server
        self.evidence = CrashEvidence()
        self.watch = CrashWatch(
            self.view, self.evidence, CrashSharing(self.evidence)
        )

    async def broken(self, since_start_s=0.05, info=INFO):
        """Break an answer off; return whether the server has crashed."""
        return await self.watch.on_broken(self.server, info, since_start_s)


def run(scenario, address=_nothing):
    """Run a scenario with a server whose address answers in some way."""
    (port,) = free_ports(1)
    with address(port):
        return asyncio.run(scenario(Watched(port)))


@pytest.mark.parametrize(
    ('address', 'has_crashed'),
    [(_nothing, True), (_listener, False), (_silence, False)],
)
def test_only_a_refused_connection_shows_a_crash(address, has_crashed):
    """Cut links, frozen servers and broken answers would convict parts."""

    async def scenario(watched):
        assert await watched.broken() is has_crashed
        return watched.evidence.suspects()

    expected = {'f0', 'd4'} if has_crashed else set()
    assert run(scenario, address) == expected


@pytest.mark.parametrize(
    ('others', 'has_crashed'), [([], True), (['refused'], False)]
)
@pytest.mark.parametrize('accepting', [0, 1])
def test_refusals_of_all_servers_convict_no_sound_prompt(
    others, has_crashed, accepting
):
    """A gateway that is cut off is refused by each of them."""

    async def scenario(watched):
        for number, _ in enumerate(others):
            other = server_at(free_ports(1)[0])
            watched.view.servers[f'r{number}'] = other._replace(
                server_id=f'r{number}'
            )
        listeners = []
        for number in range(accepting):
            listener = await asyncio.start_server(
                lambda _, writer: writer.close(), HOST, 0
            )
            listeners.append(listener)
            port = listener.sockets[0].getsockname()[1]
            other = server_at(port)._replace(server_id=f'a{number}')
            watched.view.servers[other.server_id] = other
        assert await watched.broken() is (has_crashed or accepting > 0)
        for listener in listeners:
            listener.close()

    run(scenario)


def leave(watched):
    """Let the server say that it leaves."""
    watched.view.notices.on_notice(watched.server, ServerNotice(True, 0), 0)


def drain(watched):
    """List the server as leaving."""
    watched.view.servers['s1'] = watched.server._replace(is_leaving=True)


def unlist(watched):
    """Remove the server's entry."""
    watched.view.servers.clear()


def restart(watched):
    """List a later incarnation of the server."""
    watched.view.servers['s1'] = watched.server._replace(start_ms=6)


@pytest.mark.parametrize('change', [leave, drain, unlist, restart])
def test_a_server_that_leaves_as_planned_has_not_crashed(change):

    async def scenario(watched):
        change(watched)
        assert not await watched.broken()
        return watched.evidence.crashes

    assert not run(scenario)


@pytest.mark.parametrize('since_start_s', [0.3, 4.0])
def test_requests_that_were_answered_for_a_while_are_no_suspects(since_start_s):

    async def scenario(watched):
        await watched.broken(since_start_s)
        return watched.evidence.crashes

    assert not run(scenario)


def test_a_request_whose_parts_are_all_sound_did_not_crash_its_server():
    """A resumable stream that had just begun wasn't resumed elsewhere."""

    async def scenario(watched):
        watched.watch.on_sound(INFO.parts)
        return await watched.broken()

    assert run(scenario) is False


def test_all_requests_that_had_just_begun_are_suspects():
    other = INFO._replace(request_id='r2', parts=('f0', 'a1'))

    async def scenario(watched):
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(watched.broken())
            tasks.create_task(watched.broken(info=other))
        await watched.broken(info=INFO._replace(parts=('late',)))
        return watched.evidence

    evidence = run(scenario)
    assert evidence.suspects() == {'f0', 'd4', 'a1', 'late'}
    assert len(evidence.crashes) == 1


def test_a_server_that_breaks_many_answers_off_is_not_checked_each_time():
    """Each check costs a connection to the server."""

    async def scenario(watched):
        for _ in range(20):
            await watched.broken()

    accepted = 0
    (port,) = free_ports(1)
    with _listener(port) as listener:
        asyncio.run(scenario(Watched(port)))
        listener.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                listener.accept()[0].close()
                accepted += 1
    assert accepted <= 2


def test_a_server_that_broke_answers_off_before_is_checked_again(monkeypatch):
    """Its later crash would go unseen."""
    monkeypatch.setattr(crash_watch, '_RECHECK_S', 0)
    (port,) = free_ports(1)

    async def scenario():
        watched = Watched(port)
        with _listener(port):
            before = await watched.broken()
        return before, await watched.broken()

    assert asyncio.run(scenario()) == (False, True)


def crash(number, age_s, *parts):
    """Return the crash of a server some seconds ago."""
    return Crash(CrashKey(f'c{number}', 1), now_s() - age_s, frozenset(parts))


def attempt_beside_crashes(*crashes, sound=(), info=INFO, begun_s=None):
    """Return an attempt that is under way as crashes are reported."""
    evidence = CrashEvidence()
    sharing = CrashSharing(evidence)
    watch = CrashWatch(FleetView(), evidence, sharing)
    attempt = watch.begin(server_at(1), info)
    with attempt.under_way(lambda: None):
        if begun_s is not None:
            attempt.on_progress()
            attempt._first_piece_s -= begun_s
        for each in crashes:
            sharing.report_crash(each)
        if sound:
            sharing.report_sound(sound)
    return attempt


@pytest.mark.parametrize(
    ('last', 'sound'),
    [((crash(3, 0, 'f1', 'd4'),), ()), ((), ('f0', 'a9'))],
    ids=['another crash', 'a sound run'],
)
def test_a_waiting_request_is_called_off_once_its_part_is_told_apart(
    last, sound
):
    """Two parts were convicted together, and the request has one of them."""
    info = INFO._replace(parts=('f2', 'd4'))
    tied = (crash(1, 5, 'f0', 'd4'), crash(2, 4, 'f0', 'd4'))
    attempt = attempt_beside_crashes(*tied, *last, sound=sound, info=info)
    assert attempt.is_called_off


@pytest.mark.parametrize(
    ('begun_s', 'is_called_off'), [(None, True), (0.1, True), (0.3, False)]
)
def test_an_answer_that_has_gone_on_is_not_called_off(begun_s, is_called_off):
    """Its server would have crashed before."""
    attempt = attempt_beside_crashes(
        crash(1, 5, 'd4'), crash(2, 4, 'd4'), begun_s=begun_s
    )
    assert attempt.is_called_off is is_called_off


def restart_unlisted(watched):
    """Let the server's owner see a later start than the listed one."""
    state = ServerState('s1', 6, 0, 0, True, ())
    watched.view.on_state(state, now_s())


def test_a_broken_answer_of_a_restarted_server_is_no_part_of_its_last_crash():
    """Its sound request would be refused after one more crash beside it."""
    (port,) = free_ports(1)
    other = INFO._replace(request_id='r2', parts=('sound',))

    async def scenario():
        watched = Watched(port)
        assert await watched.broken()
        attempt = watched.watch.begin(watched.server, other)
        with _listener(port):
            has_crashed = await attempt.on_broken()
        return has_crashed, watched.evidence.suspects()

    assert asyncio.run(scenario()) == (False, {'f0', 'd4'})


def test_late_ends_of_answers_still_belong_to_the_crash_before_them():
    (port,) = free_ports(1)
    other = INFO._replace(request_id='r2', parts=('late',))

    async def scenario():
        watched = Watched(port)
        attempt = watched.watch.begin(watched.server, other)
        assert await watched.broken()
        later = watched.watch.begin(watched.server, INFO)
        with _listener(port):
            assert not await later.on_broken()
            await attempt.on_broken()
        return watched.evidence.suspects()

    assert asyncio.run(scenario()) == {'f0', 'd4', 'late'}


@pytest.mark.parametrize(
    ('restarts', 'crashes'), [([], 1), ([restart_unlisted], 2)]
)
def test_a_crash_of_a_start_that_is_not_listed_counts(restarts, crashes):
    """Its request would go on to crash servers while the store is away."""

    async def scenario(watched):
        await watched.broken()
        await asyncio.sleep(2 * SEPARATE_S)
        for each in restarts:
            each(watched)
        attempt = watched.watch.begin(watched.server, INFO)
        assert await attempt.on_broken()
        return watched.evidence.crashes_of('f0')

    assert run(scenario) == crashes
