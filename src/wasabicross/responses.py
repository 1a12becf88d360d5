"""Response bodies read as they arrive, for streams of many small chunks."""

import io
import socket
from http.client import HTTPResponse, RemoteDisconnected
from typing import Any

from urllib3.connection import HTTPConnection

#: Most bytes that one read takes from the socket.
READ_BUFFER_BYTES = 65_536

_HEAD_ENDS = frozenset((b'\r\n', b'\n'))


class ArrivalReader(io.BufferedReader):
    """A buffered reader that also tells what has arrived, without waiting.

    :param sock: a connected socket; the reader keeps it open until closed.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(
            sock.makefile('rb', buffering=0),
            READ_BUFFER_BYTES,
        )
        self._sock = sock
        self.had_unread_bytes = False

    def arrived(self) -> bytes:
        """Return the buffered bytes without consuming them.

        Only an empty buffer is filled, with what the socket has just then.
        """
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0)
        try:
            return self.peek()
        finally:
            self._sock.settimeout(timeout_s)

    def close(self) -> None:
        """Close the reader and notes whether bytes were left unread."""
        if not self.closed:
            try:
                self.had_unread_bytes = bool(self.arrived())
            except OSError:
                self.had_unread_bytes = True
        super().close()


class _HeadLines:
    """The lines of a head, the last of them kept.

    :param reader: where they come from.
    """

    def __init__(self, reader: ArrivalReader) -> None:
        self._reader = reader
        self.last = b''

    def readline(self, limit: int = -1) -> bytes:
        """Read one line."""
        self.last = self._reader.readline(limit)
        return self.last

    def close(self) -> None:
        """Close the reader, as after a status line that isn't one."""
        self._reader.close()


class JoiningResponse(HTTPResponse):
    """An HTTP response whose `read1` joins all chunks that have arrived.

    `http.client` returns one chunk a call. A consumer that was busy for a
    while gets all that came meanwhile in one piece, so it catches up instead
    of falling further behind.
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
        self.reader = ArrivalReader(sock)
        self.fp = self.reader

    def begin(self) -> None:
        """Read the head, which has to end with its empty line.

        :raises RemoteDisconnected: when it breaks off, which the base class
            takes for its end.
        """
        lines = _HeadLines(self.reader)
        self.fp = lines
        try:
            super().begin()
        finally:
            self.fp = self.reader
        if lines.last not in _HEAD_ENDS:
            raise RemoteDisconnected('the head of the answer broke off')

    def read1(self, size: int = -1) -> bytes:
        """Wait for the first bytes, then adds whole chunks already here.

        :param size: most bytes to read of each chunk, negative for no limit.
        """
        piece = super().read1(size)
        if not self.chunked or not piece:
            return piece
        pieces = [piece]
        while self.chunk_left == 0 and _starts_chunk(self.reader.arrived()):
            pieces.append(super().read1(size))
        return b''.join(pieces)


class StreamConnection(HTTPConnection):
    """A connection of urllib3 whose response bodies are read as they arrive.

    It never connects by itself, as the library's own would after a loss.
    """

    auto_open = 0
    last_response: JoiningResponse | None = None

    def response_class(  # type: ignore[override]
        self,
        sock: socket.socket,
        method: str | None = None,
    ) -> JoiningResponse:
        """Make the response that the base class reads the head into."""
        self.last_response = JoiningResponse(sock, method=method)
        return self.last_response

    def is_reusable(self) -> bool:
        """Tell if the last response left the connection open and clean."""
        return (
            self.sock is not None
            and self.last_response is not None
            and self.last_response.isclosed()
            and not self.last_response.reader.had_unread_bytes
        )


def _starts_chunk(arrived: bytes) -> bool:
    """Tell if reading one more chunk surely needs no waiting.

    The bytes start with the line end of the previous chunk. The last chunk,
    which is empty, is left for the next read.

    :param arrived: bytes after the previous chunk's data.
    """
    size_end = arrived.find(b'\n', 2)
    return 0 < size_end < len(arrived) - 1 and arrived[2:3] != b'0'
