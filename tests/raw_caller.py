"""A caller that sends bytes to a gateway and keeps the bytes that come."""

import asyncio
import contextlib

from scripted_server import HOST, STREAM_END


def request(path, body=b'', **fields):
    """Return the bytes of a request."""
    method = b'POST' if body else b'GET'
    given = {
        'Host': 'a.example',
        'Request-Id': 'r1',
        'Time-Left-Ms': '5000',
        **{name.replace('_', '-'): text for name, text in fields.items()},
    }
    lines = [f'{name}: {text}'.encode() for name, text in given.items()]
    if body:
        lines.append(b'Content-Length: %d' % len(body))
    head = [method + b' ' + path.encode() + b' HTTP/1.1', *lines]
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


async def ask(port, *requests, wait_s=6):
    """Send requests on one connection; return all that comes until its end.

    The connection is half a second without bytes at its end, or closed.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b''.join(requests))
    received = b''
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(wait_s):
            while not _is_whole(received, len(requests)):
                got = await reader.read(65536)
                if not got:
                    break
                received += got
    writer.close()
    return received


def _is_whole(received, count):
    """Tell whether that many answers have ended."""
    ended = 0
    rest = received
    while rest:
        head, found, body = rest.partition(b'\r\n\r\n')
        if not found:
            return False
        lowered = head.lower()
        if b'chunked' in lowered:
            end = body.find(STREAM_END)
            if end < 0:
                return False
            rest = body[end + len(STREAM_END) :]
        else:
            mark = lowered.index(b'content-length: ') + 16
            length = int(lowered[mark:].split(b'\r\n')[0])
            if len(body) < length:
                return False
            rest = body[length:]
        ended += 1
    return ended >= count


def status_of(received):
    """Return the status of an answer."""
    return int(received.split(b' ', 2)[1])


def body_of(received):
    """Return the body of an answer, chunks joined."""
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' not in head.lower():
        return body
    joined = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size or b'0', 16)
        joined += rest[:length]
        body = rest[length + 2 :]
    return joined
