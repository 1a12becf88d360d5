"""Callers of a soak run, which keep their connections until they break."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

import h11

from emulator.soak.deployment import (
    ADAPTERS,
    CALLER_HOST,
    ROUTES,
    Gateway,
    SoakDeployment,
    since_route,
)
from emulator.soak.engine_adapters import MODEL

#: How long a caller waits beyond the time that it gave the system.
SLACK_S = 1.5

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0
_PAUSE_S = 0.03
_MAX_EVENTS = 100
_REQUESTS_A_CONNECTION = 20
_MS_IN_S = 1000
_NO_STATUS = 0

#: Share of the safe requests that ask for the newest configuration's route.
_NEWEST_SHARE = 0.5


class CallResult(NamedTuple):
    """What a caller got for one request.

    :param kind: name of its route.
    :param events: events that it asked for, 0 for a plain request.
    :param sent_s: when it was sent, monotonic seconds.
    :param ended_s: when its answer ended or was given up, monotonic seconds.
    :param status: HTTP status, 0 when no head came.
    :param retry_after: seconds after which it may come back, as the answer
        spells them; empty where it doesn't say.
    :param body: what came of the body.
    :param is_complete: whether the body ended as HTTP says that it should.
    :param echoed: the request that the answer says it belongs to.
    :param since: configuration that added the route asked for, 0 for a route
        that all have. A gateway with an older one answers 404.
    """

    request_id: str
    kind: str
    adapter: str
    events: int
    gateway: str
    sent_s: float
    ended_s: float = 0
    status: int = _NO_STATUS
    retry_after: str = ''
    body: bytes = b''
    is_complete: bool = False
    echoed: str = ''
    since: int = 0


class Callers:
    """Tasks that send requests to random gateways until they are stopped.

    :param deployment: its gateways take the requests.
    :param seed: of the random choices.
    :param count: how many callers.
    """

    def __init__(
        self, deployment: SoakDeployment, seed: int, count: int
    ) -> None:
        self.results: list[CallResult] = []
        self._deployment = deployment
        self._stops = False
        self._seed = seed
        self._count = count
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all callers."""
        self._tasks = [
            asyncio.ensure_future(
                self._call(random.Random(f'{self._seed}/{each}'))  # noqa: S311
            )
            for each in range(self._count)
        ]

    async def stop(self) -> list[CallResult]:
        """Wait for the requests under way; return all that was got."""
        self._stops = True
        await asyncio.gather(*self._tasks)
        return self.results

    async def _call(self, rng: random.Random) -> None:
        while not self._stops:
            gateway = rng.choice(self._deployment.gateways)
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        gateway.host, gateway.caller_port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(_PAUSE_S)
                continue
            await self._talk(rng, gateway, reader, writer)
            writer.close()

    async def _talk(
        self,
        rng: random.Random,
        gateway: Gateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        codec = h11.Connection(h11.CLIENT)
        for _ in range(_REQUESTS_A_CONNECTION):
            asked = _request(
                rng, gateway, self._deployment.acknowledged_configuration
            )
            got = await _exchange(  # noqa: WPS476
                codec, asked, reader, writer
            )
            self.results.append(got._replace(ended_s=time.monotonic()))
            if self._stops or not got.is_complete or not _is_kept(codec):
                return
            codec.start_next_cycle()
            await asyncio.sleep(2 * _PAUSE_S * rng.random())  # noqa: WPS476


def _request(
    rng: random.Random, gateway: Gateway, configuration: int
) -> CallResult:
    route = rng.choice(ROUTES)
    is_stream = route.kind == 'streaming'
    # Some adapters are asked for far more often than others.
    number = int(len(ADAPTERS) * rng.random() ** 2)
    asks_newest = route.kind == 'safe' and rng.random() < _NEWEST_SHARE
    return CallResult(
        f'{rng.getrandbits(64):016x}',
        route.name,
        ADAPTERS[number] if is_stream else '',
        rng.randint(1, _MAX_EVENTS) if is_stream else 0,
        gateway.name,
        time.monotonic(),
        since=configuration if asks_newest else 0,
    )


async def _exchange(
    codec: h11.Connection,
    asked: CallResult,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> CallResult:
    """Send a request; return what came in the time that it gave."""
    limit_s = time_limit_s(asked)
    writer.write(codec.send(_head(asked, limit_s)) or b'')
    writer.write(codec.send(h11.EndOfMessage()) or b'')
    got = asked
    try:
        async with asyncio.timeout(limit_s + SLACK_S):
            while not got.is_complete:
                event = await _event(codec, reader)
                got = _with(got, event)
                if isinstance(event, h11.ConnectionClosed):
                    break
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        return got
    return got


def time_limit_s(got: CallResult) -> float:
    """Return how many seconds the system has for a request.

    :param got: the request.
    """
    return next(each.timeout_s for each in ROUTES if each.name == got.kind)


def _head(asked: CallResult, limit_s: float) -> h11.Request:
    fields = {
        'Host': CALLER_HOST,
        'Request-Id': asked.request_id,
        'Time-Left-Ms': str(int(limit_s * _MS_IN_S)),
    }
    if asked.events:
        fields['Model'] = f'{MODEL}/{asked.adapter}'
        fields['Token-Count'] = f'10,{asked.events}'
    return h11.Request(
        method='GET',
        target=f'/{_path_name(asked)}/x',
        headers=list(fields.items()),
    )


def _path_name(asked: CallResult) -> str:
    return since_route(asked.since) if asked.since else asked.kind


async def _event(
    codec: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event:
    while True:
        event = codec.next_event()
        if event is not h11.NEED_DATA:
            assert isinstance(event, h11.Event)
            return event
        codec.receive_data(await reader.read(_READ_BYTES))


def _with(got: CallResult, event: h11.Event) -> CallResult:
    if isinstance(event, h11.Response):
        fields = {name.decode(): text.decode() for name, text in event.headers}
        return got._replace(
            status=event.status_code,
            retry_after=fields.get('retry-after', ''),
            echoed=fields.get('request-id', ''),
        )
    if isinstance(event, h11.Data):
        return got._replace(body=got.body + bytes(event.data))
    return got._replace(is_complete=isinstance(event, h11.EndOfMessage))


def _is_kept(codec: h11.Connection) -> bool:
    return codec.our_state is h11.DONE and codec.their_state is h11.DONE
