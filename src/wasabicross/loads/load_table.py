"""Loads that the requests of an entry may use, and how many run on each."""

import threading
import time
from collections import Counter
from collections.abc import Iterable

from wasabicross.loads.load_names import LoadName, parse_load_name
from wasabicross.messaging.messages import Grant, LoadUse, Running


class LoadTable:
    """Open loads with their running requests, shared by an entry's threads.

    While a process is paused, the owners of the servers may cease to require
    its consent to evictions. So after a pause it uses no load until the load
    has been announced to it again.

    One lock guards the check that a load is open and the count of running
    requests, so that no request starts on a load while the consent to close it
    is given.

    :param max_pause_s: maximum time between two ticks, in seconds.
    :param now_s: present time, seconds of the instance's monotonic clock.

    """

    def __init__(self, max_pause_s: float, now_s: float) -> None:
        self._max_pause_s = max_pause_s
        self._last_tick_s = now_s
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._opened: dict[str, LoadName] = {}
        self._by_version: dict[tuple[str, str], dict[str, LoadName]] = {}
        self._closed: set[str] = set()
        self._running: Counter[str] = Counter()
        self._started: Counter[str] = Counter()
        self._remote_servers: set[str] = set()
        self._granted_until_s: dict[str, float] = {}
        self._version = 0

    def tick(self, now_s: float) -> bool:
        """Record that the process runs; return whether it had paused too long.

        After such a pause all loads count as closed until announced again.

        :param now_s: present time, seconds of the instance's monotonic clock.
        """
        with self._changed:
            has_paused = self._has_paused(now_s)
            self._last_tick_s = now_s
            if has_paused:
                for load_name in list(self._opened):
                    self._remove(load_name)
            return has_paused

    def open_loads(self, load_names: Iterable[str]) -> None:
        """Allow requests to use loads, except those closed permanently.

        :param load_names: names of loads that their owner has announced.
        """
        with self._changed:
            for load_name in load_names:
                if load_name not in self._closed:
                    self._add(load_name)
            self._notify()

    def forget_loads(self, load_names: Iterable[str]) -> None:
        """Stop using loads until they are announced again.

        :param load_names: names of loads that their server may still hold.
        """
        with self._changed:
            for load_name in load_names:
                self._remove(load_name)
            self._notify()

    def drop_loads(self, load_names: Iterable[str]) -> None:
        """Remove loads that their server no longer holds.

        :param load_names: names of the loads.
        """
        with self._changed:
            for load_name in load_names:
                self._remove(load_name)
                self._closed.discard(load_name)
            self._notify()

    def consent_to_close(self, load_name: str) -> bool:
        """Close a load permanently; return whether no request runs on it.

        :param load_name: name of the load.
        """
        with self._changed:
            self._closed.add(load_name)
            self._remove(load_name)
            self._notify()
            return not self._running[load_name]

    def begin_request(self, load_name: str, now_s: float) -> bool:
        """Count a request as running on a load if the load may be used.

        :param load_name: name of the load.
        :param now_s: present time, seconds of the instance's monotonic clock.
        :returns: whether the request was counted.
        """
        with self._lock:
            load = self._opened.get(load_name)
            if load is None or self._has_paused(now_s):
                return False
            if not self._may_use(load.server_id, now_s):
                return False
            self._running[load_name] += 1
            self._started[load_name] += 1
            return True

    def finish_request(self, load_name: str) -> bool:
        """End a request; return whether that has drained a closed load.

        :param load_name: the name that `begin_request` was called with.
        """
        with self._lock:
            self._running[load_name] -= 1
            if self._running[load_name]:
                return False
            self._running.pop(load_name)
            return load_name in self._closed

    def holders(self, adapter: str, version: str, now_s: float) -> list[str]:
        """Return the names of the usable open loads of an adapter version.

        :param adapter: name of the adapter.
        :param version: its version in the bundle.
        :param now_s: present time, seconds of the instance's monotonic clock.
        """
        with self._lock:
            found = self._by_version.get((adapter, version), {})
            return [
                load_name
                for load_name, load in found.items()
                if self._may_use(load.server_id, now_s)
            ]

    def set_remote_servers(self, server_ids: Iterable[str]) -> None:
        """Set the servers that may be used only under a grant that is renewed.

        :param server_ids: ids of the backend servers of other data centres.
        """
        with self._lock:
            self._remote_servers = set(server_ids)

    def grant_use(self, grants: Iterable[Grant]) -> None:
        """Extend the use of servers of other data centres.

        :param grants: server ids, each with the time until which the server may
            be used.
        """
        with self._lock:
            for grant in grants:
                self._granted_until_s[grant.server_id] = grant.until_s

    def ungranted(self, now_s: float) -> list[str]:
        """Return the ids of the servers that need a grant and have none now.

        :param now_s: present time, seconds of the instance's monotonic clock.
        """
        with self._lock:
            return sorted(
                server_id
                for server_id in self._remote_servers
                if not self._may_use(server_id, now_s)
            )

    @property
    def version(self) -> int:
        """Number that increases with each change of the open loads."""
        return self._version

    def wait_for_change(self, version: int, timeout_s: float) -> None:
        """Wait until the open loads have changed.

        :param version: earlier value of the `version` property.
        :param timeout_s: maximum wait in seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while self._version == version:
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return
                self._changed.wait(left_s)

    def running(self) -> list[Running]:
        """Return the number of running requests on each load in use."""
        with self._lock:
            return [Running(*pair) for pair in self._running.items()]

    def closed(self) -> list[str]:
        """Return permanently closed loads that their server may still hold."""
        with self._lock:
            return sorted(self._closed)

    def opened(self) -> list[str]:
        """Return the loads that requests may use."""
        with self._lock:
            return list(self._opened)

    def take_usage(self) -> list[LoadUse]:
        """Return the requests started since the last call and those running."""
        with self._lock:
            names = self._started.keys() | self._running.keys()
            usage = [
                LoadUse(name, self._started[name], self._running[name])
                for name in names
            ]
            self._started.clear()
            return usage

    def _has_paused(self, now_s: float) -> bool:
        return now_s - self._last_tick_s > self._max_pause_s

    def _may_use(self, server_id: str, now_s: float) -> bool:
        if server_id not in self._remote_servers:
            return True
        return now_s < self._granted_until_s.get(server_id, 0)

    def _add(self, load_name: str) -> None:
        load = parse_load_name(load_name)
        if load is None:
            return
        self._opened[load_name] = load
        group = self._by_version.setdefault((load.adapter, load.version), {})
        group[load_name] = load

    def _remove(self, load_name: str) -> None:
        load = self._opened.pop(load_name, None)
        if load is None:
            return
        group = self._by_version[load.adapter, load.version]
        group.pop(load_name)
        if not group:
            self._by_version.pop((load.adapter, load.version))

    def _notify(self) -> None:
        self._version += 1
        self._changed.notify_all()
