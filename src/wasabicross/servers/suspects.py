"""Limits the number of servers that a request can crash.

A suspect is a request that may have crashed a server: it was in progress there
when the server was lost.
"""

from __future__ import annotations

import enum
import hashlib
import threading
from collections.abc import Iterable

from wasabicross.messaging.suspect_records import (
    SuspectRecord,
    SuspectState,
    SuspectTable,
)
from wasabicross.servers.server_runs import UNCONFIRMED_TTL_S, Run, ServerRuns

_DIGEST_BYTES = 16

#: Maximum number of completed requests that are remembered as harmless.
_MAX_COMPLETED = 4096


class Clearance(enum.Enum):
    """Whether a request may be sent to a server.

    `go`: it may be sent. `trial`: it may be sent as the only suspect there.
    `busy`: it must wait or use another server. `elsewhere`: it may only be sent
    to the server that runs a copy of it. `convicted`: it is refused, as it has
    crashed a server in a trial.
    """

    go = 'go'
    trial = 'trial'
    busy = 'busy'
    elsewhere = 'elsewhere'
    convicted = 'convicted'


def fingerprint(route: str, body: bytes) -> bytes:
    """Return a digest of a request that is the same for all its copies."""
    digest = hashlib.blake2b(route.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b'\0')
    digest.update(body)
    return digest.digest()


