"""Handling of signals that arrive while a program is still being imported.

It imports only what an interpreter has at hand, so that the handlers stand early.
"""

import os
import signal
from types import FrameType

_EXIT_STOPPED = 0


def handle_early_signals() -> None:
    """End the process in order on SIGTERM and ignore SIGHUP, for now.

    Nothing has been started that would have to be stopped. The program replaces
    both handlers once it runs, and reads its settings after this, as SIGHUP asks.
    """
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _end(signum: int, frame: FrameType | None) -> None:
    # An exception could be caught by the module that is being imported.
    os._exit(_EXIT_STOPPED)
