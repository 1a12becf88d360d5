"""Kill all processes that a test run has started when it is terminated."""

import ctypes
import os
import pathlib
import signal

PR_SET_PDEATHSIG = 1
PROC = pathlib.Path('/proc')
EXIT_TERMINATED = 128 + signal.SIGTERM


def children_of(pid):
    """Return the ids of the child processes of a process.

    :param pid: id of the parent process.
    """
    return [
        int(stat.parent.name)
        for stat in PROC.glob('[0-9]*/stat')
        if _parent_of(stat) == pid
    ]


def descendants_of(pid):
    """Return the ids of all descendants of a process, its children first."""
    found = children_of(pid)
    for child in found:
        found.extend(children_of(child))
    return found


def end_descendants():
    """Kill all descendants of this process."""
    for pid in descendants_of(os.getpid()):
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            continue


def pytest_configure():
    """Make SIGTERM end this process and its descendants.

    A worker also gets SIGTERM when its parent, the test run, ends.
    """
    signal.signal(signal.SIGTERM, _terminate)
    if 'PYTEST_XDIST_WORKER' in os.environ:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def _terminate(_number, _frame):
    end_descendants()
    os._exit(EXIT_TERMINATED)


def _parent_of(stat):
    try:
        text = stat.read_text()
    except OSError:
        return None
    return int(text.rpartition(')')[2].split()[1])
