"""Checks that requests that crash servers, and only these, stay away from them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.soak.answer_parts import DEADLY
from emulator.soak.evidence import Evidence, ServerEnd
from emulator.soak.notice_checks import gateway_by_request, has_fault

#: Number of ends from which on a request must be known, and how long after the
#: last of these it is judged.
KNOWN_AFTER = 3
SETTLED_S = 3.0

#: Most times that it may reach servers then.
MAX_MORE = 3

_UNPROCESSABLE = 422


def requests_that_went_on_crashing(evidence: Evidence) -> Iterator[str]:
    """Yield requests that were sent on after three servers had ended.

    :param evidence: what callers and back ends recorded.
    """
    gateways = gateway_by_request(evidence)
    by_request: defaultdict[str, list[ServerEnd]] = defaultdict(list)
    for end in evidence.ends:
        by_request[end.deadly].append(end)
    for deadly, ends in by_request.items():
        known_s = sorted(each.at_s for each in ends)[:KNOWN_AFTER][-1]
        since_s = known_s + SETTLED_S
        more = [
            each
            for each in ends
            if each.at_s > since_s
            and not has_fault(
                evidence, gateways.get(each.request, ''), known_s, each.at_s
            )
        ]
        if len(ends) > KNOWN_AFTER and len(more) > MAX_MORE:
            yield f'{deadly} was sent {len(more)} times more, {len(ends)} ended'


def sound_requests_refused_for_crashes(evidence: Evidence) -> Iterator[str]:
    """Yield requests that no server ended under and that were refused so.

    :param evidence: what callers and back ends recorded.
    """
    for result in evidence.results:
        if result.status == _UNPROCESSABLE:
            if not result.path.startswith(DEADLY):
                yield f'{result.request_id} was refused as if it crashed servers'
