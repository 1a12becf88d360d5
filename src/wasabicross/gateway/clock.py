"""The clock that all decisions of a gateway are given."""

import time


def now_s() -> float:
    """Return seconds that never jump and that count a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
