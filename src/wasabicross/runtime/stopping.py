"""Handling of the signals that ask a program to stop."""

import signal
import threading
from types import FrameType

POLL_S = 0.2


def stop_event() -> threading.Event:
    """Install handlers of SIGTERM and SIGINT; return the event they set.

    Must be called in the main thread.
    """
    stop = threading.Event()

    def request_stop(signum: int, frame: FrameType | None) -> None:  # noqa: WPS430
        stop.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop


def wait_for_stop(stop: threading.Event) -> None:
    """Wait in the main thread until a stop signal has arrived.

    The main thread polls, because a signal that arrives just as the process
    is resumed may be delivered to another thread, which doesn't wake the
    main thread; only the main thread runs the signal handler.

    :param stop: the event that `stop_event` returned.
    """
    while not stop.wait(POLL_S):
        continue
