"""Measures the time that an idempotency key adds to a call."""

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
START_TIMEOUT_S = 60
BALANCE_TIMEOUT_S = 150
READY_CLAIMS = 40
KV_TIMEOUT_S = 2
CALL_TIMEOUT_S = 20
STATUS_OK = 200


class ClaimTiming:
    """Times calls with and without a key, and writes to the key-value service.

    :param deployment: a running deployment with plain services.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def measure(self, rate: int, seconds: float) -> dict[str, Any]:
        """Time calls with and without a key, and writes to the key-value service.

        :param rate: keyed calls a second.
        :param seconds: length of the measurement.
        """
        machine = MachineLoad()
        stop = threading.Event()
        durations_s = {
            name: list[float]() for name in ('keyed', 'plain', 'write')
        }
        errors: list[str] = []
        runs = (
            threading.Thread(
                target=self._call_at,
                args=(rate, 'keyed', durations_s['keyed'], errors, stop),
            ),
            threading.Thread(
                target=self._call_at,
                args=(WRITES_PER_S, '', durations_s['plain'], errors, stop),
            ),
            threading.Thread(
                target=self._write_at_rate, args=(durations_s['write'], stop)
            ),
        )
        for run in runs:
            run.start()
        stop.wait(seconds)
        stop.set()
        for run in runs:
            run.join()
        medians = {
            f'{name}_ms_p50': percentile(values, 0.5) * MS_PER_S
            for name, values in durations_s.items()
        }
        added = medians['keyed_ms_p50'] - medians['plain_ms_p50']
        tail_ms = percentile(durations_s['keyed'], 0.99) * MS_PER_S
        return {
            'figure': 'claim',
            'rate': rate,
            'calls': len(durations_s['keyed']),
            'failed': dict(Counter(error for error in errors if error)),
            **{name: round(value, 2) for name, value in medians.items()},
            'keyed_ms_p99': round(tail_ms, 2),
            'added_ms_p50': round(added, 2),
            'over_write_ms_p50': round(added - medians['write_ms_p50'], 2),
            'busy_cores': machine.busy_cores(),
        }

    def wait_for_owners(self) -> None:
        """Wait until keys of all ranges can be claimed and ranges stop moving.

        A call whose range changes owners may be refused as not run. After a
        cut, the ranges are balanced again only after more than a minute.
        """
        pool = urllib3.PoolManager()
        for number in range(READY_CLAIMS):
            wait_until(
                partial(_succeeds, pool, self._entry(number), number),
                START_TIMEOUT_S,
                'owners of the claim ranges',
            )
        wait_until(
            self._are_balanced, BALANCE_TIMEOUT_S, 'claim ranges balanced'
        )

    def _are_balanced(self) -> bool:
        """Return whether no range will be moved to balance the instances."""
        count = ClaimsSettings().ranges
        observer = RangeOwner('bench', '', 0)
        store = KeyValueStore(self._deployment.kv.url, KV_TIMEOUT_S)
        ranges = ClaimRanges(store, observer, count, 0, 0, lambda: None)
        owners = [ranges.owner_of(number, 0) for number in range(count)]
        share = math.ceil(count / len(self._deployment.controllers))
        return None not in owners and max(Counter(owners).values()) <= share

    def _call_at(
        self,
        rate: int,
        key_prefix: str,
        durations_s: list[float],
        errors: list[str],
        stop: threading.Event,
    ) -> None:
        """Make calls at a rate, whether or not earlier ones have ended."""
        pool = urllib3.PoolManager(maxsize=rate)
        started_s = time.monotonic()
        threads = []
        number = 0
        while not stop.is_set():
            key = f'{key_prefix}-{rate}-{number}' if key_prefix else ''
            thread = threading.Thread(
                target=_time_call,
                args=(pool, self._entry(number), key, durations_s, errors),
            )
            thread.start()
            threads.append(thread)
            number += 1
            stop.wait(max(0, started_s + number / rate - time.monotonic()))
        for thread in threads:
            thread.join()

    def _write_at_rate(
        self, durations_s: list[float], stop: threading.Event
    ) -> None:
        store = KeyValueStore(self._deployment.kv.url, KV_TIMEOUT_S)
        version = store.get('bench').ok.version
        while not stop.wait(1 / WRITES_PER_S):
            started_s = time.monotonic()
            written = store.compare_and_swap('bench', b'x' * 200, version)
            durations_s.append(time.monotonic() - started_s)
            version = written.ok.version

    def _entry(self, number: int) -> Endpoint:
        return self._deployment.entries[number % len(self._deployment.entries)]


def _time_call(
    pool: urllib3.PoolManager,
    entry: Endpoint,
    key: str,
    durations_s: list[float],
    errors: list[str],
) -> None:
    started_s = time.monotonic()
    errors.append(_call(pool, entry, key))
    durations_s.append(time.monotonic() - started_s)


def _call(pool: urllib3.PoolManager, entry: Endpoint, key: str) -> str:
    """Make a call; return its error, empty if it succeeded."""
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


def _succeeds(pool: urllib3.PoolManager, entry: Endpoint, number: int) -> bool:
    return not _call(pool, entry, f'ready-{number}')
