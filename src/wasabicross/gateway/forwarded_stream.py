"""The events of a server's stream, checked before they are forwarded."""

from __future__ import annotations

from wasabicross.gateway.answer_ends.end_decisions import AnswerEnd
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.event_stream import (
    EventSplitter,
    StreamTail,
)
from wasabicross.gateway.connections.server_connections import ServerConnection


class ForwardedStream:
    """The events of a server's stream.

    A resumable stream is forwarded in complete events, so a server that sends a
    byte now and then counts as silent.

    :param conn: the connection, whose next bytes are the stream.
    :param last_event_id: id of the event that the stream resumes after.
    :param is_resumable: whether another server may resume it.
    """

    def __init__(
        self, conn: ServerConnection, last_event_id: str, *, is_resumable: bool
    ) -> None:
        self._chunks = conn.read_chunks()
        self._is_resumable = is_resumable
        self._splitter = EventSplitter()
        self._splitter.last_event_id = last_event_id
        self._tail = StreamTail()
        self._last_s = now_s()
        #: Longest pause between two parts, seconds.
        self.longest_pause_s: float = 0

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event."""
        return self._splitter.last_event_id

    async def next_events(self) -> bytes | None:
        """Return the next bytes to forward, None at the end.

        :raises AnswerBroken: the stream broke off, isn't HTTP or doesn't follow
            on the last event.
        """
        async for chunk in self._chunks:
            if self._is_resumable:
                chunk = self._splitter.feed(chunk)
            if chunk:
                self._tail.feed(chunk)
                self._record_pause()
                return chunk
        return None

    def end(self, *, is_stated: bool) -> AnswerEnd:
        """Return how the stream ends.

        :param is_stated: whether the answer states where it ends.
        """
        partial = self._splitter.discard_partial()
        is_inside_event = bool(partial) or self._tail.is_inside_event
        return AnswerEnd(is_stated, self._tail.is_empty, is_inside_event)

    def _record_pause(self) -> None:
        at_s = now_s()
        self.longest_pause_s = max(self.longest_pause_s, at_s - self._last_s)
        self._last_s = at_s
