"""The links that an instance dials to all instances, itself included."""

import math
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

from wasabicross.messaging.links import Link, LinkHandler, dial
from wasabicross.messaging.messages import Hello, Renew, Renewed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.stores.instances import Instance

MIN_RENEW_INTERVAL_S = 1.0
MAX_FREQUENT_INTERVAL_S = 2.0
RECENT_USE_S = 30.0
RENEWALS_PER_S = 30.0
RENEWALS_PER_USE_LEASE = 3
RENEW_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 4.0
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0


def max_renew_interval_s(use_lease_s: float) -> float:
    """Return how long a peer rests at most between two renewals.

    :param use_lease_s: how long a grant lasts.
    """
    return max(MIN_RENEW_INTERVAL_S, use_lease_s / RENEWALS_PER_USE_LEASE)


def renew_interval_s(peers: int, use_lease_s: float) -> float:
    """Return how often each peer is asked to renew the use of its servers.

    With many peers it is longer, within what lets a use outlast two lost
    renewals.

    :param peers: how many peers are asked.
    :param use_lease_s: how long a grant lasts.
    """
    bounded_s = min(peers / RENEWALS_PER_S, max_renew_interval_s(use_lease_s))
    return max(MIN_RENEW_INTERVAL_S, bounded_s)


def frequent_interval_s(interval_s: float) -> float:
    """Return how often a peer is asked whose engines are much used.

    Its renewals also tell how busy they are, which is soon out of date.

    :param interval_s: how often another peer is asked.
    """
    return min(interval_s, MAX_FREQUENT_INTERVAL_S)


def max_silence_s(use_lease_s: float, *, is_local: bool) -> float:
    """Return after what time without a renewal a link counts as lost.

    :param use_lease_s: how long a grant lasts.
    :param is_near: whether both ends are in one data centre.
    """
    longest_s = max_renew_interval_s(use_lease_s)
    if is_local:
        longest_s = frequent_interval_s(longest_s)
    return longest_s + ANSWER_TIMEOUT_S


class PeerEvents(LinkHandler, Protocol):
    """What a controller does on the links that it has dialled."""

    def peer_linked(self, link: Link, peer: Instance) -> None:
        """Take note of a new link."""

    def peer_renewed(
        self, peer: Instance, granted: Renewed, asked_s: float
    ) -> None:
        """Take note of a grant, counted from the time it was asked for."""


