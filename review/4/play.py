"""A server runs orders and then fails some of them with 503."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    Answer,
    Deployment,
    PlainServer,
    Request,
    ask,
    configuration,
    main,
    route,
)

ZONES = ['hbt-a', 'hbt-b', 'ltn', 'bur']
CALLS = 60
PROMISES = {408, 421, 429, 503}


class FailingServer(PlainServer):
    """A server that fails two in five of the requests that it has run."""

    is_troubled = False

    async def run(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request, and answer it or fail it without `Not-Run`."""
        await asyncio.sleep(self.work_s)
        if self.is_troubled and len(self.ran) % 5 in {1, 3}:
            self.record.write(f'{self.name} fails {req.request_id} with 503')
            self.send(writer, req, 503, {'Server-Stamp': 's.0'})
            return True
        self.send_success(writer, req)
        return True


async def play(deployment: Deployment) -> bool:
    """Send orders, which callers send again as the pages tell."""
    record = deployment.record
    await deployment.store.listen()
    servers = [
        FailingServer(deployment.store, record, f'desk-{number}', zone)
        for number, zone in enumerate(ZONES)
    ]
    servers[0].is_troubled = deployment.is_troubled
    for server in servers:
        await server.start()
    routes = [route('settle', 'unsafe', timeoutMs=4000)]
    deployment.store.put('op/config', configuration(3, routes))
    await deployment.start_gateways(['hbt-a', 'hbt-b'])

    async def send(number: int, attempt: int) -> tuple[str, Answer]:
        gateway = deployment.gateways[(number + attempt) % 2]
        request_id = f'o{number:02}.{attempt}'
        answer = await ask(
            gateway.host,
            gateway.front_port,
            'POST',
            f'/settle/{number}',
            {'Request-Id': request_id, 'Time-Left-Ms': '3000'},
            b'order',
        )
        record.write(f'{request_id} is answered {answer.status}')
        return request_id, answer

    async def order(number: int) -> dict[str, int]:
        """Send an order, and once more if it is told that it hasn't run."""
        statuses = {}
        for attempt in range(2):
            request_id, answer = await send(number, attempt)
            statuses[request_id] = answer.status
            if answer.status not in PROMISES:
                break
        return statuses

    orders = []
    for number in range(CALLS):
        orders.append(asyncio.create_task(order(number)))
        await asyncio.sleep(0.05)
    statuses = {}
    for found in await asyncio.gather(*orders):
        statuses.update(found)
    ran = [request_id for server in servers for request_id in server.ran]
    broken = [each for each in ran if statuses[each] in PROMISES]
    placed = [each.partition('.')[0] for each in ran]
    twice = {each for each in placed if placed.count(each) > 1}
    record.write(
        f'{len(ran)} runs; {len(broken)} were answered as not run: {broken}; '
        f'{len(twice)} orders were placed twice'
    )
    return not broken


if __name__ == '__main__':
    main(play, str(pathlib.Path(__file__).parent))
