"""A server leaves without a report just after the store has cut a watch."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    BOUNDS,
    Answer,
    Deployment,
    PlainServer,
    Request,
    ask,
    configuration,
    main,
    route,
)

ZONES = ['hbt-a', 'hbt-b', 'ltn', 'bur', 'hbt-a', 'hbt-b', 'ltn', 'bur']
DRAIN_S = BOUNDS['drainMs'] / 1000
#: How much longer than `drainMs` a server serves before it exits.
LITTLE_S = 0.3
#: How long watches that wait are cut, so that each gateway's is cut once or twice.
CUT_S = 1.0
CUT_INTERVAL_S = 0.01
INTERVAL_S = 0.01
STABLE_S = 4.0
SUCCESS = 200
UNKNOWN = 502


class LeavingServer(PlainServer):
    """A server that notes when requests arrive."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.arrivals: list[tuple[float, str]] = []

    async def run(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request."""
        self.arrivals.append((time.monotonic(), req.request_id))
        return await super().run(req, writer)


async def play(deployment: Deployment) -> bool:
    """Send orders while one of eight servers leaves."""
    record = deployment.record
    store = deployment.store
    await store.listen()
    servers = [
        LeavingServer(store, record, f'desk-{number}', zone, work_s=0.15)
        for number, zone in enumerate(ZONES)
    ]
    for server in servers:
        await server.start()
    routes = [route('settle', 'unsafe', timeoutMs=1500)]
    store.put('op/config', configuration(3, routes))
    await deployment.start_gateways(['hbt-a', 'hbt-b'])
    answers: dict[str, Answer] = {}

    async def order(number: int) -> None:
        gateway = deployment.gateways[number % 2]
        request_id = f'o{number:04}'
        answers[request_id] = await ask(
            gateway.host,
            gateway.front_port,
            'POST',
            f'/settle/{number}',
            {'Request-Id': request_id, 'Time-Left-Ms': '1500'},
            b'order',
        )

    async def send_orders() -> None:
        for number in range(3000):
            orders.append(asyncio.create_task(order(number)))
            await asyncio.sleep(INTERVAL_S)

    orders: list[asyncio.Task[None]] = []
    sending = asyncio.create_task(send_orders())
    server = servers[0]
    await asyncio.sleep(STABLE_S)
    if deployment.is_troubled:
        record.write(f'the store cuts watches that wait, for {CUT_S} s')
        for _ in range(int(CUT_S / CUT_INTERVAL_S)):
            store.cut_watches()
            await asyncio.sleep(CUT_INTERVAL_S)
    store.put(f'servers/{server.server_id}', None)
    gone_s = time.monotonic()
    record.write(f'entry of {server.server_id} is removed')
    await asyncio.sleep(DRAIN_S + LITTLE_S)
    late = [
        request_id
        for at_s, request_id in server.arrivals
        if at_s > gone_s + DRAIN_S
    ]
    last_s = max(at_s for at_s, _ in server.arrivals) - gone_s
    record.write(
        f'{server.server_id} exits; the last request came {last_s:.3f} s '
        f'after the removal; late: {late}'
    )
    await server.stop()
    await asyncio.sleep(2)
    sending.cancel()
    await asyncio.gather(*orders)
    lost = [each for each in late if answers[each].status == UNKNOWN]
    failed = sum(each.status != SUCCESS for each in answers.values())
    record.write(
        f'{len(answers)} orders, {failed} not answered with 200; {len(late)} '
        f'reached a server late, {len(lost)} of these were cut at its exit'
    )
    return not late


if __name__ == '__main__':
    main(play, str(pathlib.Path(__file__).parent))
