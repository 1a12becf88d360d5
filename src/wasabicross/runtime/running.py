"""The life cycle of a program: start, run until a stop signal, stop."""

import sys
from collections.abc import Callable
from typing import Protocol, TypeAlias

from expression import Result

from wasabicross import __version__
from wasabicross.runtime.errors import PortUnavailable
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.options import EXIT_PORT
from wasabicross.runtime.stopping import stop_event, wait_for_stop

#: Result of starting a component that listens on a port.
StartResult: TypeAlias = Result[None, PortUnavailable]


class Program(Protocol):
    """A program of an instance."""

    def start(self) -> StartResult:
        """Start all components, or none if a port is unavailable."""

    def stop(self) -> None:
        """Accept no new requests, finish the running ones, then end."""


def run_program(make: Callable[[], Program]) -> None:
    """Run a program until a stop signal, or exit if a port is unavailable.

    Must be called in the main thread.

    :param make: creates the program; called after the signal handlers are
        installed.
    """
    stop = stop_event()
    program = make()
    _start_or_exit(program)
    log_event(Event.PROGRAM_STARTED, version=__version__)
    wait_for_stop(stop)
    log_event(Event.PROGRAM_STOPPING)
    program.stop()
    log_event(Event.PROGRAM_STOPPED)


def _start_or_exit(program: Program) -> None:
    started = program.start()
    if started.is_error():
        exc = started.error
        log_event(
            Event.PORT_UNAVAILABLE,
            host=exc.host,
            port=exc.port,
            reason=exc.reason,
        )
        sys.exit(EXIT_PORT)
