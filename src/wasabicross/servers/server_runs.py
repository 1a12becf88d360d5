"""Requests in progress on each server, and those whose connection broke."""

from __future__ import annotations

from typing import NamedTuple

#: Seconds for which a request whose connection broke stays suspect while it is
#: not known whether the server was lost.
UNCONFIRMED_TTL_S = 15.0


class Run(NamedTuple):
    """A request in progress on a server, or one whose connection broke.

    :param fingerprint: digest of the request.
    :param trial: whether it runs as the only suspect on the server.
    :param started_s: monotonic time of its start, in seconds.
    :param broken_s: monotonic time at which its connection broke, None while
        it runs.
    """

    fingerprint: bytes
    trial: bool
    started_s: float
    broken_s: float | None = None


class ServerRuns:
    """The runs that one process has started on each server.

    Not thread-safe; the owner of this object holds a lock.
    """

    def __init__(self) -> None:
        self._runs: dict[str, list[Run]] = {}
        # Servers on which each request runs: an index, as every request that
        # is sent looks it up.
        self._servers_by_request: dict[bytes, list[str]] = {}

    def start(self, run: Run, server_id: str) -> None:
        """Add a run on a server."""
        self._runs.setdefault(server_id, []).append(run)
        self._servers_by_request.setdefault(run.fingerprint, []).append(
            server_id
        )

    def remove_run(self, request: bytes, server_id: str) -> Run | None:
        """Remove and return a request's run on a server, None if none runs."""
        runs = self._runs.get(server_id, [])
        for run in runs:
            if run.fingerprint == request and run.broken_s is None:
                runs.remove(run)
                self._set_runs(server_id, runs)
                self._remove_server(run, server_id)
                return run
        return None

    def add_broken(self, run: Run, server_id: str, now_s: float) -> None:
        """Add a removed run again as one whose connection broke."""
        broken = run._replace(broken_s=now_s)
        self._runs[server_id] = [*self.recent(server_id, now_s), broken]

    def remove_lost(
        self, server_id: str, now_s: float, broke_s: float | None
    ) -> list[Run]:
        """Remove and return the runs that ended with the loss of a server.

        :param broke_s: monotonic time at which a connection broke; runs that
            started later belong to the restarted server and stay.
        """
        runs = self.recent(server_id, now_s)
        last_s = now_s if broke_s is None else broke_s
        self._set_runs(
            server_id, [run for run in runs if run.started_s > last_s]
        )
        lost = [run for run in runs if run.started_s <= last_s]
        for run in lost:
            if run.broken_s is None:
                self._remove_server(run, server_id)
        return lost

    def remove_broken(self, server_id: str, now_s: float) -> set[bytes]:
        """Remove and return the requests whose connection to a server broke."""
        runs = self.recent(server_id, now_s)
        self._set_runs(server_id, [run for run in runs if run.broken_s is None])
        return {run.fingerprint for run in runs if run.broken_s is not None}

    def discard_broken(self, request: bytes) -> None:
        """Remove a request's broken runs on all servers."""
        for server_id, runs in tuple(self._runs.items()):
            kept = [
                run
                for run in runs
                if run.fingerprint != request or run.broken_s is None
            ]
            self._set_runs(server_id, kept)

    def recent(self, server_id: str, now_s: float) -> tuple[Run, ...]:
        """Return the runs on a server without those that broke long ago."""
        return tuple(
            run
            for run in self._runs.get(server_id, ())
            if run.broken_s is None or now_s - run.broken_s < UNCONFIRMED_TTL_S
        )

    def in_progress_on(self, server_id: str) -> tuple[Run, ...]:
        """Return the runs in progress on a server."""
        runs = self._runs.get(server_id, ())
        return tuple(run for run in runs if run.broken_s is None)

    def in_progress(self) -> tuple[tuple[str, Run], ...]:
        """Return all runs in progress, each with its server."""
        return tuple(
            (server_id, run)
            for server_id in self._runs
            for run in self.in_progress_on(server_id)
        )

    def servers_of(self, request: bytes) -> tuple[str, ...]:
        """Return the servers on which a request runs."""
        return tuple(self._servers_by_request.get(request, ()))

    def has_recent(self, request: bytes, now_s: float) -> bool:
        """Return whether a request runs or its connection broke recently."""
        return any(
            run.fingerprint == request
            for server_id in self._runs
            for run in self.recent(server_id, now_s)
        )

    def _remove_server(self, run: Run, server_id: str) -> None:
        servers = self._servers_by_request[run.fingerprint]
        servers.remove(server_id)
        if not servers:
            self._servers_by_request.pop(run.fingerprint)

    def _set_runs(self, server_id: str, runs: list[Run]) -> None:
        if runs:
            self._runs[server_id] = runs
        else:
            self._runs.pop(server_id, None)
