"""Asks for the permits that trials of suspect requests need."""

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from expression import Result

from wasabicross.messaging.errors import LinkError
from wasabicross.messaging.messages import (
    EndTrial,
    SuspectRunning,
    TakeTrial,
    TrialAnswer,
    TrialLost,
)

ASK_TIMEOUT_S = 1.0

#: Seconds for which a permit that was refused is not asked for again.
REFUSED_S = 0.05


class _Held(NamedTuple):
    """A permit of this process."""

    request: bytes
    process: str


class Trials:
    """The permits of one entry process, asked for at its controller.

    A trial needs two: that of the server, so that it is the only suspect
    there, and that of the request, so that no copy is tried elsewhere at the
    same time. Where nobody can be asked, nothing is tried. Thread-safe.

    :param ask: sends a request to the controller and waits for the answer.
    :param tell: sends a message one way.
    :param process: differs between processes.
    """

    def __init__(
        self,
        ask: Callable[[Any, float], Result[Any, LinkError]],
        tell: Callable[[Any], bool],
        process: str,
    ) -> None:
        self._ask = ask
        self._tell = tell
        self._process = process
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._held: dict[str, _Held] = {}
        self._late: set[tuple[str, bytes]] = set()
        # Until when each server's permit is not asked for.
        self._quiet_until_s: dict[str, float] = {}

    def take(self, request: bytes, server_id: str, now_s: float) -> bool:
        """Take the permits of one trial; false if they can't be had now.

        :param request: the request's fingerprint.
        :param server_id: where it is to be tried.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            if now_s < self._quiet_until_s.get(server_id, now_s):
                return False
            self._quiet_until_s[server_id] = now_s + ASK_TIMEOUT_S * 2
        held = _Held(request, f'{self._process}/{next(self._numbers)}')
        is_taken = self._take_both(held, server_id)
        with self._lock:
            if is_taken:
                self._held[server_id] = held
                self._quiet_until_s.pop(server_id, None)
            else:
                quiet_until_s = time.monotonic() + REFUSED_S
                self._quiet_until_s[server_id] = quiet_until_s
        return is_taken

    def end(self, request: bytes, server_id: str) -> None:
        """Return the permits of a trial that has ended, if it was one."""
        held = self._pop(request, server_id)
        if held is not None:
            self._tell(EndTrial('', *held))
            self._tell(EndTrial(server_id, *held))

    def on_server_lost(self, request: bytes, server_id: str) -> None:
        """Return a lost server's permit, and let that of the request lapse.

        So no copy is tried where the conviction isn't known yet, or while it
        waits for the fate of an earlier server.
        """
        held = self._pop(request, server_id)
        if held is not None:
            self._tell(EndTrial(server_id, *held))

    def is_sole(self, server_id: str) -> bool:
        """Tell whether what is tried on a server was the only suspect there.

        If nobody can be asked, the permit itself counts: otherwise a request
        could cost a server at each trial.
        """
        with self._lock:
            held = self._held.get(server_id)
        if held is None:
            return True
        answer = self._ask(TrialLost(server_id, *held), ASK_TIMEOUT_S)
        return answer.is_error() or _agrees(answer.ok)

    def set_running_suspects(self, runs: Iterable[tuple[str, bytes]]) -> None:
        """Tell the requests that became suspect while they ran.

        :param runs: all of them now, each with its server.
        """
        with self._lock:
            now_late = set(runs)
            begun, ended = now_late - self._late, self._late - now_late
            self._late = now_late
        for server_id, request in begun:
            self._tell(SuspectRunning('', request, self._process))
            self._tell(SuspectRunning(server_id, request, self._process))
        for left_id, done in ended:
            self._tell(EndTrial('', done, self._process))
            self._tell(EndTrial(left_id, done, self._process))

    def _take_both(self, held: _Held, server_id: str) -> bool:
        for subject in ('', server_id):
            answer = self._ask(TakeTrial(subject, *held), ASK_TIMEOUT_S)
            if answer.is_error() or not _agrees(answer.ok):
                # An answer that comes too late may yet have granted it.
                self._tell(EndTrial('', *held))
                self._tell(EndTrial(subject, *held))
                return False
        return True

    def _pop(self, request: bytes, server_id: str) -> _Held | None:
        with self._lock:
            held = self._held.get(server_id)
            if held is None or held.request != request:
                return None
            return self._held.pop(server_id)


def _agrees(answer: Any) -> bool:
    return isinstance(answer, TrialAnswer) and answer.agreed
