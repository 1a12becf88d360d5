"""A store comes back from a copy without an owner's record and turns it away."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import sys
import time
from collections import Counter
from typing import Any, NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    BOUNDS,
    HEARTBEAT_S,
    HOST,
    Deployment,
    Gateway,
    PlainServer,
    Request,
    Store,
    ask,
    configuration,
    event,
    main,
    route,
)

ZONE = 'hbt-a'
LEASE_S = BOUNDS['leaseMs'] / 1000
THAW_S = BOUNDS['thawMs'] / 1000
EVENTS = 4
EVENT_S = 0.05
ADAPTER_SLOTS = 21
ADAPTERS = 200
LOAD_S = 0.25
INTERVAL_S = 0.15
#: Age of the copy when the store is back, and how long the store is away.
COPY_AGE_S = 4.5
AWAY_S = 0.3
#: How long the owner stays cut off once the other gateway is ready; it is cut off
#: for less than a second before.
CUT_S = 5.5
AFTER_S = 3.0


class Order(NamedTuple):
    """An order that reached a server."""

    at_s: float
    server: str
    holder: str
    fence: int


class Engine(PlainServer):
    """A model server that loads adapters when it is ordered to."""

    def __init__(self, store: Store, *args: Any, **options: Any) -> None:
        super().__init__(store, *args, **options)
        #: When the load of each adapter ends or has ended.
        self.loaded_s: dict[str, float] = {}
        self._users: Counter[str] = Counter()
        #: The adapter whose unload waits for its runs, empty for none.
        self._unloading = ''
        self.models = [{'name': 'm0', 'version': 1, 'adapters': []}]
        self.orders: list[Order] = []

    async def handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a call or a request."""
        if req.fields.get('expect-instance', self.server_id) == self.server_id:
            if req.path == '/-/report':
                report = json.dumps(self._report()).encode()
                self.send(writer, req, 200, {}, report)
                return True
            if req.path == '/-/order':
                self.send(writer, req, self._order(json.loads(req.body)), {})
                return True
        adapter = req.fields.get('model', '').partition('/')[2]
        if adapter and not self._holds(adapter):
            self.send(writer, req, 421, {'Not-Run': '1'})
            return True
        return await super().handle(req, writer)

    async def send_heartbeats(self) -> None:
        """Write the entry again when the adapters have changed."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            models = self._models()
            # A store that is away takes nothing; the next heartbeat does.
            if models != self.models and self.store.is_up:
                self.models = models
                self.register('ready')

    def _models(self) -> list[dict[str, Any]]:
        held = [f'{name}@1' for name in self.loaded_s if self._holds(name)]
        return [{'name': 'm0', 'version': 1, 'adapters': held}]

    def _holds(self, adapter: str) -> bool:
        return time.monotonic() >= self.loaded_s.get(adapter, float('inf'))

    def _report(self) -> dict[str, Any]:
        pending = [name for name in self.loaded_s if not self._holds(name)]
        return {
            'phase': 'colocated',
            'models': self._models(),
            'pending': [f'm0/{name}@1' for name in pending],
            'busy': False,
            'seq': self.seq,
            'queued': 0,
            'running': self.running,
            'kvUsed': 0,
            'kvTotal': 129799,
            'servedModels': 1,
            'born': self.born,
        }

    def _order(self, order: dict[str, Any]) -> int:
        """Carry an order out; fences aren't checked."""
        adapter = order.get('adapter', '')
        self.orders.append(
            Order(
                time.monotonic(),
                self.server_id,
                order['holder'],
                order['fence'],
            )
        )
        self.record.write(
            f'{self.server_id} gets {order["op"]} {adapter} of '
            f'{order["holder"]}, fence {order["fence"]}'
        )
        is_load = order['op'] == 'load'
        if is_load and adapter in self.loaded_s and adapter != self._unloading:
            return 200 if self._holds(adapter) else 202
        if not is_load and adapter not in self.loaded_s:
            return 200
        if self._unloading or order.get('expected', self.seq) != self.seq:
            return 409
        self.seq += 1
        if is_load:
            self.loaded_s[adapter] = time.monotonic() + LOAD_S
            if len(self.loaded_s) > ADAPTER_SLOTS:
                raise RuntimeError('ordered to load more than there are slots')
            return 202
        if self._users[adapter]:
            self._unloading = adapter
            return 202
        self.loaded_s.pop(adapter)
        return 200

    async def run(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Stream the answer to a request."""
        adapter = req.fields['model'].partition('/')[2]
        self._users[adapter] += 1
        try:
            await self._stream(req, writer)
        finally:
            self._users[adapter] -= 1
            if adapter == self._unloading and not self._users[adapter]:
                self._unloading = ''
                self.loaded_s.pop(adapter)
        return True

    async def _stream(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        head = (
            'HTTP/1.1 200 OK',
            f'Request-Id: {req.request_id}',
            'Server-Stamp: s.1',
            'Weight-Versions: 1',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            '',
            '',
        )
        writer.write('\r\n'.join(head).encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            part = event(req.request_id, number)
            writer.write(b'%x\r\n%b\r\n' % (len(part), part))
        writer.write(b'0\r\n\r\n')


class StoreLink:
    """The way of one gateway to the store, which can be cut."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.is_cut = False
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Begin to accept calls."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Reset all calls from now on."""
        self.is_cut = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.is_cut:
                writer.transport.abort()
                return
            from_store, to_store = await asyncio.open_connection(
                HOST, self._store.port
            )
            await asyncio.gather(
                _pump(reader, to_store), _pump(from_store, writer)
            )
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while got := await reader.read(65536):
            writer.write(got)
    writer.close()


class Traffic:
    """Requests for ever other adapters, so that owners have them loaded."""

    def __init__(self, deployment: Deployment) -> None:
        self._record = deployment.record
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._requests: list[asyncio.Task[None]] = []

    def start(self, gateway: Gateway) -> None:
        """Begin to send requests to a gateway."""
        self._tasks.append(asyncio.create_task(self._send_all(gateway)))

    async def stop(self) -> None:
        """Send nothing more and wait for the answers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._requests)

    async def _send_all(self, gateway: Gateway) -> None:
        while True:
            self._requests.append(asyncio.create_task(self._send(gateway)))
            await asyncio.sleep(INTERVAL_S)

    async def _send(self, gateway: Gateway) -> None:
        number = next(self._numbers)
        answer = await ask(
            gateway.host,
            gateway.front_port,
            'POST',
            f'/waiver/{number}',
            {
                'Request-Id': f'w{number}',
                'Time-Left-Ms': '8000',
                'Model': f'm0/a{number % ADAPTERS}',
                'Token-Count': '100,20',
                'Prompt-Prefix': f'{number:08x}:100',
            },
            b'prompt',
        )
        self._record.write(f'w{number} at {gateway.name}: {answer.status}')


def configure(store: Store) -> None:
    """Write the configuration."""
    model = {
        'name': 'm0',
        'weightsMb': 65100,
        'loadS': 3.9,
        'adapters': 3000,
        'adapterMb': 12,
    }
    engine = {
        'adapterSlots': ADAPTER_SLOTS,
        'weightsMb': 67000,
        'models': [model],
    }
    service = {
        'name': 'scribe',
        'healthPath': '/health',
        'maxConns': 360,
        'engine': engine,
    }
    waiver = route(
        'waiver',
        'streaming',
        service='scribe',
        timeoutMs=8000,
        targetLatencyMs=800,
        targetGapMs=250,
    )
    store.put('op/config', configuration(3, [waiver], [service]))


async def come_back_from_copy(
    deployment: Deployment, copy: tuple[dict[str, tuple[str, int]], int]
) -> None:
    """Let the store be away for a moment and come back from a copy."""
    store = deployment.store
    deployment.record.write('the store goes away')
    port = store.port
    await store.stop()
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    await store.listen(port)
    deployment.record.write('the store is back from a copy')


async def play(deployment: Deployment) -> bool:
    """Start a gateway, lose its record, cut it off, and start another one."""
    record, store = deployment.record, deployment.store
    await store.listen()
    link = StoreLink(store)
    await link.listen()
    engines = [
        Engine(
            store,
            record,
            f'scribe-{number}',
            ZONE,
            service='scribe',
            slots=64,
        )
        for number in range(2)
    ]
    beats = []
    for engine in engines:
        await engine.start()
        beats.append(asyncio.create_task(engine.send_heartbeats()))
    configure(store)
    deployment.prepare([ZONE, ZONE], [link.port, store.port])
    owner, added = deployment.gateways
    traffic = Traffic(deployment)
    copy = store.copy()
    copied_s = time.monotonic()
    await owner.start()
    await owner.wait_ready()
    traffic.start(owner)
    away_s = copied_s + COPY_AGE_S - AWAY_S
    await asyncio.sleep(away_s - time.monotonic())
    if deployment.is_troubled:
        record.write(f'{owner.name} is cut off from the store')
        link.cut()
        await come_back_from_copy(deployment, copy)
    await added.start()
    await added.wait_ready()
    record.write(f'{added.name} is added')
    traffic.start(added)
    await asyncio.sleep(CUT_S)
    link.is_cut = False
    healed_s = time.monotonic()
    record.write(f'{owner.name} reaches the store')
    await asyncio.sleep(AFTER_S)
    await traffic.stop()
    for beat in beats:
        beat.cancel()
    return judge(deployment, engines, owner.name, healed_s)


def judge(
    deployment: Deployment,
    engines: list[Engine],
    owner: str,
    healed_s: float,
) -> bool:
    """Return whether no two holders take turns and no fence number falls.

    :param owner: name of the machine whose link to the store healed.
    :param healed_s: when it did; its orders right after that don't count.
    """
    turns = falls = total = 0
    for engine in engines:
        counted = [
            order
            for order in engine.orders
            if order.holder != owner or not 0 <= order.at_s - healed_s <= THAW_S
        ]
        total += len(counted)
        turns += _turns(counted)
        falls += _falls(counted)
    deployment.record.write(
        f'{total} orders, {turns} times a holder, another one and the first one '
        f'again within the lease, {falls} fence numbers below earlier ones'
    )
    return not turns and not falls


def _turns(orders: list[Order]) -> int:
    """Count returns to a holder after another one within the lease."""
    spans = [list(each) for _, each in itertools.groupby(orders, _holder)]
    return sum(
        first[-1].holder == third[0].holder
        and third[0].at_s - first[-1].at_s < LEASE_S
        for first, _, third in zip(spans, spans[1:], spans[2:])
    )


def _falls(orders: list[Order]) -> int:
    """Count fence numbers that are lower than an earlier one."""
    highest = itertools.accumulate((each.fence for each in orders), max)
    return sum(
        order.fence < known for order, known in zip(orders[1:], highest)
    )


def _holder(order: Order) -> str:
    return order.holder


if __name__ == '__main__':
    main(play, str(pathlib.Path(__file__).parent))
