"""The loads and owners that a controller knows, for its entries."""

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
    """The owner of a backend server, as far as an instance knows."""

    instance_id: str
    term: int


class _Closing:
    """A load being closed: entries that may use it, and who requested it."""

    def __init__(self, pending: set[str]) -> None:
        self.pending = pending
        self.requesters: list[Link] = []


class InstanceLoads:
    """Loads and owners known to an instance, and its consents to close loads.

    A load is an adapter version resident in an engine slot. It is open while
    entries may start requests on it. An owner evicts a load only after
    every instance that may use it has consented. This instance consents once
    each of its entries has closed the load and runs nothing on it. An entry
    whose link is lost may still run requests, so it counts until `entry_gone`
    is called.

    :param entry_names: the entries that the settings name; each counts as
        using every load until it joins or its process has ended.
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
        """Record a server's owner unless a later one is known.

        :param server: the server and the term that the owner claims.
        :param instance_id: the instance that claims to be the owner.
        :returns: whether the owner was recorded.
        """
        with self._lock:
            if server.term < self.term_of(server.server_id):
                return False
            self._clear_owner(server.server_id)
            self._owners[server.server_id] = OwnerTerm(instance_id, server.term)
            self._owned[instance_id][server.server_id] = server
            return True

    def owner_of(self, server_id: str) -> str | None:
        """Return the instance that owns a server, None if not known."""
        known = self._owners.get(server_id)
        return known.instance_id if known else None

    def term_of(self, server_id: str) -> int:
        """Return the highest known term of a server, 0 if none is known."""
        known = self._owners.get(server_id)
        return known.term if known else 0

    def owned_by(self, instance_id: str) -> list[ServerTerm]:
        """Return the servers that an instance is known to own."""
        with self._lock:
            return list(self._owned.get(instance_id, {}).values())

    def server_report(self, server: ServerTerm) -> ServerReport:
        """Return the known open and closed loads of a server for its new owner.

        :param server: the server and the term of the new owner.
        """
        with self._lock:
            return ServerReport(
                server,
                self._filter_by_server(self._opened, server.server_id),
                self._filter_by_server(self._closed, server.server_id),
            )

    def open_loads(self, announced: LoadsOpened) -> None:
        """Open announced loads for the entries, except those being closed.

        :param announced: loads of one server, with the term of its owner.
        """
        with self._lock:
            server = announced.server
            if server.term < self.term_of(server.server_id):
                return
            to_open = set(announced.load_names) - self._closed
            self._opened |= to_open
            self._notify_entries(LoadsOpened(server, sorted(to_open)))

    def replace_loads(self, snapshot: LoadsSnapshot) -> None:
        """Open all loads of a server that a snapshot names; forget all others.

        If this instance had no link to the owner for long, the owner may
        evict loads that are missing from the snapshot without its consent.

        :param snapshot: the server, its owner's term and its open loads.
        """
        with self._lock:
            server = snapshot.server
            if server.term < self.term_of(server.server_id):
                return
            names = self._filter_by_server(self._opened, server.server_id)
            self._forget(set(names) - set(snapshot.load_names))
            self.open_loads(LoadsOpened(*snapshot))

    def drop_loads(self, load_names: Iterable[str]) -> None:
        """Forget loads that their server no longer holds.

        :param load_names: the names of the loads at the engines.
        """
        with self._lock:
            names = list(load_names)
            for load_name in names:
                self._opened.discard(load_name)
                self._closed.discard(load_name)
                self._closings.pop(load_name, None)
            self._notify_entries(LoadsGone(names))

    def forget_opened(self) -> None:
        """Forget all open loads after the process was paused.

        They may have been evicted without the consent of this instance.
        """
        with self._lock:
            self._forget(set(self._opened))

    def consent_to_close(
        self, closing_request: CloseLoad, requester: Link
    ) -> None:
        """Close a load; answer `LoadDrained` when no entry runs requests on it.

        A request of an owner with an earlier term is refused.

        :param closing_request: the load, its server and the owner's term.
        :param requester: the link of the owner, on which to answer.
        """
        with self._lock:
            term = self.term_of(closing_request.server_id)
            if closing_request.term < term:
                known = ServerTerm(closing_request.server_id, term)
                requester.send(CloseRefused(closing_request.load_name, known))
                return
            closing = self._closings.get(closing_request.load_name)
            if closing is None:
                closing = self._start_closing(closing_request)
            closing.requesters.append(requester)
            self._answer_if_drained(closing_request.load_name)

    def entry_joined(self, link: Link) -> None:
        """Record an entry's link; send it the open loads and those to close.

        :param link: the link, whose hello names the loads that the entry
            knows as open or closed.
        """
        with self._lock:
            hello = link.peer
            self._entries[hello.name] = link
            for load_name in hello.closed:
                self._closed.add(load_name)
            self._opened |= set(hello.opened) - self._closed
            for server_id, owner in self._owners.items():
                link.send(
                    self._opened_message(ServerTerm(server_id, owner.term))
                )
            for closed_name in self._closed:
                server = server_of(closed_name) or ''
                link.send(CloseLoad(server, closed_name, 0))

    def entry_left(self, link: Link) -> None:
        """Record that an entry's link is lost; it may still run requests."""
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
        """Record that an entry runs no request on a load that it has closed."""
        with self._lock:
            closing = self._closings.get(load_name)
            if closing is not None:
                closing.pending.discard(name)
                self._answer_if_drained(load_name)

    def unlinked_entries(self) -> list[str]:
        """Return the entries that may run requests but have no link."""
        with self._lock:
            return [name for name, link in self._entries.items() if not link]

    def entries(self) -> list[Link]:
        """Return the links of the linked entries."""
        with self._lock:
            return [link for link in self._entries.values() if link]

    def notify_entries(self, message: object) -> None:
        """Send a message to each entry of the instance."""
        with self._lock:
            self._notify_entries(message)

    def _clear_owner(self, server_id: str) -> None:
        owner_id = self.owner_of(server_id)
        if owner_id is None:
            return
        self._owned[owner_id].pop(server_id)
        if not self._owned[owner_id]:
            self._owned.pop(owner_id)

    def _start_closing(self, closing_request: CloseLoad) -> _Closing:
        closing = _Closing(set(self._entries))
        self._closings[closing_request.load_name] = closing
        self._mark_closed(closing_request)
        return closing

    def _forget(self, load_names: set[str]) -> None:
        self._opened -= load_names
        self._notify_entries(LoadsForgotten(sorted(load_names)))

    def _mark_closed(self, closing_request: CloseLoad) -> None:
        self._closed.add(closing_request.load_name)
        self._opened.discard(closing_request.load_name)
        self._notify_entries(closing_request)

    def _answer_if_drained(self, load_name: str) -> None:
        closing = self._closings[load_name]
        if closing.pending:
            return
        for requester in closing.requesters:
            requester.send(LoadDrained(load_name))
        closing.requesters.clear()

    def _opened_message(self, server: ServerTerm) -> LoadsOpened:
        return LoadsOpened(server, self.server_report(server).opened)

    def _filter_by_server(self, names: set[str], server_id: str) -> list[str]:
        return sorted(name for name in names if server_of(name) == server_id)

    def _notify_entries(self, message: object) -> None:
        for link in self._entries.values():
            if link is not None:
                link.send(message)
