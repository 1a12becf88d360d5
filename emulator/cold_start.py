"""When first tokens are back after half of the engines restart empty."""

from collections.abc import Sequence
from typing import Any

from emulator.clairvoyant import LOADS_PER_S
from emulator.load import LoadCall, percentile

MS_PER_S = 1000
STATUS_OK = 200

#: What the time that the store's rate allows is prolonged by.
_GRACE = 1.1

#: Length of the time before the restart that counts, in seconds.
_BEFORE_S = 15.0


def cold_start(
    shots: Sequence[LoadCall], restart_s: float, lost_slots: int
) -> dict[str, Any]:
    """Compare first tokens before and after the engines have loaded again.

    Calls that were refused or got no answer count as never.

    :param shots: all calls.
    :param restart_s: when the engines restarted.
    :param lost_slots: slots of the engines that did.
    """
    allowed_s = lost_slots / LOADS_PER_S * _GRACE
    return {
        'cold_allowed_s': round(allowed_s, 1),
        'first_token_ms_p95_before': _p95_ms(
            shots, restart_s - _BEFORE_S, restart_s
        ),
        'first_token_ms_p95_meanwhile': _p95_ms(
            shots, restart_s, restart_s + allowed_s
        ),
        'first_token_ms_p95_after': _p95_ms(
            shots, restart_s + allowed_s, float('inf')
        ),
    }


def _p95_ms(
    shots: Sequence[LoadCall], from_s: float, until_s: float
) -> float | None:
    first_ms = [
        _first_ms(shot)
        for shot in shots
        if from_s <= shot.arrival.at_s < until_s
    ]
    found_ms = percentile(first_ms, 0.95)
    return round(found_ms, 1) if found_ms < float('inf') else None


def _first_ms(shot: LoadCall) -> float:
    if shot.record is None or shot.record.status != STATUS_OK:
        return float('inf')
    return shot.record.first_token_s * MS_PER_S
