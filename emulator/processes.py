"""Processor time and memory of processes, as the kernel counts them."""

import os
import pathlib
import time
from typing import NamedTuple

_BYTES_PER_KB = 1024

#: Idle time in the line of all cores, waiting for disks after it.
_IDLE_FIELD = 3


class Usage(NamedTuple):
    """What a process has used.

    :param cpu_s: processor seconds since its start.
    :param resident_bytes: memory it holds now.
    """

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Read what a process has used.

    :param pid: its process id.
    """
    folder = pathlib.Path('/proc') / str(pid)
    # The name, which may hold spaces, ends at the last bracket.
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
    """How busy all cores of the machine are from now on."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._busy_at_start_s = _busy_s()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def busy_cores(self) -> float:
        """Return how many cores were busy on average."""
        busy_s = _busy_s() - self._busy_at_start_s
        return round(busy_s / max(self.seconds(), 1e-9), 2)


def _busy_s() -> float:
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(field) for field in line.split()[1:9]]
    idle = ticks[_IDLE_FIELD] + ticks[_IDLE_FIELD + 1]
    return (sum(ticks) - idle) / os.sysconf('SC_CLK_TCK')
