"""Faults of a closing peak, at the same times for each contender."""

import asyncio
import json
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import urllib3

from emulator.arrivals import Arrival

#: Number of adapters whose first load fails, of those that are first called
#: after a fifth of the peak.
_FAILING_LOADS = 3


class PlannedFault(NamedTuple):
    """A fault of one engine or of the weight store.

    :param at_s: time of the fault, in seconds from the start of the peak.
    :param engine: index of the engine, `None` for the weight store.
    :param document: body of the request that sets the fault.
    """

    at_s: float
    engine: int | None
    document: dict[str, Any]


def planned_faults(
    kind: str,
    duration_s: float,
    engines: int,
    arrivals: Sequence[Arrival] = (),
) -> list[PlannedFault]:
    """Return the faults in order of time.

    Failing loads are chosen by adapter, and only adapters that have not been
    called before. Failing the next loads of any adapter would hit contenders at
    different times, during a backlog or without one, and could hit further
    copies instead of first loads.

    :param kind: `none`; `some`: some loads fail, later an engine restarts
        empty; `half`: half of the engines restart empty at once.
    :param duration_s: length of the peak, in seconds.
    :param engines: number of engines.
    :param arrivals: arrivals of the peak.
    """
    restart = {'kind': 'restart_empty'}
    if kind == 'some':
        named = _new_adapters(arrivals, duration_s / 5)
        failing = {'kind': 'fail_loads', 'adapters': named}
        return [
            PlannedFault(duration_s / 5, None, failing),
            PlannedFault(duration_s * 4 / 5, 1, restart),
        ]
    if kind == 'half':
        return [
            PlannedFault(duration_s / 2, number, restart)
            for number in range(engines // 2)
        ]
    return []


def _new_adapters(arrivals: Sequence[Arrival], from_s: float) -> list[str]:
    """Return the first adapters whose first call is not before a time."""
    first_s = {each.number: each.at_s for each in reversed(arrivals)}
    new = [number for number, at_s in first_s.items() if at_s >= from_s]
    new.sort(key=first_s.__getitem__)
    return [adapter_name(number) for number in new[:_FAILING_LOADS]]


def adapter_name(number: int) -> str:
    """Return the name of an adapter of the benchmark."""
    return f'adapter-{number}'


def failed_loads(weights_url: str) -> list[str]:
    """Return the adapters whose loads have failed at the weight store."""
    log = urllib3.request('GET', f'{weights_url}/debug/log').json()['log']
    return [entry['adapter'] for entry in log if entry['failed']]


async def inject_faults(
    faults: list[PlannedFault], engine_urls: list[str], weights_url: str
) -> None:
    """Set faults when they are due.

    :param faults: faults in order of time; their times count from this call.
    :param engine_urls: base URLs of the engines.
    :param weights_url: base URL of the weight store.
    """
    started_s = time.monotonic()
    for fault in faults:
        wait_s = started_s + fault.at_s - time.monotonic()
        await asyncio.sleep(max(0, wait_s))  # noqa: WPS476
        url = weights_url
        if fault.engine is not None:
            url = engine_urls[fault.engine]
        await asyncio.to_thread(_set_fault, url, fault.document)  # noqa: WPS476


def _set_fault(url: str, document: dict[str, Any]) -> None:
    urllib3.request(
        'POST', f'{url}/fault', body=json.dumps(document).encode(), timeout=5
    )
