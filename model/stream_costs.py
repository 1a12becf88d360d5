"""Costs of the designs while two versions serve for an hour."""

from __future__ import annotations

import sys
from collections.abc import Iterable

from model.stream_designs import Design
from model.stream_worlds import TIME_LIMIT_S

#: Bytes of a record on the wire: an id of 36 bytes, the version's number and
#: the time.
_RECORD_BYTES = 48
#: Bytes of a message around its records, TCP and IP included.
_MESSAGE_BYTES = 80
_TOLD_A_SECOND = 10
_WRITES_A_SECOND = 2
#: Share of the streams that are interrupted and looked up.
_TAKEN_UP = 0.05


def entry_bytes() -> int:
    """Return the memory of one remembered stream, dictionary included."""
    count = 10_000
    entries = {f'{each:036}': (1, float(each)) for each in range(count)}
    items = sum(
        sys.getsizeof(key) + sys.getsizeof(told) + sys.getsizeof(told[1])
        for key, told in entries.items()
    )
    return (items + sys.getsizeof(entries)) // count


def costs(design: Design, gateways: int, rate: float) -> tuple[float, ...]:
    """Return what a design costs.

    :param gateways: number of gateways.
    :param rate: streams a second of all gateways.
    :return: store writes a second, store reads a second, bytes a second of a
        gateway in and out, bytes of memory of a gateway.
    """
    writes = reads = traffic = memory = float(0)
    if design.memory == 'peers':
        batches = min(_TOLD_A_SECOND, rate / gateways)
        messages = 2 * (gateways - 1) * batches
        traffic = 2 * rate * _RECORD_BYTES + messages * _MESSAGE_BYTES
        memory = rate * TIME_LIMIT_S * entry_bytes()
    if design.memory == 'store':
        writes = min(gateways * _WRITES_A_SECOND, rate)
        reads = rate * _TAKEN_UP
        traffic = (
            rate * _RECORD_BYTES
            + (writes + reads) * (_MESSAGE_BYTES + _RECORD_BYTES)
        ) / gateways
    return writes, reads, traffic, memory


def print_costs(designs: Iterable[Design]) -> None:
    """Print the costs of all designs."""
    for gateways, rate in ((7, 3), (7, 14), (360, 9000)):
        for design in designs:
            writes, reads, traffic, memory = costs(design, gateways, rate)
            sys.stdout.write(
                f'| {gateways} at {rate}/s | {design.name} | {writes:.1f}'
                f' | {reads:.1f} | {traffic / 1000:.1f} kB/s'
                f' | {memory / 1e6:.2f} MB |\n'
            )
