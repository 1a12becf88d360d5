"""The parts that `make slopes` measures, each at several sizes."""

import asyncio
import json
import pathlib
import threading
import time
from collections import Counter
from functools import partial
from typing import Any

import urllib3

from emulator.arrivals import Arrivals, Popularity
from emulator.deployment import PEER_TOKEN, TENANT_TOKEN, Deployment
from emulator.idle_peers import IdlePeers, LinkBytes
from emulator.link_table import HOST
from emulator.load import Load
from emulator.rolling import CHAT_PATH, bundle_text, put_in_force
from emulator.shape import Shape
from emulator.slope_deployment import (
    ADAPTERS,
    LOCAL_DATA_CENTRE,
    REMOTE_DATA_CENTRE,
    USE_LEASE_S,
    Figures,
    UsageWindow,
    deployed,
    key_value_calls,
)
from emulator.stream_client import StreamCall
from emulator.waiting import free_ports, wait_until
from wasabicross.bundles.bundle_file import build_bundle, parse_bundle_file
from wasabicross.bundles.bundles import decode_chunk
from wasabicross.ownership.peers import renew_interval_s
from wasabicross.stores.instances import parse_fleet

START_TIMEOUT_S = 60
TOKENS = 212
TOKENS_PER_S = 26
MAX_IN_FLIGHT = 600
LIST_READS = 50
LONG_USE_LEASE_S = 30.0


def one_instance(entries: int = 1, **more: Any) -> Shape:
    """Return the shape of one instance."""
    return Shape((LOCAL_DATA_CENTRE,), entries=entries, admins=False, **more)


def measure_peers(
    count: int, seconds: float, use_lease_s: float = USE_LEASE_S
) -> Figures:
    """Measure one controller and its four entries with idle peers.

    :param count: number of peers, all of another data centre.
    :param seconds: length of the measurement.
    :param use_lease_s: lifetime of a grant of use, in seconds.
    """
    port = free_ports(1)[0]
    peers = IdlePeers(count, REMOTE_DATA_CENTRE, port, PEER_TOKEN)
    peers.listen()
    try:
        shape = one_instance(4)
        with deployed(shape, peers, use_lease_s=use_lease_s) as deployment:
            wait_until(peers.linked, START_TIMEOUT_S, 'peers connected')
            interval_s = renew_interval_s(count, use_lease_s)
            peers.connect_to(deployment.controllers[0].port, interval_s)
            _wait(seconds / 2)
            before = peers.link_bytes()
            window = UsageWindow(deployment)
            _wait(seconds)
            figures = window.figures()
            pid = deployment.runner.pid(deployment.controllers[0].name)
            figures['controller_threads'] = _threads_of(pid)
            figures.update(_link_figures(before, peers.link_bytes(), seconds))
    finally:
        peers.close()
    return figures


def measure_far_peers(count: int, seconds: float) -> Figures:
    """Measure idle peers of another data centre whose grants last longer.

    :param count: number of peers.
    :param seconds: length of the measurement.
    """
    return measure_peers(count, seconds, LONG_USE_LEASE_S)


def measure_servers(count: int, seconds: float) -> Figures:
    """Measure one controller that owns engines.

    :param count: number of engines besides the first.
    :param seconds: length of the measurement.
    """
    with deployed(one_instance(), aliases=count) as deployment:
        _wait(seconds)
        window = UsageWindow(deployment)
        _wait(seconds)
        return window.figures()


def measure_instances(count: int, seconds: float) -> Figures:
    """Measure real controllers that are connected to each other.

    :param count: number of instances in the one data centre.
    :param seconds: length of the measurement.
    """
    shape = one_instance(instances=count, engines=2)
    with deployed(shape) as deployment:
        _wait(seconds)
        window = UsageWindow(deployment)
        _wait(seconds)
        figures = window.figures()
        figures['change_everywhere_s'] = _roll(deployment, {'adapter-0': '2'})
    figures['calls_per_instance_s'] = figures['key_value_calls_per_s'] / count
    return figures


def measure_streams(rate: int, seconds: float) -> Figures:
    """Measure an entry that streams answers of engines.

    :param rate: calls a second.
    :param seconds: length of the measurement.
    """
    shape = one_instance(
        engines=4, engine_args=('--batch', '256', '--first-token-ms', '50')
    )
    ramp_s = TOKENS / TOKENS_PER_S
    with deployed(shape) as deployment:
        url = deployment.entries[0].url
        load = Load(
            lambda arrival: StreamCall(
                url,
                CHAT_PATH,
                f'adapter-{arrival.number}',
                arrival.tokens,
                TENANT_TOKEN,
            ),
            MAX_IN_FLIGHT,
        )
        arrivals = Arrivals(rate, TOKENS, Popularity(ADAPTERS), 1)
        planned = arrivals.until(2 * ramp_s + seconds)
        load_calls: list[Any] = []
        calls = threading.Thread(
            target=lambda: load_calls.extend(asyncio.run(load.run(planned)))
        )
        calls.start()
        _wait(2 * ramp_s)
        window = UsageWindow(deployment)
        _wait(seconds)
        figures = window.figures()
        calls.join()
    complete = [
        load_call
        for load_call in load_calls
        if load_call.record and load_call.record.is_complete
    ]
    figures['calls'] = len(load_calls)
    figures['whole'] = len(complete)
    return figures


