"""What an instance's controller knows of loads, for the entries beside it."""

import threading
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.loads.load_names import server_of
from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    CloseLoad,
    CloseRefused,
    LoadDrained,
    LoadsForgotten,
    LoadsGone,
    LoadsOpened,
    LoadsSnapshot,
    ServerReport,
    ServerTerm,
)


class OwnerTerm(NamedTuple):
    """The owner of a backend server as an instance knows it."""

    instance_id: str
    term: int


class _Closing:
    """One load being closed: the entries still using it, and who asked."""

    def __init__(self, pending: set[str]) -> None:
        self.pending = pending
        self.askers: list[Link] = []


class InstanceLoads:
    """Loads and owners known to an instance, and its consents to close.

    A consent is given once each entry of the instance has closed the load
    and runs nothing on it. An entry whose link is lost may still run
    requests, so it counts until `entry_gone` is told of it.

    :param entry_names: the entries that the settings name; each counts as
        using every load until it joins or is found to be gone.
    """

    def __init__(self, entry_names: Iterable[str]) -> None:
        self._lock = threading.RLock()
        self._entries: dict[str, Link | None] = dict.fromkeys(entry_names)
        self._owners: dict[str, OwnerTerm] = {}
        self._owned: dict[str, dict[str, ServerTerm]] = defaultdict(dict)
        self._opened: set[str] = set()
        self._closed: set[str] = set()
        self._closings: dict[str, _Closing] = {}

    def accept_owner(self, server: ServerTerm, instance_id: str) -> bool:
        """Note a server's owner unless a later one is known.

        :param server: the server and the term that the owner claims.
        :param instance_id: the instance that says it is the owner.
        """
        with self._lock:
            if server.term < self.term_of(server.server_id):
                return False
            self._disown(server.server_id)
            self._owners[server.server_id] = OwnerTerm(instance_id, server.term)
            self._owned[instance_id][server.server_id] = server
            return True

    def owner_of(self, server_id: str) -> str | None:
        """Return the instance that owns a server, as far as is known."""
        known = self._owners.get(server_id)
        return known.instance_id if known else None

    def term_of(self, server_id: str) -> int:
        """Return the highest term known of a server, 0 if none is."""
        known = self._owners.get(server_id)
        return known.term if known else 0

    def owned_by(self, instance_id: str) -> list[ServerTerm]:
        """Return the servers that an instance owns, as far as is known."""
        with self._lock:
            return list(self._owned.get(instance_id, {}).values())

    def server_report(self, server: ServerTerm) -> ServerReport:
        """Return what is known of a server's loads, for its new owner.

        :param server: the server and the term to answer.
        """
        with self._lock:
            return ServerReport(
                server,
                self._names_on(self._opened, server.server_id),
                self._names_on(self._closed, server.server_id),
            )

    def open_loads(self, announced: LoadsOpened) -> None:
        """Pass announced loads on to the entries, but for closed ones.

        :param announced: loads of one server, with the term of its owner.
        """
        with self._lock:
            server = announced.server
            if server.term < self.term_of(server.server_id):
                return
            fresh = set(announced.load_names) - self._closed
            self._opened |= fresh
            self._notify_entries(LoadsOpened(server, sorted(fresh)))

    def replace_loads(self, snapshot: LoadsSnapshot) -> None:
        """Take in all open loads of a server; forget all others.

        What is missing from a snapshot may be evicted without the consent of
        this instance, if that was out of the owner's sight for long.

        :param snapshot: the server, its owner's term and its open loads.
        """
        with self._lock:
            server = snapshot.server
            if server.term < self.term_of(server.server_id):
                return
            names = self._names_on(self._opened, server.server_id)
            self._forget(set(names) - set(snapshot.load_names))
            self.open_loads(LoadsOpened(*snapshot))

    def drop_loads(self, load_names: Iterable[str]) -> None:
        """Forget loads that their server holds no longer.

        :param load_names: names under which the engines knew them.
        """
        with self._lock:
            names = list(load_names)
            for load_name in names:
                self._opened.discard(load_name)
                self._closed.discard(load_name)
                self._closings.pop(load_name, None)
            self._notify_entries(LoadsGone(names))

    def forget_opened(self) -> None:
        """Forget all open loads, as those of a process that was frozen.

        They may have been evicted without the consent of this instance.
        """
        with self._lock:
            self._forget(set(self._opened))

    def consent_to_close(self, asked: CloseLoad, asker: Link) -> None:
        """Close a load; answer `LoadDrained` when no entry runs on it.

        :param asked: the load, its server and the term of who asks.
        :param asker: the link of the owner, to answer on.
        """
        with self._lock:
            term = self.term_of(asked.server_id)
            if asked.term < term:
                known = ServerTerm(asked.server_id, term)
                asker.send(CloseRefused(asked.load_name, known))
                return
            closing = self._closings.get(asked.load_name)
            if closing is None:
                closing = self._start_closing(asked)
            closing.askers.append(asker)
            self._answer_if_drained(asked.load_name)

    def entry_joined(self, link: Link) -> None:
        """Take an entry in: it gets the open loads and the closings.

        :param link: the link, whose hello tells what the entry runs.
        """
        with self._lock:
            hello = link.peer
            self._entries[hello.name] = link
            for load_name in hello.closed:
                self._closed.add(load_name)
            self._opened |= set(hello.opened) - self._closed
            for server_id, owner in self._owners.items():
                link.send(self._opened_on(ServerTerm(server_id, owner.term)))
            for closed_name in self._closed:
                server = server_of(closed_name) or ''
                link.send(CloseLoad(server, closed_name, 0))

    def entry_left(self, link: Link) -> None:
        """Note that an entry's link is lost; it may still run requests."""
        with self._lock:
            if self._entries.get(link.peer.name) is link:
                self._entries[link.peer.name] = None

    def entry_gone(self, name: str) -> None:
        """Stop counting an entry whose process has ended.

        :param name: the entry's name in the settings.
        """
        with self._lock:
            if self._entries.get(name) is None:
                self._entries.pop(name, None)
                for load_name in list(self._closings):
                    self.entry_drained(name, load_name)

    def entry_drained(self, name: str, load_name: str) -> None:
        """Note that an entry runs nothing on a load that it has closed."""
        with self._lock:
            closing = self._closings.get(load_name)
            if closing is not None:
                closing.pending.discard(name)
                self._answer_if_drained(load_name)

    def unlinked_entries(self) -> list[str]:
        """Return the entries that count though they have no link."""
        with self._lock:
            return [name for name, link in self._entries.items() if not link]

    def entries(self) -> list[Link]:
        """Return the links of the entries that have one."""
        with self._lock:
            return [link for link in self._entries.values() if link]

    def notify_entries(self, message: object) -> None:
        """Send a message to each entry of the instance."""
        with self._lock:
            self._notify_entries(message)

    def _disown(self, server_id: str) -> None:
        before = self.owner_of(server_id)
        if before is None:
            return
        self._owned[before].pop(server_id)
        if not self._owned[before]:
            self._owned.pop(before)

    def _start_closing(self, asked: CloseLoad) -> _Closing:
        closing = _Closing(set(self._entries))
        self._closings[asked.load_name] = closing
        self._close(asked)
        return closing

    def _forget(self, load_names: set[str]) -> None:
        self._opened -= load_names
        self._notify_entries(LoadsForgotten(sorted(load_names)))

    def _close(self, asked: CloseLoad) -> None:
        self._closed.add(asked.load_name)
        self._opened.discard(asked.load_name)
        self._notify_entries(asked)

    def _answer_if_drained(self, load_name: str) -> None:
        closing = self._closings[load_name]
        if closing.pending:
            return
        for asker in closing.askers:
            asker.send(LoadDrained(load_name))
        closing.askers.clear()

    def _opened_on(self, server: ServerTerm) -> LoadsOpened:
        return LoadsOpened(server, self.server_report(server).opened)

    def _names_on(self, names: set[str], server_id: str) -> list[str]:
        return sorted(name for name in names if server_of(name) == server_id)

    def _notify_entries(self, message: object) -> None:
        for link in self._entries.values():
            if link is not None:
                link.send(message)
