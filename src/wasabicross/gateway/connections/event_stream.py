"""Complete events of a stream of server-sent events, and its end."""

from __future__ import annotations

import itertools
import re
import string

from wasabicross.gateway.errors import AnswerBroken

#: Longest event; bounds the memory for a stream whose events don't end.
_MAX_EVENT_BYTES = 262144

_LINE_END = b'\n'
_LINE_ENDS = b'\r\n'

#: An empty line ends an event. A line ends with CR LF, LF or CR.
_EVENT_ENDS = (b'\n\n', b'\n\r', b'\r\r')
_EVENT_END_BYTES = 2
#: The same with the LF that may come after a CR.
_STREAM_ENDS = (*_EVENT_ENDS, b'\n\r\n', b'\r\r\n')
_EMPTY_LINES = re.compile(rb'[\r\n]*')

_ID_FIELD = b'id:'
_EMPTY_ID_LINE = b'id'
#: No id may hold it.
_NUL = '\0'
#: Starts of lines that make no event by themselves.
_NO_EVENT_LINES = (b':', b'retry:')
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
#: The start of a line that begins the head of an answer.
_HEAD_LINE_STARTS = (b'\nHTTP/1.', b'\rHTTP/1.')

#: Bytes of a stream with which the next ones may make up the start of a head.
_TAIL_BYTES = 7

#: Longest event id that a stream may go on after.
_MAX_ID_CHARS = 256

#: What comes before the last part of a number, or of one below zero.
_POINTS = ('.', ',')
_MINUS = '-'

#: Type of the body of an event stream.
EVENT_STREAM_TYPE = 'text/event-stream'


class EventSplitter:
    """Returns complete events only and keeps the id of the last one.

    A server may stop in the middle of an event, and the server that resumes the
    stream starts with a complete one.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._is_first = True
        #: What a stream that is resumed has had before its first event.
        self._held = b''
        self.last_event_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that the next bytes complete.

        :param chunk: the next bytes of the stream.
        :raises AnswerBroken: an event is too long or is the head of another
            answer, or the first one doesn't follow on the last event of the
            stream that is resumed.
        """
        # What was there before holds no end, but maybe the first byte of one.
        searched = max(0, len(self._partial) - 1)
        self._partial += chunk
        end = self._end_of_last_event(searched)
        if end or not self._is_first:
            end = self._end_of_empty_lines(end)
        if not end:
            if len(self._partial) > _MAX_EVENT_BYTES:
                raise AnswerBroken(
                    f'event is longer than {_MAX_EVENT_BYTES} bytes'
                )
            return b''
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        _check_no_head(_LINE_END + complete)
        if self._is_first:
            return self._begin(complete)
        self._record_id(complete)
        return complete

    def discard_partial(self) -> bytes:
        """Discard and return the received bytes of an incomplete event."""
        partial = bytes(self._partial)
        self._partial.clear()
        return partial

    def _end_of_last_event(self, searched: int) -> int:
        """Return where the last complete event ends, 0 if there is none."""
        start = max(self._partial.rfind(each, searched) for each in _EVENT_ENDS)
        return 0 if start < 0 else start + _EVENT_END_BYTES

    def _end_of_empty_lines(self, start: int) -> int:
        """Return where the empty lines after an event end."""
        found = _EMPTY_LINES.match(self._partial, start)
        return start if found is None else found.end()

    def _begin(self, complete: bytes) -> bytes:
        """Return the start of a stream, one that is resumed from an event on.

        Comments before that event tell nothing of whether it follows.

        :param complete: complete events, comments or both.
        :raises AnswerBroken: the first event doesn't follow on the last one.
        """
        unmarked = (self._held + complete).removeprefix(_BYTE_ORDER_MARK)
        if self.last_event_id:
            event_id = _first_event_id(unmarked)
            if event_id is None:
                self._hold(unmarked)
                return b''
            self._check_follows(event_id)
            complete = unmarked
        self._is_first = False
        self._record_id(unmarked)
        return complete

    def _hold(self, comments: bytes) -> None:
        if len(comments) > _MAX_EVENT_BYTES:
            raise AnswerBroken(f'no event in {_MAX_EVENT_BYTES} bytes')
        self._held = comments

    def _check_follows(self, event_id: str) -> None:
        """Check that the first event of a server comes after the last one."""
        last = self.last_event_id
        if max(len(event_id), len(last)) > _MAX_ID_CHARS:
            raise AnswerBroken(f'event id of over {_MAX_ID_CHARS} characters')
        if not _is_after(event_id, last):
            raise AnswerBroken(
                f'event {event_id!r} does not follow on {last!r}'
            )

    def _record_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(_ID_FIELD) or line == _EMPTY_ID_LINE:
                self.last_event_id = _id_of(line)
                return


class StreamTail:
    """Keeps the end of a stream, which must be the end of an event."""

    def __init__(self) -> None:
        # A stream begins with a line, as if one had ended before.
        self._tail = _LINE_END
        #: Whether the stream has had no byte but ends of lines.
        self.is_empty = True

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last event isn't complete."""
        return not self.is_empty and not self._tail.endswith(_STREAM_ENDS)

    def feed(self, chunk: bytes) -> None:
        """Add the next bytes of the stream.

        :param chunk: the bytes.
        :raises AnswerBroken: a line of the stream begins the head of another
            answer.
        """
        _check_no_head(self._tail + chunk)
        self._tail = (self._tail + chunk[-_TAIL_BYTES:])[-_TAIL_BYTES:]
        self.is_empty = self.is_empty and not chunk.strip(_LINE_ENDS)


def _check_no_head(lines: bytes) -> None:
    """Check that no line begins the head of an answer.

    :param lines: a part of a stream after the end of another line.
    :raises AnswerBroken: a line does.
    """
    if any(start in lines for start in _HEAD_LINE_STARTS):
        raise AnswerBroken('head of another answer within a stream')


def _first_event_id(complete: bytes) -> str | None:
    """Return the id of the first event, empty if it has none.

    :return: None if there are comments and retry times only.
    """
    lines = [
        line
        for line in complete.splitlines()
        if not line.startswith(_NO_EVENT_LINES)
    ]
    from_event = itertools.dropwhile(_is_empty, lines)
    event = list(itertools.takewhile(bool, from_event))
    if not event:
        return None
    ids = [_id_of(line) for line in event if line.startswith(_ID_FIELD)]
    return ids[-1] if ids else ''


def _is_after(event_id: str, last: str) -> bool:
    """Return whether an event may follow on the last one by their ids.

    Ids that differ in a number at their end alone are in its order. Of others only
    equality is known.
    """
    prefix, number = _split_number(event_id)
    last_prefix, last_number = _split_number(last)
    is_whole = prefix != _MINUS and not prefix.endswith(_POINTS)
    if is_whole and prefix == last_prefix and number and last_number:
        return int(number) > int(last_number)
    return event_id not in {'', last}


def _split_number(event_id: str) -> tuple[str, str]:
    """Return an id without the number at its end, and that number."""
    prefix = event_id.rstrip(string.digits)
    return prefix, event_id[len(prefix) :]


def _is_empty(line: bytes) -> bool:
    return not line


def _id_of(line: bytes) -> str:
    """Return the id on a line, empty if no stream can go on after it."""
    event_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
    return '' if _NUL in event_id else event_id
