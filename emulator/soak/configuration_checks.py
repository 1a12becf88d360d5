"""What is promised of configurations, judged by the routes that they add."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence

#: From the acknowledgement of a configuration, or the last fault, until all
#: gateways have it in force.
CONFIGURATION_S = 5.0

_NOT_FOUND = 404
_OK = 200

#: Faults that end the process of a gateway, which may start with less.
_ENDINGS = frozenset(('gateway_kill', 'gateway_stop', 'all_gateways_kill'))


def old_configurations(seen: Evidence) -> Iterator[str]:
    """Yield gateways that lack a configuration long after all faults."""
    for got in seen.results:
        is_late = got.sent_s > seen.faults_end_s + CONFIGURATION_S
        if is_late and got.since and got.status == _NOT_FOUND:
            yield f'{got.gateway} lacks configuration {got.since}'


def configurations_gone_back(seen: Evidence) -> Iterator[str]:
    """Yield gateways that lose a configuration while their process lives."""
    by_gateway: dict[str, list[CallResult]] = defaultdict(list)
    for got in seen.results:
        if got.since and got.status in {_OK, _NOT_FOUND}:
            by_gateway[got.gateway].append(got)
    for of_one in by_gateway.values():
        yield from _gone_back(seen, sorted(of_one, key=_sent_s))


def _gone_back(seen: Evidence, in_order: list[CallResult]) -> Iterator[str]:
    had: list[CallResult] = []
    for got in in_order:
        if got.status == _OK:
            had.append(got)
            continue
        known = [
            earlier.since
            for earlier in had
            if earlier.ended_s < got.sent_s
            and earlier.since >= got.since
            and not _has_ended(seen, earlier, got)
        ]
        if known:
            yield f'{got.gateway} had configuration {max(known)}, lost it'


def _has_ended(seen: Evidence, earlier: CallResult, later: CallResult) -> bool:
    """Tell whether a gateway may have ended between two answers."""
    return earlier.gateway in seen.unexpected_exits or any(
        fault.overlaps(earlier.sent_s, later.ended_s)
        for fault in seen.injected
        if fault.kind in _ENDINGS and fault.target in {earlier.gateway, ''}
    )


def _sent_s(got: CallResult) -> float:
    return got.sent_s
