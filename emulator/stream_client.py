"""A client that times each token of streamed answers."""

import asyncio
import json
import re
import time
from typing import Any, NamedTuple
from urllib.parse import urlsplit

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 5.0
_STATUS_OK = 200
_EVENT_END = b'\n\n'
_PRODUCED_BY = re.compile(r'^\[(.*)\]$')


class StreamCall(NamedTuple):
    """A model call to make.

    :param url: base URL of the entry or engine.
    :param path: path of the request.
    :param model: adapter for an entry, load name for an engine.
    :param tokens: number of tokens to request.
    :param token: bearer token, empty for none.
    :param prompt: text of the only message.
    :param timeout_s: seconds until the call is aborted.
    :param request_id: id sent with the call, empty for none.
    """

    url: str
    path: str
    model: str
    tokens: int
    token: str = ''
    prompt: str = 'What is due today?'
    timeout_s: float = 60
    request_id: str = ''


class CallRecord(NamedTuple):
    """The result of a call.

    :param started_s: monotonic time of its start, in seconds.
    :param status: HTTP status; 0 if no answer arrived.
    :param is_complete: whether the complete answer arrived.
    :param failure: why the answer is not complete.
    :param is_reused: whether its connection had carried an earlier call.
    :param idle_s: seconds for which that connection had been idle.
    :param outcome: outcome stated by the entry.
    :param version: adapter version stated by the entry.
    :param produced_by: ``adapter@version`` stated by the engine.
    :param retry_after_s: value of ``Retry-After``, if there was one.
    :param first_token_s: seconds until the first token, or until the refusal.
    :param gaps_s: seconds between tokens; 0 for those that arrived together.
    :param took_s: seconds until the end of the call.
    """

    started_s: float
    status: int = 0
    is_complete: bool = False
    failure: str = ''
    is_reused: bool = False
    idle_s: float = 0
    outcome: str = ''
    version: str = ''
    produced_by: str = ''
    retry_after_s: int | None = None
    first_token_s: float = 0
    gaps_s: tuple[float, ...] = ()
    took_s: float = 0


class ChunkedDecoder:
    """Incrementally decodes a body with chunked transfer coding."""

    def __init__(self) -> None:
        self.is_complete = False
        self._buffer = b''
        self._remaining = 0

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes that the data contains."""
        self._buffer += data
        body = []
        while self._buffer and not self.is_complete:
            piece = self._next_piece()
            if piece is None:
                break
            body.append(piece)
        return b''.join(body)

    def _next_piece(self) -> bytes | None:
        if self._remaining > 2:
            piece = self._buffer[: self._remaining - 2]
            self._buffer = self._buffer[len(piece) :]
            self._remaining -= len(piece)
            return piece
        if self._remaining:
            if len(self._buffer) < self._remaining:
                return None
            # Only the line break that ends the chunk remains.
            self._buffer = self._buffer[self._remaining :]
            self._remaining = 0
            return b''
        line, found, rest = self._buffer.partition(b'\r\n')
        if not found:
            return None
        size = int(line.split(b';')[0], 16)
        if not size:
            self.is_complete = rest.startswith(b'\r\n')
            return b'' if self.is_complete else None
        self._buffer = rest
        self._remaining = size + 2
        return b''


class StreamClient:
    """Makes calls and reuses connections."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = {}

    async def call(self, call: StreamCall) -> CallRecord:
        """Make a call and return its result."""
        record = CallRecord(time.monotonic())
        recorder = _AnswerRecorder(record)
        try:
            async with asyncio.timeout(call.timeout_s):
                await self._exchange(call, recorder)
        except (OSError, EOFError, ValueError) as exc:
            recorder.fail(repr(exc))
        return recorder.record()

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _exchange(
        self, call: StreamCall, recorder: '_AnswerRecorder'
    ) -> None:
        idle = self._idle.setdefault(call.url, [])
        connection = _pop_open(idle) or await _connect(call.url)
        recorder.connected(connection.idle_since_s)
        try:
            reusable = await connection.exchange(call, recorder)
        except BaseException:
            connection.close()
            raise
        if reusable:
            connection.idle_since_s = time.monotonic()
            idle.append(connection)
        else:
            connection.close()


