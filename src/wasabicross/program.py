"""The life of a program: started, stopped by a signal."""

import threading
from typing import Protocol

from wasabicross import __version__
from wasabicross.events import Event
from wasabicross.listening import Started, start_or_exit
from wasabicross.logs import log_event
from wasabicross.stopping import wait_for_stop


class Program(Protocol):
    """A program with threads of its own."""

    def start(self) -> Started:
        """Start it, or leave nothing running."""

    def stop(self) -> None:
        """Finish what runs, then end."""


def run_until_stopped(program: Program, stop: threading.Event) -> None:
    """Run a program until a signal asks it to end; exits with 3 if it can't.

    :param program: not started yet.
    :param stop: set by the signal.
    """
    start_or_exit(program.start)
    log_event(Event.PROGRAM_STARTED, version=__version__)
    wait_for_stop(stop)
    log_event(Event.PROGRAM_STOPPING)
    program.stop()
    log_event(Event.PROGRAM_STOPPED)
