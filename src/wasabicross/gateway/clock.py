"""The clock on which all decisions of a gateway are based."""

import time


def now_s() -> float:
    """Return monotonic seconds, including time in which the machine slept."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