class _AnswerRecorder:
    """Records the times and the content of one answer."""

    def __init__(self, record: CallRecord) -> None:
        self._record = record
        self._arrivals: list[float] = []
        self._buffer = b''

    def connected(self, idle_since_s: float | None) -> None:
        if idle_since_s is not None:
            self._record = self._record._replace(
                is_reused=True,
                idle_s=time.monotonic() - idle_since_s,
            )

    def head(self, status: int, headers: dict[str, str]) -> None:
        retry_after = headers.get('retry-after')
        self._record = self._record._replace(
            status=status,
            outcome=headers.get('x-wasabicross-outcome', ''),
            version=headers.get('x-wasabicross-version', ''),
            retry_after_s=int(retry_after) if retry_after else None,
        )

    def feed(self, body: bytes) -> None:
        now_s = time.monotonic()
        events = (self._buffer + body).split(_EVENT_END)
        self._buffer = events.pop()
        for event in events:
            # The event with the usage and the end mark contain no token.
            if b'"content"' not in event:
                continue
            if not self._arrivals:
                self._read_producer(event)
            self._arrivals.append(now_s)

    def complete(self) -> None:
        self._record = self._record._replace(is_complete=True)

    def fail(self, failure: str) -> None:
        self._record = self._record._replace(is_complete=False, failure=failure)

    def record(self) -> CallRecord:
        now_s = time.monotonic()
        started_s = self._record.started_s
        first_s = self._arrivals[0] if self._arrivals else now_s
        gaps_s = tuple(
            later - earlier
            for earlier, later in zip(
                self._arrivals,
                self._arrivals[1:],
                strict=False,
            )
        )
        return self._record._replace(
            first_token_s=first_s - started_s,
            gaps_s=gaps_s,
            took_s=now_s - started_s,
        )

    def _read_producer(self, event: bytes) -> None:
        document: dict[str, Any] = json.loads(event.removeprefix(b'data: '))
        text = document['choices'][0]['delta'].get('content', '')
        match = _PRODUCED_BY.match(text)
        if match:
            self._record = self._record._replace(produced_by=match[1])


class _Connection:
    """A connection that carries calls one after the other."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        #: Monotonic time of the end of the last answer, `None` before that.
        self.idle_since_s: float | None = None

    @property
    def is_open(self) -> bool:
        return not self._reader.at_eof()

    def close(self) -> None:
        self._writer.close()

    async def exchange(
        self, call: StreamCall, recorder: _AnswerRecorder
    ) -> bool:
        """Make a call; return whether the connection can be reused."""
        self._writer.write(_encode(call))
        await self._writer.drain()
        head = await self._reader.readuntil(b'\r\n\r\n')
        status, headers = _parse_head(head)
        recorder.head(status, headers)
        if headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(recorder)
        else:
            length = int(headers.get('content-length', '0'))
            recorder.feed(await self._reader.readexactly(length))
        recorder.complete()
        return headers.get('connection', '').lower() != 'close'

    async def _read_chunks(self, recorder: _AnswerRecorder) -> None:
        decoder = ChunkedDecoder()
        while not decoder.is_complete:
            data = await self._reader.read(_READ_BYTES)
            if not data:
                raise EOFError
            recorder.feed(decoder.feed(data))


def _pop_open(idle: list[_Connection]) -> _Connection | None:
    """Remove and return a connection that is still open."""
    while idle:
        connection = idle.pop()
        if connection.is_open:
            return connection
        connection.close()
    return None


async def _connect(url: str) -> _Connection:
    parts = urlsplit(url)
    async with asyncio.timeout(_CONNECT_TIMEOUT_S):
        streams = await asyncio.open_connection(parts.hostname, parts.port)
    return _Connection(*streams)


def _encode(call: StreamCall) -> bytes:
    document = {
        'model': call.model,
        'messages': [{'role': 'user', 'content': call.prompt}],
        'max_tokens': call.tokens,
        'stream': True,
    }
    body = json.dumps(document).encode()
    lines = [
        f'POST {call.path} HTTP/1.1',
        f'Host: {urlsplit(call.url).netloc}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
    ]
    if call.token:
        lines.append(f'Authorization: Bearer {call.token}')
    if call.request_id:
        lines.append(f'X-Request-Id: {call.request_id}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    status_line, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    return int(status_line.split(' ')[1]), headers
