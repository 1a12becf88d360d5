"""Processor time and memory of processes, read from `/proc`."""

import os
import pathlib
import time
from typing import NamedTuple

_BYTES_PER_KB = 1024

#: Field of the idle time in `/proc/stat`; the next one is I/O wait.
_IDLE_FIELD = 3


class Usage(NamedTuple):
    """Resource usage of a process.

    :param cpu_s: processor seconds since its start.
    :param resident_bytes: resident memory at present.
    """

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the resource usage of a process.

    :param pid: its process id.
    """
    folder = pathlib.Path('/proc') / str(pid)
    # The process name may contain spaces; it ends at the last bracket.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = next(
        line
        for line in (folder / 'status').read_text().splitlines()
        if line.startswith('VmRSS:')
    )
    return Usage(
        ticks / os.sysconf('SC_CLK_TCK'),
        int(resident.split()[1]) * _BYTES_PER_KB,
    )


class MachineLoad:
    """Measures how busy the machine's cores are from its creation on."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._busy_at_start_s = _busy_s()

    def seconds(self) -> float:
        """Return the seconds since the measurement began."""
        return time.monotonic() - self._started_s

    def busy_cores(self) -> float:
        """Return the mean number of busy cores since the measurement began."""
        busy_s = _busy_s() - self._busy_at_start_s
        return round(busy_s / max(self.seconds(), 1e-9), 2)


def _busy_s() -> float:
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(field) for field in line.split()[1:9]]
    idle = ticks[_IDLE_FIELD] + ticks[_IDLE_FIELD + 1]
    return (sum(ticks) - idle) / os.sysconf('SC_CLK_TCK')
