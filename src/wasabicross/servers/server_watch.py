"""State of the backend servers in an entry, and its requests on them."""

import enum
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from wasabicross.dispatching.errors import DispatchError, NotConnected, NotRun
from wasabicross.messaging.messages import ServerInfo, ServerLoad
from wasabicross.messaging.suspect_records import SuspectRecord
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.servers.engine_reports import EngineReports, own_slots
from wasabicross.servers.membership import Loss, Membership
from wasabicross.servers.routing import Holder
from wasabicross.servers.server_health import Failure
from wasabicross.servers.server_probe import probe
from wasabicross.servers.suspects import Clearance, Suspects
from wasabicross.servers.trials import Trials

LEAVING = 'leaving'


class Ending(enum.Enum):
    """How the exchange of a request and its answer ended."""

    completed = 'completed'
    cut = 'cut'
    cancelled = 'cancelled'


class ServerWatch:
    """Tracks the servers and the requests of one entry process on them.

    :param suspects: records of requests that may have crashed a server.
    :param on_suspects_changed: called when these records may have changed, so
        that they can be sent to other processes.
    :param trials: requests the permits for trials of suspects.
    """

    def __init__(
        self,
        suspects: Suspects,
        on_suspects_changed: Callable[[], None],
        trials: Trials,
    ) -> None:
        self.suspects = suspects
        self._on_suspects_changed = on_suspects_changed
        self._trials = trials
        self._loss_lock = threading.Lock()
        self._membership = Membership()
        self._lock = threading.Lock()
        self._outstanding: Counter[str] = Counter()
        self._servers: dict[str, ServerInfo] = {}
        self._reports = EngineReports()

    def update_servers(
        self, servers: Iterable[ServerInfo], now_s: float
    ) -> None:
        """Replace the servers by those of a new list.

        :param servers: all backend servers.
        :param now_s: present time, monotonic seconds.
        """
        listed = {server.server_id: server for server in servers}
        leaving = [
            server_id
            for server_id, server in listed.items()
            if server.state == LEAVING
        ]
        self._servers = listed
        live = listed.keys() - set(leaving)
        self._membership.on_list(live, leaving, now_s)

    def server(self, server_id: str) -> ServerInfo | None:
        """Return a listed server, None if it is not listed."""
        return self._servers.get(server_id)

    def group(self, kind: str, name: str) -> list[ServerInfo]:
        """Return the servers of a group, in the order of the list."""
        return [
            server
            for server in self._servers.values()
            if server.kind == kind and server.group == name
        ]

    def usable(self, server_ids: Sequence[str], now_s: float) -> set[str]:
        """Return the servers of a group that may get a new request.

        :param server_ids: ids of the servers of one group.
        :param now_s: present time, monotonic seconds.
        """
        return set(self._membership.usable(server_ids, now_s))

    def add_reports(self, loads: Iterable[ServerLoad], now_s: float) -> None:
        """Store new load reports of engines.

        :param loads: load reports, one for each engine.
        :param now_s: present time, monotonic seconds.
        """
        self._reports.add(loads, now_s)

    def holder(
        self, server: ServerInfo, load_name: str, now_s: float
    ) -> Holder:
        """Describe an engine that holds a load, for the routing policy.

        :param server: the engine.
        :param load_name: name of the load that it holds.
        :param now_s: present time, monotonic seconds.
        """
        outstanding = self.outstanding(server.server_id)
        return self._reports.holder(server, load_name, outstanding, now_s)

    def outstanding(self, server_id: str) -> int:
        """Return how many requests of this process are in progress there."""
        return self._outstanding[server_id]

    def slots(self, now_s: float) -> int:
        """Estimate how many requests this entry may run at a time in total.

        :param now_s: present time, monotonic seconds.
        """
        groups = {
            server.group
            for server in self._servers.values()
            if server.kind == 'engine'
        }
        return round(
            sum(
                own_slots(engine)
                for group in groups
                for engine in self.engines(group, now_s)
            )
        )

    def engines(self, group: str, now_s: float) -> list[Holder]:
        """Describe the engines of a group that may get a new request.

        :param group: name of the group.
        :param now_s: present time, monotonic seconds.
        """
        servers = self.group('engine', group)
        usable = self.usable([each.server_id for each in servers], now_s)
        return [
            self.holder(server, '', now_s)
            for server in servers
            if server.server_id in usable
        ]

    def begin(
        self, fingerprint: bytes, server_id: str, now_s: float
    ) -> Clearance:
        """Count a request as in progress on a server, if it may be sent there.

        :param fingerprint: digest of the request.
        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        :returns: whether it may be sent; it is counted only on `go` and
            `trial`.
        """
        expected = self.suspects.clearance(fingerprint, server_id, now_s)
        is_trial = expected is Clearance.trial
        if is_trial and not self._trials.take(fingerprint, server_id, now_s):
            return Clearance.busy
        started_s = time.monotonic()
        clearance = self.suspects.start(
            fingerprint, server_id, started_s, permitted=is_trial
        )
        if is_trial and clearance is not Clearance.trial:
            self._trials.end(fingerprint, server_id)
        if clearance in {Clearance.go, Clearance.trial}:
            with self._lock:
                self._outstanding[server_id] += 1
            self._membership.on_start(server_id, started_s)
        return clearance

    def running_on(self, fingerprint: bytes) -> str | None:
        """Return the server that must run further copies, None if any may."""
        return self.suspects.running_on(fingerprint)

    def merge(self, records: Iterable[SuspectRecord], now_s: float) -> None:
        """Merge records of suspects from other processes.

        :param records: records that have changed.
        :param now_s: present time, monotonic seconds.
        """
        self.suspects.merge(records, now_s)
        self._trials.set_running_suspects(self.suspects.running_suspects(now_s))

    def end(
        self,
        fingerprint: bytes,
        server_id: str,
        ending: Ending,
        load_name: str = '',
    ) -> None:
        """Record the end of an exchange whose answer had started.

        :param fingerprint: digest of the request.
        :param server_id: id of the server that it was sent to.
        :param ending: how the exchange ended.
        :param load_name: name of the load that it ran on, empty if none.
        """
        now_s = time.monotonic()
        self._decrement_outstanding(server_id)
        if ending is Ending.completed:
            self._membership.on_success(server_id, now_s)
            self.suspects.complete(fingerprint, server_id, now_s)
        elif ending is Ending.cancelled:
            self.suspects.abandon(fingerprint, server_id)
        else:
            self._on_broken_connection(fingerprint, server_id, load_name)
        self._return_permits(fingerprint, server_id)

    def fail(
        self,
        fingerprint: bytes,
        server_id: str,
        exc: DispatchError,
        load_name: str = '',
    ) -> None:
        """Record an exchange that failed before its answer had started.

        :param fingerprint: digest of the request.
        :param server_id: id of the server that it was sent to.
        :param exc: why it failed.
        :param load_name: name of the load that it was to run on, empty if
            none.
        """
        now_s = time.monotonic()
        self._decrement_outstanding(server_id)
        if not isinstance(exc, NotRun):
            self._on_broken_connection(fingerprint, server_id, load_name)
            self._return_permits(fingerprint, server_id)
            return
        self.suspects.abandon(fingerprint, server_id)
        self._return_permits(fingerprint, server_id)
        if isinstance(exc, NotConnected):
            self._membership.on_failure(server_id, Failure.refused, now_s)
        elif 'leaving' in str(exc):
            self._membership.on_leaving(server_id, now_s)

    def _decrement_outstanding(self, server_id: str) -> None:
        with self._lock:
            self._outstanding[server_id] -= 1

    def _return_permits(self, fingerprint: bytes, server_id: str) -> None:
        self._trials.end(fingerprint, server_id)
        self._trials.set_running_suspects(
            self.suspects.running_suspects(time.monotonic())
        )

    def _on_broken_connection(
        self, fingerprint: bytes, server_id: str, load_name: str
    ) -> None:
        """Determine whether the server or only the connection was lost."""
        broke_s = time.monotonic()
        self.suspects.connection_lost(fingerprint, server_id, broke_s)
        failure = self._probe(server_id, load_name)
        now_s = time.monotonic()
        if failure is None:
            self.suspects.server_alive(server_id, now_s)
            return
        self._membership.on_failure(server_id, failure, now_s)
        if self._membership.loss(server_id, now_s) is Loss.server:
            log_event(Event.SERVER_LOST, server=server_id)
            self._blame_requests(fingerprint, server_id, broke_s)
        self._on_suspects_changed()

    def _blame_requests(
        self, fingerprint: bytes, server_id: str, broke_s: float
    ) -> None:
        """Blame the requests that ran on a lost server.

        The lock lets the first of several broken connections to the server do
        this for all of them.
        """
        with self._loss_lock:
            is_sole = self._trials.is_sole(server_id)
            now_s = time.monotonic()
            self.suspects.server_lost(
                server_id, now_s, is_sole=is_sole, broke_s=broke_s
            )
        if is_sole:
            self._trials.on_server_lost(fingerprint, server_id)

    def _probe(self, server_id: str, load_name: str) -> Failure | None:
        server = self._servers.get(server_id)
        if server is None:
            return Failure.refused
        return probe((server.host, server.port), load_name)
