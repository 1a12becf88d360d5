"""Election of each backend server's owner by a key in the key-value service."""

import threading
import time
import uuid
from collections.abc import Iterable
from typing import NamedTuple, Protocol

import cbor2

from wasabicross.messaging.messages import ServerTerm
from wasabicross.ownership.instance_lease import InstanceLease
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.rendezvous import rank
from wasabicross.stores.errors import SwapOutcomeUnknown
from wasabicross.stores.kv import KeyValueStore
from wasabicross.stores.versioned import Versioned

WATCH_S = 10.0
STANDBY_GRACE_S = 2.0
RETRY_S = 0.5
CANDIDATES = 2


class OwnerStart(NamedTuple):
    """An ownership that has started.

    :param server: the server and the new term.
    :param lease_id: the lease that its key is written with.
    :param sent_s: monotonic time at which the key was written.
    :param is_continued: whether this process owned the server before, and
        has not learnt of another owner since.
    """

    server: ServerTerm
    lease_id: str
    sent_s: float
    is_continued: bool


class OwnerHooks(Protocol):
    """What an election reports to the controller, and asks of it."""

    def owner_started(self, start: OwnerStart) -> None:
        """Start to own a server for a new term."""

    def owner_ended(self, server_id: str) -> None:
        """Stop owning a server."""

    def known_term(self, server_id: str) -> int:
        """Return the highest known term of a server, 0 if none is known."""


class OwnerElection:
    """Takes the ownership of servers, with a thread for each server.

    The two instances that rank first for a server watch its key; the second
    takes it only after a grace period. An owner that can't reach the service
    remains the owner: evictions need the consent of all instances anyway, so
    its term need not be confirmed again for each order.

    :param instance_id: this instance.
    :param kv: the key-value service.
    :param lease: the instance's lease, to which the keys are tied.
    :param hooks: notified of each change.
    """

    def __init__(
        self,
        instance_id: str,
        kv: KeyValueStore,
        lease: InstanceLease,
        hooks: OwnerHooks,
    ) -> None:
        self._instance_id = instance_id
        self._kv = kv
        self._lease = lease
        self._hooks = hooks
        self._stopping = threading.Event()
        self._ranks: dict[str, int] = {}
        # Input of the last ranking, which is slow for a thousand ids.
        self._last_ranked = (frozenset[str](), frozenset[str]())
        self._threads: dict[str, threading.Thread] = {}
        self._owned: dict[str, Versioned] = {}

    def assign(
        self, server_ids: Iterable[str], instance_ids: Iterable[str]
    ) -> None:
        """Start and stop watching keys of servers after the list was read.

        :param server_ids: engines of this data centre.
        :param instance_ids: live instances of this data centre.
        """
        ranked = (frozenset(server_ids), frozenset(instance_ids))
        if ranked != self._last_ranked:
            self._last_ranked = ranked
            self._ranks = self._ranks_of(*ranked)
        for candidate in self._ranks:
            self._ensure_thread(candidate)

    def stop(self) -> None:
        """Release every owned server, so that another instance may take it."""
        self._stopping.set()
        for server_id, present in list(self._owned.items()):
            self._kv.compare_and_swap(
                f'owner/{server_id}', None, present.version
            )

    def owned(self) -> list[str]:
        """Return the servers owned here."""
        return list(self._owned)

    def resign(self, server_id: str) -> None:
        """Stop owning a server that has a later owner, or after a pause."""
        if self._owned.pop(server_id, None) is not None:
            self._hooks.owner_ended(server_id)

    def _ranks_of(
        self, server_ids: frozenset[str], instance_ids: frozenset[str]
    ) -> dict[str, int]:
        """Return this instance's rank for each server that it is to watch."""
        ranks = {}
        for server_id in server_ids:
            candidates = rank(server_id, instance_ids)[:CANDIDATES]
            if self._instance_id in candidates:
                ranks[server_id] = candidates.index(self._instance_id)
        return ranks

    def _ensure_thread(self, server_id: str) -> None:
        existing = self._threads.get(server_id)
        if existing is None or not existing.is_alive():
            thread = threading.Thread(
                target=self._follow_key,
                args=(server_id,),
                name=f'keep-{server_id}',
                daemon=True,
            )
            self._threads[server_id] = thread
            thread.start()

    def _is_candidate(self, server_id: str) -> bool:
        if self._stopping.is_set():
            return False
        return server_id in self._ranks or server_id in self._owned

    def _follow_key(self, server_id: str) -> None:
        key = f'owner/{server_id}'
        fetched = self._kv.get(key)
        absent_since_s: float | None = None
        while self._is_candidate(server_id):
            if fetched.is_error():
                self._stopping.wait(RETRY_S)
                fetched = self._kv.get(key)
                continue
            before = self._owned.get(server_id)
            absent_since_s = self._handle_key_state(
                server_id, fetched.ok, absent_since_s, time.monotonic()
            )
            # A takeover that failed has left the key as it was read.
            after = self._owned.get(server_id)
            latest = fetched.ok if after is before else after or fetched.ok
            wait_s = WATCH_S if latest.value is not None else RETRY_S
            fetched = self._kv.watch(key, latest.version, wait_s)

    def _handle_key_state(
        self,
        server_id: str,
        present: Versioned,
        absent_since_s: float | None,
        now_s: float,
    ) -> float | None:
        """Act on the state of a key; return since when it has had no owner."""
        own = self._owned.get(server_id)
        if own is not None and own.version == present.version:
            return None
        if _owner_in(present) not in {None, self._instance_id}:
            self.resign(server_id)
            return None
        since_s = now_s if absent_since_s is None else absent_since_s
        grace_s = STANDBY_GRACE_S * self._ranks.get(server_id, 1)
        if own is None and now_s - since_s < grace_s:
            return since_s
        self._take_over(server_id, present, now_s)
        taken = self._owned.get(server_id)
        return since_s if taken is own else None

    def _take_over(
        self, server_id: str, present: Versioned, now_s: float
    ) -> None:
        lease_id = self._lease.lease_id
        if lease_id is None:
            return
        record = cbor2.dumps([self._instance_id, uuid.uuid4().bytes])
        taken = self._swap(f'owner/{server_id}', record, present, lease_id)
        if taken is None:
            return
        # Versions also rise across deletions; a lapsed lease deletes the key.
        server = ServerTerm(server_id, taken.version)
        if server.term <= self._hooks.known_term(server_id):
            # The service has lost data; the next write has a higher version.
            return
        is_continued = server_id in self._owned
        self._owned[server_id] = taken
        log_event(Event.OWNER_STARTED, server=server_id, term=server.term)
        self._hooks.owner_started(
            OwnerStart(server, lease_id, now_s, is_continued)
        )

    def _swap(
        self, key: str, record: bytes, present: Versioned, lease_id: str
    ) -> Versioned | None:
        swapped = self._kv.compare_and_swap(
            key, record, present.version, lease_id
        )
        if swapped.is_ok():
            return swapped.ok
        if isinstance(swapped.error, SwapOutcomeUnknown):
            # No other write has the nonce of this record, so reading the key
            # shows whether this write was stored.
            stored = self._kv.get(key).default_value(Versioned(key, None, 0))
            return stored if stored.value == record else None
        return None


def _owner_in(present: Versioned) -> str | None:
    if present.value is None:
        return None
    owner, _nonce = cbor2.loads(present.value)
    return str(owner)
