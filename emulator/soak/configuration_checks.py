"""Checks that gateways get and keep each configuration.

Each version adds a route, so an answer shows whether a gateway has it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence

#: Maximum time from the acknowledgement of a configuration, or from the end of
#: the last fault, until all gateways have it in force.
CONFIGURATION_TIMEOUT_S = 5.0

_NOT_FOUND = 404
_OK = 200

#: Faults that restart a gateway, which may start with an older configuration.
_RESTART_KINDS = frozenset(
    ('gateway_kill', 'gateway_stop', 'all_gateways_kill')
)


def missing_configurations(evidence: Evidence) -> Iterator[str]:
    """Yield gateways that lack a configuration after the time allowed."""
    for result in evidence.results:
        is_late = (
            result.sent_s > evidence.faults_end_s + CONFIGURATION_TIMEOUT_S
        )
        if is_late and result.configuration and result.status == _NOT_FOUND:
            yield f'{result.gateway} lacks configuration {result.configuration}'


def lost_configurations(evidence: Evidence) -> Iterator[str]:
    """Yield gateways that lost a configuration without a restart."""
    by_gateway: dict[str, list[CallResult]] = defaultdict(list)
    for result in evidence.results:
        if result.configuration and result.status in {_OK, _NOT_FOUND}:
            by_gateway[result.gateway].append(result)
    for of_gateway in by_gateway.values():
        yield from _lost_by_gateway(evidence, sorted(of_gateway, key=_sent_s))


def _lost_by_gateway(
    evidence: Evidence, in_order: list[CallResult]
) -> Iterator[str]:
    present: list[CallResult] = []
    for result in in_order:
        if result.status == _OK:
            present.append(result)
            continue
        known = [
            earlier.configuration
            for earlier in present
            if earlier.ended_s < result.sent_s
            and earlier.configuration >= result.configuration
            and not _may_have_restarted(evidence, earlier, result)
        ]
        if known:
            yield f'{result.gateway} had configuration {max(known)}, lost it'


def _may_have_restarted(
    evidence: Evidence, earlier: CallResult, later: CallResult
) -> bool:
    """Tell whether a gateway may have restarted between two answers."""
    return earlier.gateway in evidence.unexpected_exits or any(
        fault.overlaps(earlier.sent_s, later.ended_s)
        for fault in evidence.injected
        if fault.kind in _RESTART_KINDS
        and fault.target in {earlier.gateway, ''}
    )


def _sent_s(result: CallResult) -> float:
    return result.sent_s
