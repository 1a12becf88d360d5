"""A backend server whose process ends under some requests."""

import asyncio

from scripted_server import HOST, ScriptedServer


class MortalServer(ScriptedServer):
    """A server whose process ends when it runs a deadly request.

    :param script: its answer to all others.
    :param is_deadly: tells whether a received request is deadly.
    :param begun: returns what comes of an answer to a request before the process
        ends.
    :param ends: whether the process ends; if not, it breaks all answers off
        and goes on.
    :param closes: whether connections are closed in order as it ends.
    """

    def __init__(self, script, is_deadly, begun, *, ends=True, closes=False):
        super().__init__(script)
        self._is_deadly = is_deadly
        self._begun = begun
        self._ends = ends
        self._closes = closes
        self._writers = set()
        #: Number of deadly requests that it was sent.
        self.deadly = 0

    async def start(self):
        """Listen; return the port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        return self._listener.sockets[0].getsockname()[1]

    def end(self):
        """End the process: connections break off, new ones are refused."""
        if self._ends:
            self._listener.close()
        for each in tuple(self._writers):
            if self._closes:
                each.close()
            else:
                each.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _play(self, script, request, reader, writer):
        if not self._is_deadly(request):
            return await super()._play(script, request, reader, writer)
        self.deadly += 1
        if not await super()._play(
            self._begun(request), request, reader, writer
        ):
            return False
        self.end()
        return False
