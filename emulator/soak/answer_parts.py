"""The answers of stand-ins for backend servers, and what is read in them."""

from __future__ import annotations

import asyncio
import json
import re
import zlib
from typing import Any

from emulator.stream_server import HttpRequest, Responder

#: How a part of a path begins that crashes servers.
DEADLY = 'deadly'

#: The software versions that engines have.
SOFTWARE = ('s1', 's2')

#: One request of so many gets an unframed answer, and the pause between the two
#: halves of such an answer of a plain server.
_UNFRAMED_ONE_IN = 4
_UNFRAMED_PAUSE_S = 0.15

#: Time between two events, of streams on slow routes and of others.
SLOW = 'slow'
_SLOW_EVENT_S = 0.03
_EVENT_S = 0.01

_OK = 200

_EVENT_ID = re.compile(rb'(?m)^id: (\d+)$')
_SOFTWARE = re.compile(rb'(?m)^event: (\S+)\n')

#: The line of an event that tells its software version, which may be cut off.
_SOFTWARE_LINE = re.compile(rb'(?m)^e.*\n?')


def event(request_id: str, number: int, software: str = '') -> bytes:
    """Return an event of a streamed answer.

    :param request_id: id of the request.
    :param number: number of the event, from 1.
    :param software: software version that writes it, empty to leave it out.
    """
    written_by = f'event: {software}\n' if software else ''
    return f'id: {number}\n{written_by}data: {request_id} {number}\n\n'.encode()


def other_software(software: str) -> str:
    """Return the software version that a server has after its next restart.

    :param software: its present one.
    """
    return SOFTWARE[1] if software == SOFTWARE[0] else SOFTWARE[0]


def software_in(body: bytes) -> set[str]:
    """Return the software versions that wrote the events of a body.

    :param body: the part of a body that arrived.
    """
    return {found.decode() for found in _SOFTWARE.findall(body)}


def without_software(body: bytes) -> bytes:
    """Return a body as if its events didn't tell who wrote them.

    :param body: the part of a body that arrived.
    """
    return _SOFTWARE_LINE.sub(b'', body)


def last_event_in(body: bytes) -> int:
    """Return the number of the last event that arrived whole, 0 for none.

    :param body: the part of a body that arrived.
    """
    whole = body.rpartition(b'\n\n')[0]
    return max(map(int, _EVENT_ID.findall(whole)), default=0)


def gets_unframed_answer(request_id: str) -> bool:
    """Tell whether the answer to a request has neither a length nor chunks.

    :param request_id: id of the request.
    """
    return zlib.crc32(request_id.encode()) % _UNFRAMED_ONE_IN == 0


def deadly_part(path: str) -> str:
    """Return the part of a path that crashes servers, empty if there is none.

    :param path: path of a request.
    """
    found = (each for each in path.split('/') if each.startswith(DEADLY))
    return next(found, '')


def event_interval_s(path: str) -> float:
    """Return the time between two events of an answer, seconds.

    :param path: path of its request.
    """
    return _SLOW_EVENT_S if path.startswith(f'/{SLOW}/') else _EVENT_S


def request_id_field(req: HttpRequest) -> tuple[tuple[str, str], ...]:
    request_id = req.headers.get('request-id')
    return (('Request-Id', request_id),) if request_id else ()


async def send_in_halves(
    document: dict[str, Any],
    fields: tuple[tuple[str, str], ...],
    responder: Responder,
) -> None:
    """Send an unframed answer in two pieces with a pause between them."""
    body = json.dumps(document).encode()
    middle = len(body) // 2
    responder.start_stream('application/json', fields, is_framed=False)
    responder.send_chunk(body[:middle])
    await asyncio.sleep(_UNFRAMED_PAUSE_S)
    responder.send_chunk(body[middle:])
    responder.end_stream()
