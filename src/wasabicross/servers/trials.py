"""Requests the permits for trials of suspect requests."""

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

#: Seconds after a refusal before the permit is requested again.
REFUSAL_RETRY_S = 0.05


class _TrialHolder(NamedTuple):
    """Holder of the permits of one trial, as the messages name it.

    :param request: fingerprint of the request on trial.
    :param process: id of this process and number of the trial.
    """

    request: bytes
    process: str


class Trials:
    """Requests and returns the trial permits of one entry process.

    A trial needs two permits, which the controller issues or passes on: that of
    the server, so that the request is the only suspect there, and that of the
    request, so that no copy is tried on another server at the same time. If
    the controller cannot be reached, nothing is tried. Thread-safe.

    :param ask: sends a request to the controller and waits for the answer.
    :param send: sends a message to the controller without an answer.
    :param process: id of this process, unique among all processes.
    """

    def __init__(
        self,
        ask: Callable[[Any, float], Result[Any, LinkError]],
        send: Callable[[Any], bool],
        process: str,
    ) -> None:
        self._ask = ask
        self._send = send
        self._process = process
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._holders: dict[str, _TrialHolder] = {}
        self._running_suspects: set[tuple[str, bytes]] = set()
        # Monotonic time before which no permit of a server is requested.
        self._next_request_s: dict[str, float] = {}

    def take(self, request: bytes, server_id: str, now_s: float) -> bool:
        """Take the permits of a trial; return whether both were granted.

        :param request: the request's fingerprint.
        :param server_id: id of the server for the trial.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            if now_s < self._next_request_s.get(server_id, now_s):
                return False
            self._next_request_s[server_id] = now_s + ASK_TIMEOUT_S * 2
        holder = _TrialHolder(request, f'{self._process}/{next(self._numbers)}')
        is_taken = self._take_both(holder, server_id)
        with self._lock:
            if is_taken:
                self._holders[server_id] = holder
                self._next_request_s.pop(server_id, None)
            else:
                next_request_s = time.monotonic() + REFUSAL_RETRY_S
                self._next_request_s[server_id] = next_request_s
        return is_taken

    def end(self, request: bytes, server_id: str) -> None:
        """Return the permits of an ended request, if it was on trial."""
        holder = self._pop(request, server_id)
        if holder is not None:
            self._send(EndTrial('', *holder))
            self._send(EndTrial(server_id, *holder))

    def on_server_lost(self, request: bytes, server_id: str) -> None:
        """Return the permit of a lost server, but not that of the request.

        The permit of the request lapses later. Until then no copy is tried by
        processes that do not know of the conviction yet, or while it is not
        known whether an earlier server was lost.
        """
        holder = self._pop(request, server_id)
        if holder is not None:
            self._send(EndTrial(server_id, *holder))

    def is_sole(self, server_id: str) -> bool:
        """Return whether the request on trial was the only suspect on a server.

        If the controller cannot be reached, the permit counts as proof.
        Otherwise a request could crash a server at each trial.
        """
        with self._lock:
            holder = self._holders.get(server_id)
        if holder is None:
            return True
        answer = self._ask(TrialLost(server_id, *holder), ASK_TIMEOUT_S)
        return answer.is_error() or _is_granted(answer.ok)

    def set_running_suspects(self, runs: Iterable[tuple[str, bytes]]) -> None:
        """Report changes of the requests that became suspect while they run.

        :param runs: all such requests, as pairs of server id and request.
        """
        with self._lock:
            current = set(runs)
            started, ended = (
                current - self._running_suspects,
                self._running_suspects - current,
            )
            self._running_suspects = current
        for server_id, request in started:
            self._send(SuspectRunning('', request, self._process))
            self._send(SuspectRunning(server_id, request, self._process))
        for ended_server_id, ended_request in ended:
            self._send(EndTrial('', ended_request, self._process))
            self._send(EndTrial(ended_server_id, ended_request, self._process))

    def _take_both(self, holder: _TrialHolder, server_id: str) -> bool:
        for subject in ('', server_id):
            answer = self._ask(TakeTrial(subject, *holder), ASK_TIMEOUT_S)
            if answer.is_error() or not _is_granted(answer.ok):
                # The permit may have been granted although the answer is late.
                self._send(EndTrial('', *holder))
                self._send(EndTrial(subject, *holder))
                return False
        return True

    def _pop(self, request: bytes, server_id: str) -> _TrialHolder | None:
        with self._lock:
            holder = self._holders.get(server_id)
            if holder is None or holder.request != request:
                return None
            return self._holders.pop(server_id)


def _is_granted(answer: Any) -> bool:
    return isinstance(answer, TrialAnswer) and answer.agreed
