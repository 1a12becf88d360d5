"""Callers of a soak run, which reuse their connections."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

import h11

from emulator.soak.answer_parts import last_event_in
from emulator.soak.deployment import (
    ADAPTERS,
    Gateway,
    SoakDeployment,
)
from emulator.soak.engine_adapters import MODEL
from emulator.soak.routes import (
    ALL_ROUTES,
    CALLER_HOST,
    ROUTES,
    RouteSpec,
    route_added_by,
)

#: Time for which a caller waits for an answer beyond the time limit of its
#: request.
ANSWER_MARGIN_S = 1.5

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0
_PAUSE_S = 0.03
_MAX_EVENTS = 100
_REQUESTS_PER_CONNECTION = 20
_MS_PER_S = 1000
_NO_STATUS = 0

#: Share of the safe requests that use the route of the newest configuration.
_NEWEST_ROUTE_SHARE = 0.5

#: Share of requests that are copies of one that others send too, and of copies of
#: those that crash servers, while there are any.
_COPY_SHARE = 0.3
_DEADLY_SHARE = 0.25
_DEADLY_EVENTS = 5

_UNAVAILABLE = 503

#: Least rest of its time limit with which a caller takes a stream up.
_MIN_REST_S = 0.3

#: Requests in which a caller takes up one stream that breaks off, and its longest
#: pause between them, however long it is told to wait.
_MAX_TAKE_UPS = 8
_MAX_PAUSE_S = 1.0


class CallResult(NamedTuple):
    """A request of a caller and the answer that it got.

    :param route_name: name of its route.
    :param events: events that it requests, 0 for a plain request.
    :param sent_s: when it was sent, monotonic seconds.
    :param ended_s: when its answer ended or the caller stopped waiting,
        monotonic seconds.
    :param status: HTTP status, 0 if no response head arrived.
    :param retry_after: value of the Retry-After field, empty without one.
    :param body: the part of the body that arrived.
    :param is_complete: whether the body ended as its HTTP framing requires.
    :param echoed_id: request id in the answer.
    :param configuration: version of the configuration that added the route, 0
        for a route of all versions. A gateway with an older one answers 404.
    :param path: last part of its path.
    :param after: number of the event after which it takes a stream up, 0 for
        none.
    :param began: id of the attempt that brought the first event of the stream that
        it takes up, empty for none.
    :param take_ups: how often the stream has been taken up.
    :param first_sent_s: when its first attempt was sent, monotonic seconds, if its
        caller states what is left of its time limit; 0 if it states the whole
        limit at each attempt.
    """

    request_id: str
    route_name: str
    adapter: str
    events: int
    gateway: str
    sent_s: float
    ended_s: float = 0
    status: int = _NO_STATUS
    retry_after: str = ''
    body: bytes = b''
    is_complete: bool = False
    echoed_id: str = ''
    configuration: int = 0
    path: str = 'x'
    after: int = 0
    began: str = ''
    take_ups: int = 0
    first_sent_s: float = 0


class Traffic(NamedTuple):
    """What callers send.

    :param routes: the routes that they use alike.
    :param whole_limits: share of the callers that state their whole time limit at
        each attempt; others state what is left of it.
    """

    routes: tuple[RouteSpec, ...] = ROUTES
    whole_limits: float = 0.5


class Callers:
    """Tasks that send requests to random gateways until they are stopped.

    :param deployment: the deployment whose gateways get the requests.
    :param seed: seed of the random choices.
    :param count: number of callers.
    :param traffic: what they send.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        count: int,
        traffic: Traffic,
    ) -> None:
        self.results: list[CallResult] = []
        self._deployment = deployment
        self._traffic = traffic
        self._is_stopping = False
        self._seed = seed
        self._count = count
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all callers."""
        self._tasks = [
            asyncio.ensure_future(
                self._run_caller(
                    random.Random(f'{self._seed}/{each}'),  # noqa: S311
                    states_rest=each
                    >= self._count * self._traffic.whole_limits,
                )
            )
            for each in range(self._count)
        ]

    async def stop(self) -> list[CallResult]:
        """Wait for the ongoing requests; return the results of all."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)
        return self.results

    async def _run_caller(
        self, rng: random.Random, *, states_rest: bool
    ) -> None:
        broken_off: CallResult | None = None
        while not self._is_stopping:
            gateway = rng.choice(self._deployment.gateways)
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        gateway.host, gateway.caller_port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(_PAUSE_S)
                continue
            if (
                broken_off
                and _left_s(broken_off, time.monotonic()) < _MIN_REST_S
            ):
                broken_off = None
            last = await self._use_connection(
                rng, gateway, reader, writer, broken_off, states_rest
            )
            writer.close()
            broken_off = last if _can_be_taken_up(last) else None
            if last.status == _UNAVAILABLE and broken_off:
                await asyncio.sleep(
                    min(float(last.retry_after or 0), _MAX_PAUSE_S)
                )

    async def _use_connection(
        self,
        rng: random.Random,
        gateway: Gateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        broken_off: CallResult | None,
        states_rest: bool,
    ) -> CallResult:
        """Send requests, the first of which takes up what has broken off."""
        codec = h11.Connection(h11.CLIENT)
        count = 0
        while True:
            request = (
                _take_up(rng, gateway, broken_off)
                if broken_off
                else self._random_request(rng, gateway)
            )
            if states_rest and not request.first_sent_s:
                request = request._replace(first_sent_s=request.sent_s)
            result = await _send_request(  # noqa: WPS476
                codec, request, reader, writer
            )
            self.results.append(result._replace(ended_s=time.monotonic()))
            count += 1
            is_last = self._is_stopping or count == _REQUESTS_PER_CONNECTION
            if is_last or _can_be_taken_up(result) or not _is_reusable(codec):
                return result
            broken_off = None
            codec.start_next_cycle()
            await asyncio.sleep(2 * _PAUSE_S * rng.random())  # noqa: WPS476

    def _random_request(
        self, rng: random.Random, gateway: Gateway
    ) -> CallResult:
        deadly = self._deployment.deadly
        if deadly and rng.random() < _DEADLY_SHARE:
            return _deadly_request(rng, gateway, rng.choice(deadly))
        return _request_on(
            rng.choice(self._traffic.routes),
            rng,
            gateway,
            self._deployment.acknowledged_configuration,
        )


