"""What an idempotency key adds to the time of a call."""

import math
import threading
import time
from collections import Counter
from functools import partial
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from emulator.deployment import TENANT_TOKEN, Deployment
from emulator.load import percentile
from emulator.processes import MachineLoad
from emulator.shape import Endpoint
from emulator.waiting import wait_until
from wasabicross.claims.claim_ranges import ClaimRanges, RangeOwner
from wasabicross.runtime.settings import ClaimsSettings
from wasabicross.stores.kv import KeyValueStore

RATES = (10, 50, 200)
WRITES_PER_S = 20
MS_PER_S = 1000
START_S = 60
SHARED_S = 150
READY_CLAIMS = 40
KV_TIMEOUT_S = 2
CALL_TIMEOUT_S = 20
STATUS_OK = 200


class ClaimTiming:
    """Times keyed calls beside unkeyed ones and the service's own writes.

    :param deployment: running, with plain services.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def measure(self, rate: int, seconds: float) -> dict[str, Any]:
        """Time calls with and without a key, and the service's own writes.

        :param rate: keyed calls a second.
        :param seconds: how long.
        """
        machine = MachineLoad()
        stop = threading.Event()
        timed = {name: list[float]() for name in ('keyed', 'plain', 'write')}
        ends: list[str] = []
        runs = (
            threading.Thread(
                target=self._call_at,
                args=(rate, 'keyed', timed['keyed'], ends, stop),
            ),
            threading.Thread(
                target=self._call_at,
                args=(WRITES_PER_S, '', timed['plain'], ends, stop),
            ),
            threading.Thread(target=self._write, args=(timed['write'], stop)),
        )
        for run in runs:
            run.start()
        stop.wait(seconds)
        stop.set()
        for run in runs:
            run.join()
        medians = {
            f'{name}_ms_p50': percentile(values, 0.5) * MS_PER_S
            for name, values in timed.items()
        }
        added = medians['keyed_ms_p50'] - medians['plain_ms_p50']
        tail_ms = percentile(timed['keyed'], 0.99) * MS_PER_S
        return {
            'figure': 'claim',
            'rate': rate,
            'calls': len(timed['keyed']),
            'failed': dict(Counter(end for end in ends if end)),
            **{name: round(value, 2) for name, value in medians.items()},
            'keyed_ms_p99': round(tail_ms, 2),
            'added_ms_p50': round(added, 2),
            'over_write_ms_p50': round(added - medians['write_ms_p50'], 2),
            'busy_cores': machine.busy_cores(),
        }

    def wait_for_owners(self) -> None:
        """Wait until keys of all ranges can be claimed, and will stay so.

        A call whose range changes hands may be refused as not run. That the
        ranges are shared again after a cut takes a minute and more.
        """
        pool = urllib3.PoolManager()
        for number in range(READY_CLAIMS):
            wait_until(
                partial(_is_answered, pool, self._entry(number), number),
                START_S,
                'owners of the claims',
            )
        wait_until(self._are_shared, SHARED_S, 'ranges shared')

    def _are_shared(self) -> bool:
        """Tell whether no range is going to another instance for evenness."""
        count = ClaimsSettings().ranges
        here = RangeOwner('bench', '', 0)
        store = KeyValueStore(self._deployment.kv.url, KV_TIMEOUT_S)
        ranges = ClaimRanges(store, here, count, 0, 0, lambda: None)
        owners = [ranges.owner_of(number, 0) for number in range(count)]
        share = math.ceil(count / len(self._deployment.controllers))
        return None not in owners and max(Counter(owners).values()) <= share

    def _call_at(
        self,
        rate: int,
        stem: str,
        timed: list[float],
        ends: list[str],
        stop: threading.Event,
    ) -> None:
        """Make calls at a rate, whether or not earlier ones have ended."""
        pool = urllib3.PoolManager(maxsize=rate)
        started_s = time.monotonic()
        threads = []
        number = 0
        while not stop.is_set():
            key = f'{stem}-{rate}-{number}' if stem else ''
            thread = threading.Thread(
                target=_time_call,
                args=(pool, self._entry(number), key, timed, ends),
            )
            thread.start()
            threads.append(thread)
            number += 1
            stop.wait(max(0, started_s + number / rate - time.monotonic()))
        for thread in threads:
            thread.join()

    def _write(self, timed: list[float], stop: threading.Event) -> None:
        store = KeyValueStore(self._deployment.kv.url, KV_TIMEOUT_S)
        version = store.get('bench').ok.version
        while not stop.wait(1 / WRITES_PER_S):
            started_s = time.monotonic()
            written = store.compare_and_swap('bench', b'x' * 200, version)
            timed.append(time.monotonic() - started_s)
            version = written.ok.version

    def _entry(self, number: int) -> Endpoint:
        return self._deployment.entries[number % len(self._deployment.entries)]


def _time_call(
    pool: urllib3.PoolManager,
    entry: Endpoint,
    key: str,
    timed: list[float],
    ends: list[str],
) -> None:
    started_s = time.monotonic()
    ends.append(_call(pool, entry, key))
    timed.append(time.monotonic() - started_s)


def _call(pool: urllib3.PoolManager, entry: Endpoint, key: str) -> str:
    """Make a call; return what failed, empty if nothing did."""
    headers = {
        'Authorization': f'Bearer {TENANT_TOKEN}',
        **({'Idempotency-Key': key} if key else {}),
    }
    try:
        resp = pool.request(
            'POST',
            f'{entry.url}/orders',
            body=b'{}',
            headers=headers,
            retries=False,
            timeout=CALL_TIMEOUT_S,
        )
    except HTTPError as exc:
        return type(exc).__name__
    if resp.status == STATUS_OK:
        return ''
    return f'{resp.status} {resp.json()["error"]["code"]}'


def _is_answered(
    pool: urllib3.PoolManager, entry: Endpoint, number: int
) -> bool:
    return not _call(pool, entry, f'ready-{number}')
