"""Splits a stream of events at their borders."""

from __future__ import annotations

from wasabicross.gateway.errors import AnswerBroken

#: Longest event; a stream without borders isn't kept in memory.
_MAX_EVENT_BYTES = 1048576

_BORDER = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Gives out whole events only, and knows the id of the last.

    A server may stop in the middle of an event; what goes on at another server
    starts with a whole one.
    """

    def __init__(self) -> None:
        self._rest = b''
        self.last_event_id = ''

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that a piece completes.

        :param piece: the next bytes of the stream.
        :raises AnswerBroken: an event doesn't end.
        """
        joined = self._rest + piece
        end = joined.rfind(_BORDER)
        if end < 0:
            if len(joined) > _MAX_EVENT_BYTES:
                raise AnswerBroken(f'event of over {_MAX_EVENT_BYTES} bytes')
            self._rest = joined
            return b''
        whole = joined[: end + len(_BORDER)]
        self._rest = joined[end + len(_BORDER) :]
        self._note_id(whole)
        return whole

    def discard_partial(self) -> bytes:
        """Drop and return what has come of an event that is not whole."""
        rest = self._rest
        self._rest = b''
        return rest

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip()
                self.last_event_id = event_id.decode('latin-1')
                return
