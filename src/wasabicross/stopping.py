"""Planned stops: the signals that ask a program to end."""

import signal
import threading
from types import FrameType


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set from now on.

    To be called in the main thread.
    """
    stop = threading.Event()

    def request_stop(signum: int, frame: FrameType | None) -> None:  # noqa: WPS430
        stop.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop
