"""Response bodies read as they arrive, for streams of many small chunks."""

import contextlib
import io
import socket
from collections.abc import Iterator
from http.client import (
    SWITCHING_PROTOCOLS,
    BadStatusLine,
    HTTPResponse,
    IncompleteRead,
    RemoteDisconnected,
)
from typing import Any

from urllib3.connection import HTTPConnection

#: Maximum number of bytes read from the socket at once.
READ_BUFFER_BYTES = 65_536

#: Informational heads that may come before the head of an answer.
_MAX_INFORMATIONAL = 16
_FIRST_FINAL_STATUS = 200

_LINE_END = b'\r\n'
_BLANK_LINES = frozenset((_LINE_END, b'\n'))


class BodyReader(io.BufferedReader):
    """A buffered reader that records whether it was closed with unread bytes.

    :param sock: a connected socket; it stays open until the reader is closed.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(
            sock.makefile('rb', buffering=0),
            READ_BUFFER_BYTES,
        )
        self._sock = sock
        self.had_unread_bytes = False

    def close(self) -> None:
        """Close the reader and record whether received bytes are unread."""
        if not self.closed:
            try:
                self.had_unread_bytes = self._has_unread_bytes()
            except OSError:
                self.had_unread_bytes = True
        super().close()

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line, which may not be cut off.

        `http.client` takes the start of a line for the whole one, and so the
        first zeros of a padded chunk size for the last chunk.

        :param size: maximum length in bytes.
        :raises IncompleteRead: when the connection ends within the line.
        """
        line = super().readline(size)
        if line and len(line) != size and not line.endswith(b'\n'):
            raise IncompleteRead(line)
        return line

    def _has_unread_bytes(self) -> bool:
        self._sock.settimeout(0)
        return bool(self.peek())


class _HeadReader:
    """Reads the lines of a response head and remembers the last one.

    :param reader: the reader of the response.
    """

    def __init__(self, reader: BodyReader) -> None:
        self._reader = reader
        self.last = b''

    def readline(self, limit: int = -1) -> bytes:
        """Read one line."""
        self.last = self._reader.readline(limit)
        return self.last

    def close(self) -> None:
        """Close the reader; the base class does so on a bad status line."""
        self._reader.close()


class StreamResponse(HTTPResponse):
    """An HTTP response whose reads return all of the body received so far.

    `http.client` returns one chunk per call. Here a slow consumer gets all
    chunks received since its last read at once, so it catches up instead of
    falling further behind.
    """

    fp: Any

    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self.reader = BodyReader(sock)
        self.fp = self.reader

    def begin(self) -> None:
        """Read the final head, which must end with an empty line.

        The base class takes an informational head for the answer, unless its
        status is 100.

        :raises RemoteDisconnected: when the connection ends within the head,
            which the base class treats as the end of the head.
        :raises BadStatusLine: when too many informational heads come, or one
            that begins another protocol.
        """
        for _ in range(_MAX_INFORMATIONAL):
            with self._reading_head():
                super().begin()
            if self.status >= _FIRST_FINAL_STATUS:
                return
            if self.status == SWITCHING_PROTOCOLS:
                break
            # The base class reads a head only where there is none yet.
            self.headers = None  # type: ignore[assignment]
        raise BadStatusLine(f'no final status after {self.status}')

    def read_available(self) -> bytes:
        """Wait for bytes of the body and return all that were received.

        :returns: no bytes at the end of the body, even if the body is shorter
            than its declared length.
        :raises IncompleteRead: when a chunked body is truncated.
        """
        if self.fp is None or not self.chunked:
            return self.read1(READ_BUFFER_BYTES)
        if self.chunk_left == 0:
            self.reader.read(len(_LINE_END))
            self.chunk_left = None
        if self.chunk_left is None:
            content, size = _join_chunks(self.reader.peek())
            if content:
                self.reader.read(size)
                return content
        # The buffer holds no complete chunk with data: it has part of one, the
        # final empty chunk, or nothing because the connection has ended.
        return self.read1(READ_BUFFER_BYTES)

    @contextlib.contextmanager
    def _reading_head(self) -> Iterator[None]:
        """Read lines of a head, which must end with an empty one."""
        lines = _HeadReader(self.reader)
        self.fp = lines
        try:
            yield
        finally:
            self.fp = self.reader
        if lines.last not in _BLANK_LINES:
            raise RemoteDisconnected(
                'the connection ended within the head of the answer'
            )


class StreamConnection(HTTPConnection):
    """A urllib3 connection whose response bodies are read as they arrive.

    Unlike the base class, it never reconnects automatically after the
    connection is lost.
    """

    auto_open = 0
    last_response: StreamResponse

    def response_class(  # type: ignore[override]
        self,
        sock: socket.socket,
        method: str | None = None,
    ) -> StreamResponse:
        """Create the response object that the base class fills."""
        self.last_response = StreamResponse(sock, method=method)
        return self.last_response

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return (
            self.sock is not None
            and self.last_response.isclosed()
            and not self.last_response.reader.had_unread_bytes
        )


def _join_chunks(buffered: bytes) -> tuple[bytes, int]:
    """Join the data of the complete chunks at the start of a buffer.

    :param buffered: bytes that begin at the start of a chunk.
    :returns: the data, and the encoded size of its chunks in bytes.
    :raises IncompleteRead: when a chunk size is malformed or negative.
    """
    pieces = []
    consumed = 0
    while True:
        size_end = buffered.find(_LINE_END, consumed)
        if size_end < 0:
            break
        size = _chunk_size(buffered[consumed:size_end])
        start = size_end + len(_LINE_END)
        end = start + size + len(_LINE_END)
        if not size or end > len(buffered):
            break
        pieces.append(buffered[start : start + size])
        consumed = end
    return b''.join(pieces), consumed


def _chunk_size(line: bytes) -> int:
    try:
        size = int(line.partition(b';')[0], 16)
    except ValueError:
        size = -1
    if size < 0:
        raise IncompleteRead(line)
    return size