def _request_on(
    route: RouteSpec, rng: random.Random, gateway: Gateway, configuration: int
) -> CallResult:
    is_stream = route.kind == 'streaming'
    # The adapters at the front of the list are requested most often.
    number = int(len(ADAPTERS) * rng.random() ** 2)
    uses_newest_route = (
        route.kind == 'safe' and rng.random() < _NEWEST_ROUTE_SHARE
    )
    request_id = _random_id(rng)
    return CallResult(
        request_id,
        route.name,
        ADAPTERS[number] if is_stream else '',
        rng.randint(1, _MAX_EVENTS) if is_stream else 0,
        gateway.name,
        time.monotonic(),
        configuration=configuration if uses_newest_route else 0,
        path='x' if rng.random() < _COPY_SHARE else request_id,
    )


def _deadly_request(
    rng: random.Random, gateway: Gateway, path: str
) -> CallResult:
    """Return a copy of a request that crashes servers."""
    same = random.Random(path)  # noqa: S311
    route = same.choice(ROUTES)
    is_stream = route.kind == 'streaming'
    return CallResult(
        _random_id(rng),
        route.name,
        same.choice(ADAPTERS) if is_stream else '',
        _DEADLY_EVENTS if is_stream else 0,
        gateway.name,
        time.monotonic(),
        path=path,
    )


