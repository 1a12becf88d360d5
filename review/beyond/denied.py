"""Two servers crash one after the other while they run the same look-up.

This is no case of the review; the report tells why.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    Answer,
    CouldNotRun,
    Deployment,
    ServerProcess,
    ask,
    configuration,
    main,
    route,
)

ZONES = ['hbt-a', 'hbt-b', 'ltn', 'bur', 'hbt-a', 'hbt-b', 'ltn', 'bur']
INTERVAL_S = 4.0
LOOK_UPS = 18
OTHERS_A_LOOK_UP = 8
#: The look-up during which the servers crash.
CRASHED_LOOK_UP = 1
#: How long a server has run the look-up when it crashes; it takes a second.
BEGUN_S = 0.4
OWN_REFUSALS = set(range(300, 500)) - {408, 421, 429}


async def play(deployment: Deployment) -> bool:
    """Send the look-up of one invoice again and again, beside other look-ups."""
    record = deployment.record
    servers = [
        await deployment.start_server(f'desk-{number}', zone, 'slow')
        for number, zone in enumerate(ZONES)
    ]
    routes = [route('status', 'safe', timeoutMs=4000, targetLatencyMs=1500)]
    deployment.store.put('op/config', configuration(3, routes))
    await deployment.start_gateways(['hbt-a', 'hbt-b'])

    async def look_up(invoice: str, number: int) -> Answer:
        gateway = deployment.gateways[number % 2]
        request_id = f'{invoice}.{number}'
        answer = await ask(
            gateway.host,
            gateway.front_port,
            'GET',
            f'/status/{invoice}',
            {'Request-Id': request_id, 'Time-Left-Ms': '4000'},
        )
        record.write(f'{request_id} at {gateway.name}: {answer.status}')
        return answer

    calls = []
    for number in range(LOOK_UPS):
        calls.append(asyncio.create_task(look_up('invoice', number)))
        if deployment.is_troubled and number == CRASHED_LOOK_UP:
            for _ in range(2):
                await crash_one(servers, f'invoice.{number}')
        for other in range(OTHERS_A_LOOK_UP):
            count = number * OTHERS_A_LOOK_UP + other
            calls.append(
                asyncio.create_task(look_up(f'other-{count % 30}', count))
            )
            await asyncio.sleep(INTERVAL_S / OTHERS_A_LOOK_UP)
    answers = await asyncio.gather(*calls)
    allowed = 5 + len(answers) / 500
    denied = sum(each.status in OWN_REFUSALS for each in answers)
    record.write(f'{len(answers)} requests, {denied} denied, {allowed} allowed')
    return denied <= allowed


async def crash_one(servers: list[ServerProcess], request_id: str) -> None:
    """Kill the server that has just begun to run a request."""
    for _ in range(200):
        for server in servers:
            if request_id in server.ran and server.is_alive:
                await asyncio.sleep(BEGUN_S)
                server.kill()
                await server.end()
                return
        await asyncio.sleep(0.01)
    raise CouldNotRun(f'no server runs {request_id}')


if __name__ == '__main__':
    main(play, str(pathlib.Path(__file__).parent))
