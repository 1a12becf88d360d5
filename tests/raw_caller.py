"""Send raw requests to a gateway and return the raw bytes of its answers."""

import asyncio
import contextlib

from scripted_server import HOST, STREAM_END


def request(path, body=b'', **fields):
    """Return the bytes of a request."""
    method = b'POST' if body else b'GET'
    all_fields = {
        'Host': 'a.example',
        'Request-Id': 'r1',
        'Time-Left-Ms': '5000',
        **{name.replace('_', '-'): value for name, value in fields.items()},
    }
    lines = [f'{name}: {value}'.encode() for name, value in all_fields.items()]
    if body:
        lines.append(b'Content-Length: %d' % len(body))
    head = [method + b' ' + path.encode() + b' HTTP/1.1', *lines]
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


async def ask(port, *requests, wait_s=6, host=HOST):
    """Send requests on one connection; return the received bytes.

    Reading ends when all answers are complete or the connection is closed.

    :param wait_s: seconds until TimeoutError is raised.
    :param host: IP address of the gateway.
    """
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b''.join(requests))
    received = b''
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(wait_s):
            while not _are_complete(received, len(requests)):
                got = await reader.read(65536)
                if not got:
                    break
                received += got
    writer.close()
    return received


def _are_complete(received, count):
    """Tell whether at least `count` answers have been received completely."""
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
            start = lowered.index(b'content-length: ') + 16
            length = int(lowered[start:].split(b'\r\n')[0])
            if len(body) < length:
                return False
            rest = body[length:]
        ended += 1
    return ended >= count


def status_of(received):
    """Return the status of an answer."""
    return int(received.split(b' ', 2)[1])


def body_of(received):
    """Return the body of an answer with its chunks joined."""
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