def _can_be_taken_up(result: CallResult) -> bool:
    """Tell whether a caller takes a stream up that an answer hasn't ended."""
    is_resumable = any(
        each.name == result.route_name and each.is_resumable
        for each in ALL_ROUTES
    )
    if not is_resumable or result.take_ups >= _MAX_TAKE_UPS:
        return False
    if result.is_complete and result.status != _UNAVAILABLE:
        return False
    return bool(result.began or last_event_in(result.body))


def _take_up(
    rng: random.Random, gateway: Gateway, broken_off: CallResult
) -> CallResult:
    """Return the request that goes on with a stream at some gateway."""
    number = last_event_in(broken_off.body)
    return CallResult(
        _random_id(rng),
        broken_off.route_name,
        broken_off.adapter,
        broken_off.events,
        gateway.name,
        time.monotonic(),
        path=broken_off.path,
        after=number or broken_off.after,
        began=broken_off.began or broken_off.request_id,
        take_ups=broken_off.take_ups + 1,
        first_sent_s=broken_off.first_sent_s,
    )


def _random_id(rng: random.Random) -> str:
    return f'{rng.getrandbits(64):016x}'


async def _send_request(
    codec: h11.Connection,
    request: CallResult,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> CallResult:
    """Send a request; return what arrived of its answer in time."""
    limit_s = time_limit_s(request)
    writer.write(codec.send(_request_head(request, limit_s)) or b'')
    writer.write(codec.send(h11.EndOfMessage()) or b'')
    result = request
    try:
        async with asyncio.timeout(limit_s + ANSWER_MARGIN_S):
            while not result.is_complete:
                event = await _next_event(codec, reader)
                result = _updated(result, event)
                if isinstance(event, h11.ConnectionClosed):
                    break
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        return result
    return result


def time_limit_s(result: CallResult) -> float:
    """Return the time limit of a request in seconds.

    :param result: the request.
    """
    return _left_s(result, result.sent_s)


def _left_s(result: CallResult, now_s: float) -> float:
    """Return the limit that the caller of a request would state now, seconds."""
    whole_s = next(
        each.timeout_s for each in ALL_ROUTES if each.name == result.route_name
    )
    return whole_s - (now_s - result.first_sent_s) * bool(result.first_sent_s)


def _request_head(request: CallResult, limit_s: float) -> h11.Request:
    fields = {
        'Host': CALLER_HOST,
        'Request-Id': request.request_id,
        'Time-Left-Ms': str(int(limit_s * _MS_PER_S)),
    }
    if request.events:
        fields['Model'] = f'{MODEL}/{request.adapter}'
        fields['Token-Count'] = f'10,{request.events}'
    if request.began:
        fields['Last-Event-Id'] = str(request.after)
        fields['Resumes'] = request.began
    return h11.Request(
        method='GET',
        target=f'/{_path_name(request)}/{request.path}',
        headers=list(fields.items()),
    )


def _path_name(request: CallResult) -> str:
    return (
        route_added_by(request.configuration)
        if request.configuration
        else request.route_name
    )


async def _next_event(
    codec: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event:
    while True:
        event = codec.next_event()
        if event is not h11.NEED_DATA:
            assert isinstance(event, h11.Event)
            return event
        codec.receive_data(await reader.read(_READ_BYTES))


def _updated(result: CallResult, event: h11.Event) -> CallResult:
    if isinstance(event, h11.Response):
        fields = {name.decode(): text.decode() for name, text in event.headers}
        return result._replace(
            status=event.status_code,
            retry_after=fields.get('retry-after', ''),
            echoed_id=fields.get('request-id', ''),
        )
    if isinstance(event, h11.Data):
        return result._replace(body=result.body + bytes(event.data))
    return result._replace(is_complete=isinstance(event, h11.EndOfMessage))


def _is_reusable(codec: h11.Connection) -> bool:
    return codec.our_state is h11.DONE and codec.their_state is h11.DONE
