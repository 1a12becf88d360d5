"""A server whose version isn't proved yet when another one has taken over."""

import asyncio

from gateway_parts import FakeEngines
from scripted_server import HOST, STREAM_END
from test_gateway_takeover import FULL
from version_parts import OLD, VersionServer, stream, versions_serving

from wasabicross.gateway.silence_watch import Replacements, SilenceWatch

LISTED_MS = 1_000


class LateEngines(FakeEngines):
    """Engines whose first one closes its connection after the question.

    It gives no report until `reports` is set.
    """

    def __init__(self):
        super().__init__()
        self.reports = asyncio.Event()
        self.is_asked = asyncio.Event()

    async def report(self, server):
        """Return the report of the start that is listed."""
        if server.server_id == 'i-0' and self.is_asked.is_set():
            await self.reports.wait()
        report = await super().report(server)
        return report._replace(start_ms=LISTED_MS)

    async def learn_start(self, server, conn, max_wait_s):
        """Tell whether the connection is still usable."""
        if server.server_id != 'i-0':
            return await super().learn_start(server, conn, max_wait_s)
        self.is_asked.set()
        return False


def test_a_server_that_is_proved_after_the_answer_gets_no_request():
    async def scenario():
        engines = LateEngines()
        servers = [VersionServer('v1'), VersionServer('v1')]
        async with versions_serving(servers, OLD, engines=engines) as bench:
            view = bench.gateway.view
            for server_id, server in tuple(view.servers.items()):
                view.servers[server_id] = server._replace(start_ms=LISTED_MS)
            view.own.requests['i-1'] = FULL
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            writer.write(stream())
            await engines.is_asked.wait()
            view.own.requests['i-1'] = 0
            async with asyncio.timeout(3):
                received = await reader.readuntil(STREAM_END)
            assert not servers[0].seen
            engines.reports.set()
            async with asyncio.timeout(3):
                while any(view.own.requests.values()):
                    await asyncio.sleep(0.01)
            writer.close()
        return servers, received

    servers, received = asyncio.run(scenario())
    assert received.count(b'data: v1') == 9
    assert [len(each.seen) for each in servers] == [0, 1]


def test_a_server_that_was_asked_before_the_proof_is_asked_once():
    """The silence after the request was sent withdrew from it."""
    endings = []

    async def scenario():
        asked = asyncio.Event()

        async def find():
            return 'other'

        async def send(_placement, _on_accepted):
            asked.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError as exc:
                endings.append(str(exc))
                raise

        watch = SilenceWatch(Replacements(find, send), lambda: None)
        with watch.limit(0.0):
            await asked.wait()
        with watch.limit(0.0):
            await asyncio.sleep(0.05)
        assert watch.is_asking
        assert not endings
        watch.end()
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert endings == ['the request ended at the silent server']
