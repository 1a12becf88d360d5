"""Requests that crash the servers which run them."""

from __future__ import annotations

import enum
import hashlib
import threading
from collections.abc import Iterable

from wasabicross.messaging.suspect_records import (
    State,
    SuspectRecord,
    SuspectRecords,
)
from wasabicross.servers.server_runs import UNCONFIRMED_S, Run, ServerRuns

_DIGEST_BYTES = 16

#: Most requests remembered as harmless.
_MAX_COMPLETED = 4096


class Clearance(enum.Enum):
    """Whether a request may be sent to a server.

    `go`: it is as good as any other. `trial`: it may go, as the only suspect
    there. `busy`: not now or not there. `elsewhere`: only to the server that
    runs a copy. `convicted`: refuse it at once.
    """

    go = 'go'
    trial = 'trial'
    busy = 'busy'
    elsewhere = 'elsewhere'
    convicted = 'convicted'


def fingerprint(route: str, body: bytes) -> bytes:
    """Digest what a request asks for, alike for all copies of it."""
    digest = hashlib.blake2b(route.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b'\0')
    digest.update(body)
    return digest.digest()


class Suspects:
    """Bounds the servers that a request can crash, however often it is sent.

    All requests under way on a server that is lost become suspects. A suspect
    runs again only as the one suspect on its server, beside requests that
    aren't. If it completes it is cleared; if the server is lost it is convicted
    and refused. Copies of a request that was not completed yet run on one
    server. So each such request costs two servers: the first, and the one of
    its trial. Copies that other processes run elsewhere before they hear of the
    first loss cost one for each process. Thread-safe.

    What is under way is known of this process alone: to keep suspects of other
    processes off the server, take a permit of the server's owner (see
    `Trials`) before a trial.

    :param records: what is known of each suspect.
    """

    def __init__(self, records: SuspectRecords | None = None) -> None:
        self._records = records or SuspectRecords()
        self._lock = threading.Lock()
        self._runs = ServerRuns()
        # Lost a server alone before an earlier server's fate was known.
        self._blamed_once: set[bytes] = set()
        # Requests that were completed lately, the oldest first.
        self._completed: dict[bytes, None] = {}

    def clearance(
        self,
        request: bytes,
        server_id: str,
        now_s: float,
    ) -> Clearance:
        """Tell whether a request may be sent to a server now.

        :param request: the request's fingerprint.
        :param now_s: monotonic time in seconds.
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
        """Count a request as under way on a server, if it may go there.

        :param permitted: whether a trial has its permits.
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
        """Name a server where a copy runs, the best place for a further one.

        None as well for a request that is known to be harmless.
        """
        with self._lock:
            if request in self._completed:
                return None
            return next(iter(self._runs.servers_of(request)), None)

    def running_suspects(self, now_s: float) -> tuple[tuple[str, bytes], ...]:
        """Return the requests that became suspect while they ran.

        :returns: each with its server.
        """
        with self._lock:
            if not len(self._records):
                return ()
            return tuple(
                (server_id, run.fingerprint)
                for server_id, run in self._runs.under_way()
                if self._is_late(run, now_s)
            )

    def complete(self, request: bytes, server_id: str, now_s: float) -> None:
        """End a request that was answered completely, which clears it."""
        with self._lock:
            self._runs.take(request, server_id)
            self._note_completed(request)
            self._blamed_once.discard(request)
            self._runs.forget_broken(request)
            self._records.clear(request, now_s)

    def abandon(self, request: bytes, server_id: str) -> None:
        """End a request that was not run, or that its caller cancelled."""
        with self._lock:
            self._runs.take(request, server_id)

    def connection_lost(
        self, request: bytes, server_id: str, now_s: float
    ) -> None:
        """End a request whose connection broke, for a reason not known yet."""
        with self._lock:
            run = self._runs.take(request, server_id)
            if run is None:
                return
            self._runs.keep_broken(run, server_id, now_s)
            self._records.suspect(
                request,
                now_s,
                confirmed=False,
                ttl_s=UNCONFIRMED_S,
            )

    def server_lost(
        self,
        server_id: str,
        now_s: float,
        *,
        is_sole: bool = True,
        broke_s: float | None = None,
    ) -> None:
        """Blame the requests that were under way on a server that crashed.

        :param is_sole: whether no other process ran a suspect there.
        :param broke_s: when a connection was seen to break; what started
            later runs on the server that came after.
        """
        with self._lock:
            runs = self._runs.take_lost(server_id, now_s, broke_s)
            self._convict_blamed(runs, now_s)
            trials = {run.fingerprint for run in runs if run.trial}
            late = {
                run.fingerprint for run in runs if self._is_late(run, now_s)
            }
            innocent = {run.fingerprint for run in runs} - trials - late
            if len(trials) == 1 and is_sole and not late:
                self._blame_trial(trials.pop(), now_s)
            elif trials:
                self._suspect(trials, now_s)
            else:
                self._suspect(innocent, now_s)
                return
            self._absolve(innocent, now_s)

    def server_alive(self, server_id: str, now_s: float) -> None:
        """Clear the requests that a mere cut link to the server broke off."""
        with self._lock:
            broken = self._runs.take_broken(server_id, now_s)
            self._blamed_once -= broken
            self._absolve(broken, now_s)

    def records_since(
        self,
        number: int,
        now_s: float,
    ) -> tuple[int, tuple[SuspectRecord, ...]]:
        """Return the records changed since a number, and the number now."""
        with self._lock:
            return self._records.since(number, now_s)

    def merge(self, records: Iterable[SuspectRecord], now_s: float) -> None:
        """Take in what another process knows."""
        with self._lock:
            self._records.merge(records, now_s)

    def _clearance(
        self,
        request: bytes,
        server_id: str,
        now_s: float,
    ) -> Clearance:
        state = self._records.state(request, now_s)
        if state is State.convicted:
            self._records.renew(request, now_s)
            return Clearance.convicted
        if state is not State.suspect:
            is_apart = state is None and self._runs_apart(request, server_id)
            return Clearance.elsewhere if is_apart else Clearance.go
        taken = any(
            run.trial or self._is_late(run, now_s)
            for run in self._runs.under_way_on(server_id)
        )
        if (
            taken
            or self._runs.servers_of(request)
            or self._is_open(request, now_s)
        ):
            return Clearance.busy
        return Clearance.trial

    def _runs_apart(self, request: bytes, server_id: str) -> bool:
        """Tell whether a request not known as harmless runs on another server."""
        if request in self._completed:
            return False
        return any(
            other != server_id for other in self._runs.servers_of(request)
        )

    def _is_late(self, run: Run, now_s: float) -> bool:
        """Tell whether a request became suspect by another server's loss."""
        if run.trial or not self._records.is_confirmed(run.fingerprint, now_s):
            return False
        state = self._records.state(run.fingerprint, now_s)
        return state is State.suspect

    def _note_completed(self, request: bytes) -> None:
        self._completed.pop(request, None)
        self._completed[request] = None
        if len(self._completed) > _MAX_COMPLETED:
            self._completed.pop(next(iter(self._completed)))

    def _is_open(self, request: bytes, now_s: float) -> bool:
        """Tell whether an earlier server's fate may yet convict a request."""
        if request not in self._blamed_once:
            return False
        is_open = self._runs.has_recent(request, now_s)
        if not is_open:
            self._blamed_once.discard(request)
        return is_open

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

    def _absolve(self, requests: Iterable[bytes], now_s: float) -> None:
        for request in requests:
            self._records.drop_unconfirmed(request, now_s)
