"""Complete events of a stream of server-sent events, and its end."""

from __future__ import annotations

from wasabicross.gateway.errors import AnswerBroken

#: Longest event; bounds the memory for a stream whose events don't end.
_MAX_EVENT_BYTES = 1048576

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'

#: Ends of events that complete a stream which is forwarded as it is.
_EVENT_ENDS = (_EVENT_END, b'\r\n\r\n')
_TAIL_BYTES = 4


class EventSplitter:
    """Returns complete events only and keeps the id of the last one.

    A server may stop in the middle of an event, and the server that resumes the
    stream starts with a complete one.
    """

    def __init__(self) -> None:
        self._partial = b''
        self.last_event_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that the next bytes complete.

        :param chunk: the next bytes of the stream.
        :raises AnswerBroken: an event is too long.
        """
        buffered = self._partial + chunk
        end = buffered.rfind(_EVENT_END)
        if end < 0:
            if len(buffered) > _MAX_EVENT_BYTES:
                raise AnswerBroken(
                    f'event is longer than {_MAX_EVENT_BYTES} bytes'
                )
            self._partial = buffered
            return b''
        complete = buffered[: end + len(_EVENT_END)]
        self._partial = buffered[end + len(_EVENT_END) :]
        self._record_id(complete)
        return complete

    def discard_partial(self) -> bytes:
        """Discard and return the received bytes of an incomplete event."""
        partial = self._partial
        self._partial = b''
        return partial

    def _record_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b'\n')):
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip()
                self.last_event_id = event_id.decode('latin-1')
                return


class StreamTail:
    """Keeps the end of a stream, which must be the end of an event."""

    def __init__(self) -> None:
        self._tail = b''

    @property
    def is_empty(self) -> bool:
        """Return whether the stream has had no byte."""
        return not self._tail

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last event isn't complete."""
        return bool(self._tail) and not self._tail.endswith(_EVENT_ENDS)

    def feed(self, chunk: bytes) -> None:
        """Add the next bytes of the stream.

        :param chunk: the bytes.
        """
        self._tail = (self._tail + chunk[-_TAIL_BYTES:])[-_TAIL_BYTES:]