class PeerLink:
    """The link to one instance, with a thread that keeps it open.

    :param peer: the instance, as the list shows it.
    :param hello: makes the hello to send.
    :param heartbeat: makes the renewal to send.
    :param events: takes messages and changes.
    :param use_lease_s: how long a grant of use lasts.
    :param is_near: whether the instance is of the same data centre.
    """

    def __init__(
        self,
        peer: Instance,
        hello: Callable[[], Hello],
        heartbeat: Callable[[], Renew],
        events: PeerEvents,
        use_lease_s: float,
        *,
        is_local: bool,
    ) -> None:
        self.peer = peer
        self.interval_s = MIN_RENEW_INTERVAL_S
        self._silence_s = max_silence_s(use_lease_s, is_local=is_local)
        self._is_near = is_local
        self._used_s = -math.inf
        self._wake = threading.Event()
        self._hello = hello
        self._heartbeat = heartbeat
        self._events = events
        self._stop = threading.Event()
        self._link: Link | None = None

    @property
    def link(self) -> Link | None:
        """The open link, None while there is none."""
        link = self._link
        return None if link is None or link.closed.is_set() else link

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run,
            name=f'peer-{self.peer.instance_id}',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Close the link and let the thread end."""
        self._stop.set()
        if self._link is not None:
            self._link.close()

    def redial(self) -> None:
        """Close the link; the thread dials again."""
        if self._link is not None:
            self._link.close()

    def send(self, message: Any) -> bool:
        """Send a message one way; return whether the link took it."""
        link = self.link
        return link is not None and link.send(message)

    def record_use(self, now_s: float) -> None:
        """Note that a request here uses or wants a server of the peer.

        :param now_s: monotonic seconds.
        """
        was_used = self._is_used(now_s)
        self._used_s = now_s
        if not was_used:
            self._wake.set()

    def renewal_delay_s(self, now_s: float) -> float:
        """Return how long to wait before the next renewal.

        :param now_s: monotonic seconds.
        """
        if self._is_near or self._is_used(now_s):
            return frequent_interval_s(self.interval_s)
        return self.interval_s

    def _is_used(self, now_s: float) -> bool:
        return now_s - self._used_s < RECENT_USE_S

    def _run(self) -> None:
        retry_s = MIN_RETRY_S
        while not self._stop.is_set():
            dialled = dial(self.peer.host, self.peer.port, self._hello())
            if dialled.is_error():
                self._stop.wait(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            retry_s = MIN_RETRY_S
            self._hold(dialled.ok)

    def _hold(self, link: Link) -> None:
        peer_id = self.peer.instance_id
        receiver = threading.Thread(
            target=self._receive,
            args=(link,),
            name=f'receive-{peer_id}',
            daemon=True,
        )
        self._link = link
        receiver.start()
        log_event(Event.PEER_LINKED, peer=peer_id)
        self._events.peer_linked(link, self.peer)
        self._renew_until_lost(link)
        link.close()
        log_event(Event.PEER_LOST, peer=peer_id)

    def _receive(self, link: Link) -> None:
        link.run(self._events)
        self._wake.set()

    def _renew_until_lost(self, link: Link) -> None:
        renewed_s = time.monotonic()
        while not link.closed.is_set() and not self._stop.is_set():
            asked_s = time.monotonic()
            if self._renew(link, asked_s):
                renewed_s = asked_s
            elif asked_s - renewed_s >= self._silence_s:
                return
            self._wake.wait(self.renewal_delay_s(time.monotonic()))
            self._wake.clear()

    def _renew(self, link: Link, asked_s: float) -> bool:
        answer = link.call(self._heartbeat(), RENEW_TIMEOUT_S)
        if answer.is_ok() and isinstance(answer.ok, Renewed):
            self._events.peer_renewed(self.peer, answer.ok, asked_s)
            return True
        return False


class PeerLinks:
    """The links to all instances that the list shows.

    :param hello: makes the hello to send.
    :param heartbeat: makes the renewal to send.
    :param events: takes messages and changes.
    :param use_lease_s: how long a grant of use lasts.
    :param data_centre: where this instance stands.
    """

    def __init__(
        self,
        hello: Callable[[], Hello],
        heartbeat: Callable[[], Renew],
        events: PeerEvents,
        use_lease_s: float,
        data_centre: str,
    ) -> None:
        self._data_centre = data_centre
        self._use_lease_s = use_lease_s
        self._hello = hello
        self._heartbeat = heartbeat
        self._events = events
        self._lock = threading.Lock()
        self._peers: dict[str, PeerLink] = {}

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Dial new instances and those that moved; drop absent dead ones.

        An instance that the list shows no longer is kept while its link
        stands, since the list lags.

        :param instances: what the list shows.
        """
        listed = {peer.instance_id: peer for peer in instances}
        with self._lock:
            for instance_id, known in list(self._peers.items()):
                if self._is_obsolete(known, listed.get(instance_id)):
                    known.stop()
                    self._peers.pop(instance_id)
            for new_id in listed.keys() - self._peers.keys():
                self._peers[new_id] = self._to(listed[new_id])
                self._peers[new_id].start()
            interval_s = renew_interval_s(len(self._peers), self._use_lease_s)
            for held in self._peers.values():
                held.interval_s = interval_s

    def get(self, instance_id: str) -> PeerLink | None:
        """Return the link to an instance, None if it is not known."""
        with self._lock:
            return self._peers.get(instance_id)

    def linked(self) -> list[PeerLink]:
        """Return the links that are open."""
        with self._lock:
            return [peer for peer in self._peers.values() if peer.link]

    def redial(self) -> None:
        """Close all links; each is dialled again."""
        for peer in self.linked():
            peer.redial()

    def stop(self) -> None:
        """Close all links."""
        with self._lock:
            for peer in self._peers.values():
                peer.stop()

    def _to(self, peer: Instance) -> PeerLink:
        return PeerLink(
            peer,
            self._hello,
            self._heartbeat,
            self._events,
            self._use_lease_s,
            is_local=peer.data_centre == self._data_centre,
        )

    def _is_obsolete(self, known: PeerLink, listed: Instance | None) -> bool:
        if listed is None:
            return known.link is None
        here = (known.peer.host, known.peer.port)
        return here != (listed.host, listed.port)