def measure_list(count: int, seconds: float) -> Figures:
    """Measure the parsing of an instance list.

    :param count: number of entries of the list.
    :param seconds: not used.
    """
    instances = [
        {
            'instance_id': f'{LOCAL_DATA_CENTRE}-instance-{at}',
            'data_centre': LOCAL_DATA_CENTRE,
            'host': HOST,
            'port': 1024 + at,
            'state': 'live',
        }
        for at in range(count)
    ]
    document = json.dumps({'instances': instances, 'servers': []}).encode()
    started_s = time.process_time()
    for _ in range(LIST_READS):
        parse_fleet(document)
    parsed_s = time.process_time() - started_s
    return {
        'list_bytes': len(document),
        'parse_ms': round(parsed_s / LIST_READS * 1000, 3),
    }


def measure_claims(rate: int, seconds: float) -> Figures:
    """Measure keyed calls to a plain service.

    :param rate: calls a second.
    :param seconds: length of the measurement.
    """
    with deployed(one_instance()) as deployment:
        pool = urllib3.PoolManager(maxsize=MAX_IN_FLIGHT)
        statuses = Counter[int]()
        url = f'{deployment.entries[0].url}/orders'

        def call(number: int) -> None:  # noqa: WPS430
            headers = {
                'Authorization': f'Bearer {TENANT_TOKEN}',
                'Idempotency-Key': f'order-{number}',
            }
            resp = pool.request('POST', url, body=b'{}', headers=headers)
            statuses[resp.status] += 1

        _wait(seconds / 2)
        window = UsageWindow(deployment)
        for number in range(int(rate * seconds)):
            threading.Thread(target=call, args=(number,)).start()
            _wait(1 / rate)
        figures = window.figures()
    figures['statuses'] = dict(statuses)
    return figures


def measure_adapters(count: int, seconds: float) -> Figures:
    """Measure rolls of a bundle of many adapters.

    :param count: number of adapters in the bundle.
    :param seconds: length of the measurement.
    """
    names = [f'customer-{at:05d}-letters' for at in range(count)]
    versions = dict.fromkeys(names, '1')
    with deployed(one_instance()) as deployment:
        _wait(seconds / 2)
        before = UsageWindow(deployment).figures()
        figures: Figures = {}
        for name, version in (('first', '1'), ('change', '2')):
            versions[names[0]] = version
            calls = key_value_calls(deployment)
            figures[f'{name}_in_force_s'] = _roll(deployment, versions)
            new_calls = key_value_calls(deployment)
            new_calls.subtract(calls)
            figures[f'{name}_gets'] = new_calls['get']
        figures.update(_bundle_bytes(versions, names[0]))
        after = UsageWindow(deployment).figures()
    for kind in ('controller', 'entry'):
        field = f'{kind}_resident_mb'
        figures[f'{kind}_grown_mb'] = round(after[field] - before[field], 1)
    return figures


def _bundle_bytes(versions: dict[str, str], changed: str) -> Figures:
    built = build_bundle(
        parse_bundle_file(bundle_text(versions, {})).ok, 2, 'ab' * 32
    ).ok
    chunk = next(
        encoded
        for encoded in built.chunks.values()
        if any(changed in by for by in decode_chunk(encoded).values())
    )
    chunk_bytes = sum(len(encoded) for encoded in built.chunks.values())
    return {
        'bundle_bytes': len(built.manifest) + chunk_bytes,
        'manifest_bytes': len(built.manifest),
        'change_bytes': len(built.manifest) + len(chunk),
    }


def _roll(deployment: Deployment, versions: dict[str, str]) -> float:
    """Roll a bundle; return the seconds until it is in force everywhere."""
    pointer = put_in_force(deployment, bundle_text(versions, {}))
    started_s = time.monotonic()
    wait_until(
        partial(_in_force, deployment, pointer.number),
        START_TIMEOUT_S,
        f'bundle {pointer.number} in force',
    )
    return round(time.monotonic() - started_s, 2)


def _in_force(deployment: Deployment, number: int) -> bool:
    logged = f'"bundle": {number}'
    endpoints = (*deployment.controllers, *deployment.entries)
    paths = [
        deployment.runner.log_path(endpoint.name) for endpoint in endpoints
    ]
    return all(logged in path.read_text() for path in paths)


def _link_figures(
    before: LinkBytes, after: LinkBytes, seconds: float
) -> Figures:
    payload = (after.payload - before.payload) / seconds
    segments = (after.segments - before.segments) / seconds
    return {
        'link_payload_bytes_per_s': round(payload),
        'link_segments_per_s': round(segments),
    }


def _threads_of(pid: int) -> int:
    return len(list(pathlib.Path(f'/proc/{pid}/task').iterdir()))


def _wait(seconds: float) -> None:
    threading.Event().wait(seconds)