class Suspects:
    """Limits the servers that a request can crash, however often it is sent.

    All requests in progress on a server become suspects when it is lost. A
    suspect is run again only in a trial, as the only suspect on its server,
    beside requests that are not suspects. If it completes, it is cleared; if
    the server is lost, it is convicted and refused from then on. All copies of
    a request that has not completed yet run on one server. So a request that
    crashes servers costs two of them: the first one and that of its trial. Each
    other process that runs a copy on a further server before it receives the
    record of the first loss costs one more. Thread-safe.

    This object knows only the requests of its own process. To keep suspects of
    other processes off the server, take a permit of the server's owner before
    a trial (see `Trials`).

    :param records: the state of each suspect.
    """

    def __init__(self, records: SuspectTable | None = None) -> None:
        self._records = records or SuspectTable()
        self._lock = threading.Lock()
        self._runs = ServerRuns()
        # Requests whose trial lost a server before it was known whether an
        # earlier server was lost; a second loss convicts them.
        self._blamed_once: set[bytes] = set()
        # Requests that have completed recently, the oldest first.
        self._completed: dict[bytes, None] = {}

    def clearance(
        self,
        request: bytes,
        server_id: str,
        now_s: float,
    ) -> Clearance:
        """Return whether a request may be sent to a server now.

        :param request: the request's fingerprint.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            return self._clearance(request, server_id, now_s)

    def start(
        self,
        request: bytes,
        server_id: str,
        now_s: float,
        *,
        permitted: bool = True,
    ) -> Clearance:
        """Count a request as in progress on a server, if it may be sent there.

        :param permitted: whether this process has the permits for a trial.
        """
        with self._lock:
            clearance = self._clearance(request, server_id, now_s)
            is_trial = clearance is Clearance.trial
            if is_trial and not permitted:
                return Clearance.busy
            if is_trial or clearance is Clearance.go:
                self._runs.start(Run(request, is_trial, now_s), server_id)
            return clearance

    def running_on(self, request: bytes) -> str | None:
        """Return the server that runs a copy and should run further copies.

        Return None if no copy runs, or if the request is known to be harmless.
        """
        with self._lock:
            if request in self._completed:
                return None
            return next(iter(self._runs.servers_of(request)), None)

    def running_suspects(self, now_s: float) -> tuple[tuple[str, bytes], ...]:
        """Return the requests that became suspect while they run.

        :returns: pairs of server id and request.
        """
        with self._lock:
            if not len(self._records):
                return ()
            return tuple(
                (server_id, run.fingerprint)
                for server_id, run in self._runs.in_progress()
                if self._is_running_suspect(run, now_s)
            )

    def complete(self, request: bytes, server_id: str, now_s: float) -> None:
        """End a request that has completed, and clear it if it was suspect."""
        with self._lock:
            self._runs.remove_run(request, server_id)
            self._note_completed(request)
            self._blamed_once.discard(request)
            self._runs.discard_broken(request)
            self._records.clear(request, now_s)

    def abandon(self, request: bytes, server_id: str) -> None:
        """End a request that was not run or that its caller has cancelled."""
        with self._lock:
            self._runs.remove_run(request, server_id)

    def connection_lost(
        self, request: bytes, server_id: str, now_s: float
    ) -> None:
        """End a request whose connection broke for a reason not known yet.

        It stays suspect until the reason is known, or for `UNCONFIRMED_TTL_S`.
        """
        with self._lock:
            run = self._runs.remove_run(request, server_id)
            if run is None:
                return
            self._runs.add_broken(run, server_id, now_s)
            self._records.suspect(
                request,
                now_s,
                confirmed=False,
                ttl_s=UNCONFIRMED_TTL_S,
            )

    def server_lost(
        self,
        server_id: str,
        now_s: float,
        *,
        is_sole: bool = True,
        broke_s: float | None = None,
    ) -> None:
        """Blame the requests that were in progress on a lost server.

        :param is_sole: whether no other process ran a suspect there.
        :param broke_s: monotonic time at which a connection broke; requests
            that started later run on the restarted server.
        """
        with self._lock:
            runs = self._runs.remove_lost(server_id, now_s, broke_s)
            self._convict_blamed(runs, now_s)
            trials = {run.fingerprint for run in runs if run.trial}
            running_suspects = {
                run.fingerprint
                for run in runs
                if self._is_running_suspect(run, now_s)
            }
            others = (
                {run.fingerprint for run in runs} - trials - running_suspects
            )
            if len(trials) == 1 and is_sole and not running_suspects:
                self._blame_trial(trials.pop(), now_s)
            elif trials:
                self._suspect(trials, now_s)
            else:
                self._suspect(others, now_s)
                return
            self._drop_unconfirmed(others, now_s)

    def server_alive(self, server_id: str, now_s: float) -> None:
        """Clear the requests whose connection broke though the server runs."""
        with self._lock:
            broken = self._runs.remove_broken(server_id, now_s)
            self._blamed_once -= broken
            self._drop_unconfirmed(broken, now_s)

    def records_since(
        self,
        number: int,
        now_s: float,
    ) -> tuple[int, tuple[SuspectRecord, ...]]:
        """Return the number of the last change, and the records changed.

        :param number: the number that the previous call returned, 0 at first;
            only records with a later change are returned.
        """
        with self._lock:
            return self._records.changed_since(number, now_s)

    def merge(self, records: Iterable[SuspectRecord], now_s: float) -> None:
        """Merge the records of another process."""
        with self._lock:
            self._records.merge(records, now_s)

    def _clearance(
        self,
        request: bytes,
        server_id: str,
        now_s: float,
    ) -> Clearance:
        state = self._records.state(request, now_s)
        if state is SuspectState.convicted:
            self._records.renew(request, now_s)
            return Clearance.convicted
        if state is not SuspectState.suspect:
            is_elsewhere = state is None and self._runs_elsewhere(
                request, server_id
            )
            return Clearance.elsewhere if is_elsewhere else Clearance.go
        has_suspect = any(
            run.trial or self._is_running_suspect(run, now_s)
            for run in self._runs.in_progress_on(server_id)
        )
        if (
            has_suspect
            or self._runs.servers_of(request)
            or self._awaits_earlier_loss(request, now_s)
        ):
            return Clearance.busy
        return Clearance.trial

    def _runs_elsewhere(self, request: bytes, server_id: str) -> bool:
        """Return whether another server runs a copy of a request.

        Requests that are known to be harmless do not count.
        """
        if request in self._completed:
            return False
        return any(
            other != server_id for other in self._runs.servers_of(request)
        )

    def _is_running_suspect(self, run: Run, now_s: float) -> bool:
        """Return whether the loss of another server made a run suspect."""
        if run.trial or not self._records.is_confirmed(run.fingerprint, now_s):
            return False
        state = self._records.state(run.fingerprint, now_s)
        return state is SuspectState.suspect

    def _note_completed(self, request: bytes) -> None:
        self._completed.pop(request, None)
        self._completed[request] = None
        if len(self._completed) > _MAX_COMPLETED:
            self._completed.pop(next(iter(self._completed)))

    def _awaits_earlier_loss(self, request: bytes, now_s: float) -> bool:
        """Return whether an earlier server's loss may yet convict a request."""
        if request not in self._blamed_once:
            return False
        is_awaiting = self._runs.has_recent(request, now_s)
        if not is_awaiting:
            self._blamed_once.discard(request)
        return is_awaiting

    def _blame_trial(self, request: bytes, now_s: float) -> None:
        if self._records.is_confirmed(request, now_s):
            self._records.convict(request, now_s)
        else:
            self._records.suspect(request, now_s)
            self._blamed_once.add(request)

    def _convict_blamed(self, runs: Iterable[Run], now_s: float) -> None:
        for run in runs:
            if run.fingerprint in self._blamed_once:
                self._blamed_once.discard(run.fingerprint)
                self._records.convict(run.fingerprint, now_s)

    def _suspect(self, requests: Iterable[bytes], now_s: float) -> None:
        for request in requests:
            self._records.suspect(request, now_s)

    def _drop_unconfirmed(
        self, requests: Iterable[bytes], now_s: float
    ) -> None:
        for request in requests:
            self._records.drop_unconfirmed(request, now_s)
