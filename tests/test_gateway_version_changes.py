"""What is remembered of a server when its software version changes.

Guards against streams and prompts that go on from what the former version
made, as the id of the server is the same.
"""

import asyncio

import pytest
from scripted_server import HOST, ReceivedRequest, answer
from test_gateway_prompt_sources import PROMPT, A, report, server

from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_messages import ServerRequest
from wasabicross.gateway.crashes.crash_evidence import (
    Crash,
    CrashEvidence,
    CrashKey,
    Verdict,
)
from wasabicross.gateway.prompt_sources import prompt_source
from wasabicross.gateway.server_notices import ServerNotice, ServerNotices
from wasabicross.gateway.view import FleetView

OTHER = server(0, 'v2')


def entry(version, start_ms):
    return server(1, version)._replace(start_ms=start_ms)


@pytest.fixture
def view():
    """Return a view in which server s1 has held an adapter."""
    known = FleetView()
    known.apply(ServerEntryUpdate(OTHER), 0)
    known.apply(ServerEntryUpdate(entry('v1', 0)), 0)
    for held in (('a1',), ()):
        report(known, 1, held)
    return known


@pytest.mark.parametrize('start_ms', [0, 7])
def test_prompt_that_the_former_version_of_a_server_has_read(view, start_ms):
    view.apply(ServerEntryUpdate(entry('v2', start_ms)), 0)
    assert prompt_source(view, OTHER, PROMPT, 0.1) is None
    report(view, 1, ())
    assert prompt_source(view, OTHER, PROMPT, 0.1) is None


@pytest.mark.parametrize('start_ms', [0, 7])
def test_adapters_that_the_former_version_of_a_server_held(view, start_ms):
    report(view, 1, ('a1',))
    view.apply(ServerEntryUpdate(entry('v2', start_ms)), 0)
    assert view.held_version(view.servers['s1'], A, 0.1) == 0


@pytest.mark.parametrize('start_ms', [0, 7])
def test_health_of_the_former_version_of_a_server(view, start_ms):
    view.health['s1'].on_unreachable(0)
    view.apply(ServerEntryUpdate(entry('v2', start_ms)), 0)
    assert view.health['s1'].is_healthy(0)


@pytest.mark.parametrize(
    ('known', 'older', 'version'),
    [
        # The copy holds the former version; the server hasn't changed back.
        (('v2', 7), ('v1', 7), 'v2'),
        (('v2', 0), ('v1', 0), 'v2'),
        (('v2', 7), ('v1', 0), 'v2'),
        (('v2', 7), ('v1', 5), 'v2'),
        # A later start is no older copy.
        (('v2', 7), ('v1', 9), 'v1'),
    ],
)
def test_older_copy_of_the_store_holds_another_version(known, older, version):
    view = FleetView()
    view.on_era(1, 0)
    view.apply(ServerEntryUpdate(entry(*known)), 0)
    view.on_era(2, 10)
    view.apply(ServerEntryUpdate(entry(*older)), 10.1)
    assert view.servers['s1'].software_version == version


def test_changed_version_is_believed_in_calm():
    view = FleetView()
    view.on_era(1, 0)
    view.apply(ServerEntryUpdate(entry('v2', 7)), 0)
    view.apply(ServerEntryUpdate(entry('v1', 7)), 100)
    assert view.servers['s1'].software_version == 'v1'


def test_notice_of_the_former_version_of_a_server():
    """A later start, as each version change has, is told apart."""
    notices = ServerNotices()
    notices.on_notice(
        entry('v1', 5), ServerNotice(is_leaving=True, pause_s=9), 0
    )
    assert notices.refuses_requests(entry('v1', 5), 1)
    assert not notices.refuses_requests(entry('v2', 7), 1)


@pytest.mark.parametrize(
    ('starts', 'crashes'),
    [
        ((5, 7), 2),
        # One crash too few is known, and no stream goes on from it.
        ((5, 5), 1),
        ((0, 0), 1),
    ],
)
def test_crashes_of_a_server_before_and_after_its_change(starts, crashes):
    evidence = CrashEvidence()
    for number, start_ms in enumerate(starts):
        key = CrashKey('s1', start_ms)
        evidence.add(Crash(key, number * 10, frozenset(('p',))), number * 10)
    assert evidence.crashes_of('p') == crashes
    refused = Verdict.refused if crashes > 1 else Verdict.go
    assert evidence.verdict(('p',), 11) is refused


class Process:
    """A process of a server, which names its version in each answer."""

    def __init__(self, version):
        self._answer = answer(version)
        self._writers = []

    async def start(self, port=0):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """End as a process does, with all its connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        while head := await reader.read(9999):
            received = ReceivedRequest(head, b'').fields['request-id']
            writer.write(self._answer.replace(b'{id}', received.encode()))


def fields_of(request_id):
    return [(b'host', b'a'), (b'request-id', request_id)]


async def ask(conn, request_id):
    sent = ServerRequest(b'GET', b'/x', fields_of(request_id), b'')
    conn.send(sent)
    await conn.read_head(sent)
    return b''.join([each async for each in conn.read_chunks()])


def test_kept_connection_to_the_former_version_at_an_address():
    """A connection ends with its process; the next one is new."""

    async def scenario():
        former, present = Process(b'v1'), Process(b'v2')
        port = await former.start()
        pool = ConnectionPool(b'request-id')
        conn = await pool.acquire(HOST, port, fields_of(b'r1'), once=False)
        received = [await ask(conn, b'r1')]
        pool.release(HOST, port, conn)
        assert conn.is_usable
        former.stop()
        await present.start(port)
        async with asyncio.timeout(5):
            while conn.is_usable:
                await asyncio.sleep(0.01)
        again = await pool.acquire(HOST, port, fields_of(b'r2'), once=False)
        received.append(await ask(again, b'r2'))
        again.close()
        present.stop()
        return received

    assert asyncio.run(scenario()) == [b'v1', b'v2']
