"""First-token times before and after half of the engines restart empty."""

from collections.abc import Sequence
from typing import Any

from emulator.clairvoyant import LOADS_PER_S
from emulator.load import LoadCall, percentile

MS_PER_S = 1000
STATUS_OK = 200

#: Factor on the reload time that the store's rate allows.
_TIME_FACTOR = 1.1

#: Length of the period before the restart that is compared.
_BEFORE_S = 15.0


def cold_start(
    load_calls: Sequence[LoadCall], restart_s: float, lost_slots: int
) -> dict[str, Any]:
    """Compare first-token times before, during and after the reload.

    For a call that was refused or not answered, the time is infinite.

    :param load_calls: all calls.
    :param restart_s: time of the restart, in seconds from the start.
    :param lost_slots: number of slots of the restarted engines.
    """
    allowed_s = lost_slots / LOADS_PER_S * _TIME_FACTOR
    return {
        'cold_allowed_s': round(allowed_s, 1),
        'first_token_ms_p95_before': _p95_ms(
            load_calls, restart_s - _BEFORE_S, restart_s
        ),
        'first_token_ms_p95_meanwhile': _p95_ms(
            load_calls, restart_s, restart_s + allowed_s
        ),
        'first_token_ms_p95_after': _p95_ms(
            load_calls, restart_s + allowed_s, float('inf')
        ),
    }


def _p95_ms(
    load_calls: Sequence[LoadCall], from_s: float, until_s: float
) -> float | None:
    first_ms = [
        _first_ms(load_call)
        for load_call in load_calls
        if from_s <= load_call.arrival.at_s < until_s
    ]
    found_ms = percentile(first_ms, 0.95)
    return round(found_ms, 1) if found_ms < float('inf') else None


def _first_ms(load_call: LoadCall) -> float:
    if load_call.record is None or load_call.record.status != STATUS_OK:
        return float('inf')
    return load_call.record.first_token_s * MS_PER_S
