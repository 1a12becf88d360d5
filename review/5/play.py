"""A server answers one request with small chunks that don't end."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    Answer,
    Deployment,
    PlainServer,
    ask,
    configuration,
    main,
    route,
)

ZONES = ['hbt-a', 'hbt-b', 'ltn', 'bur']
TIMEOUT_S = 1.0
HALF_S = 0.5
CALLS = 200
INTERVAL_S = 0.1
#: When the machines have been in touch for over `stableMs`.
CALL_OF_TROUBLE = 40
#: How long callers wait; longer than their route's time limit, so that it counts.
PATIENCE_S = 14.0


async def play(deployment: Deployment) -> bool:
    """Send orders to two gateways, and to one of them a request that floods it."""
    record = deployment.record
    await deployment.store.listen()
    for number, zone in enumerate(ZONES):
        await deployment.start_server(
            f'status-{number}', zone, 'endless', service='status'
        )
        await PlainServer(
            deployment.store, record, f'desk-{number}', zone
        ).start()
    routes = [
        route('settle', 'unsafe', timeoutMs=int(TIMEOUT_S * 1000)),
        route('status', 'safe', timeoutMs=10000, service='status'),
    ]
    services = [
        {'name': name, 'healthPath': '/health', 'maxConns': 96}
        for name in ('desk', 'status')
    ]
    deployment.store.put('op/config', configuration(3, routes, services))
    await deployment.start_gateways(['hbt-a', 'hbt-b'])

    async def settle(number: int) -> Answer:
        gateway = deployment.gateways[number % 2]
        request_id = f'o{number:03}'
        answer = await ask(
            gateway.host,
            gateway.front_port,
            'POST',
            f'/settle/{number}',
            {
                'Request-Id': request_id,
                'Time-Left-Ms': str(int(PATIENCE_S * 1000)),
            },
            b'order',
            timeout_s=PATIENCE_S,
        )
        record.write(
            f'{request_id} at {gateway.name}: {answer.status} after '
            f'{answer.took_s:.3f} s {answer.reason}'
        )
        return answer

    async def look_up(path: str) -> None:
        gateway = deployment.gateways[0]
        started_s = time.monotonic()
        fields = {'Request-Id': f'l-{path}', 'Time-Left-Ms': '10000'}
        answer = await ask(
            gateway.host,
            gateway.front_port,
            'GET',
            f'/status/{path}',
            fields,
            timeout_s=10.0,
        )
        took_s = time.monotonic() - started_s
        record.write(
            f'look-up {path}: {answer.status} after {took_s:.3f} s, '
            f'{answer.reason}'
        )

    async def watch_readiness() -> None:
        while True:
            for gateway in deployment.gateways:
                if not await gateway.is_ready():
                    record.write(f'{gateway.name} answers no readiness check')
            await asyncio.sleep(1.0)

    readiness = asyncio.create_task(watch_readiness())
    calls = []
    look_ups = []
    for number in range(CALLS):
        calls.append(asyncio.create_task(settle(number)))
        if number == CALL_OF_TROUBLE:
            path = 'flood' if deployment.is_troubled else 'ok'
            look_ups.append(asyncio.create_task(look_up(path)))
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*calls)
    await asyncio.gather(*look_ups)
    readiness.cancel()
    return judge(deployment, answers)


def judge(deployment: Deployment, answers: list[Answer]) -> bool:
    """Return whether half of the requests past their limit are answered soon."""
    late = [each for each in answers if each.took_s > TIMEOUT_S]
    overdue = [each for each in late if each.took_s > TIMEOUT_S + HALF_S]
    deployment.record.write(
        f'{len(answers)} orders, {len(late)} without an answer at their time '
        f'limit, {len(overdue)} without one half a second later'
    )
    return 2 * len(overdue) <= len(late)


if __name__ == '__main__':
    main(play, str(pathlib.Path(__file__).parent))
