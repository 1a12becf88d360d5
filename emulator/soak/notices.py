"""What makes a server state something in its answers, or refuse requests."""

from __future__ import annotations

from typing import Any

from emulator.soak.schedule import (
    LIMIT_KINDS,
    NOTICE_KINDS,
    REFUSAL_KINDS,
    Fault,
)

LEAVING_KINDS = frozenset(('server_leave', 'server_leave_soon'))
NOTICES = LEAVING_KINDS | NOTICE_KINDS.keys() | LIMIT_KINDS.keys()
REFUSALS = frozenset(REFUSAL_KINDS)
REFUSING_KINDS = REFUSALS - {'server_new_id'}

#: Least requests a second that a server states, and refusals that a brittle one
#: bears; up to one request and so many refusals more.
_MIN_LIMIT_PER_S = 0.5
_MIN_REFUSALS_PER_S = 2
_MORE_REFUSALS_PER_S = 6

#: Least share of its requests that a server refuses; up to so much more.
_MIN_REFUSED_SHARE = 0.1
_MORE_REFUSED_SHARE = 0.4


def refusal_document(fault: Fault) -> dict[str, Any]:
    """Return what makes a server refuse requests or start under a new id.

    :param fault: one of `REFUSAL_KINDS`.
    """
    return {
        'kind': fault.kind.removeprefix('server_'),
        'share': _MIN_REFUSED_SHARE + _MORE_REFUSED_SHARE * fault.strength,
        'for_s': fault.for_s,
    }


def notice_document(fault: Fault) -> dict[str, Any]:
    """Return what makes a server state something in its answers.

    :param fault: one of `NOTICES`.
    """
    limit_per_s = round(_MIN_LIMIT_PER_S + fault.strength, 3)
    refusals = _MIN_REFUSALS_PER_S + round(
        _MORE_REFUSALS_PER_S * fault.strength
    )
    documents: dict[str, dict[str, Any]] = {
        'server_want_pause': {'kind': 'want_pause'},
        'server_leave': {'kind': 'leave'},
        'server_leave_soon': {'kind': 'leave'},
        'server_limit': {'kind': 'limit_requests', 'per_s': limit_per_s},
        'server_brittle': {'kind': 'be_brittle', 'per_s': refusals},
    }
    return {**documents[fault.kind], 'for_s': fault.for_s}
