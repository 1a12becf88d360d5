"""The links that an instance opens to all instances, including itself."""

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
    """Return the longest interval between two renewals sent to a peer.

    :param use_lease_s: duration of a use grant in seconds.
    """
    return max(MIN_RENEW_INTERVAL_S, use_lease_s / RENEWALS_PER_USE_LEASE)


def renew_interval_s(peers: int, use_lease_s: float) -> float:
    """Return the interval of the renewals sent to each peer.

    It grows with the number of peers, up to the interval at which a use grant
    still outlasts two lost renewals.

    :param peers: number of peers.
    :param use_lease_s: duration of a use grant in seconds.
    """
    bounded_s = min(peers / RENEWALS_PER_S, max_renew_interval_s(use_lease_s))
    return max(MIN_RENEW_INTERVAL_S, bounded_s)


def frequent_interval_s(interval_s: float) -> float:
    """Return the renewal interval of a peer that is local or in use.

    Its answers also report the load of the engines, which changes quickly.

    :param interval_s: the renewal interval of other peers.
    """
    return min(interval_s, MAX_FREQUENT_INTERVAL_S)


def max_silence_s(use_lease_s: float, *, is_local: bool) -> float:
    """Return the time without a renewal after which a link counts as lost.

    :param use_lease_s: duration of a use grant in seconds.
    :param is_local: whether both ends are in one data centre.
    """
    longest_s = max_renew_interval_s(use_lease_s)
    if is_local:
        longest_s = frequent_interval_s(longest_s)
    return longest_s + ANSWER_TIMEOUT_S


class PeerEvents(LinkHandler, Protocol):
    """What a controller does on the links that it has opened."""

    def peer_linked(self, link: Link, peer: Instance) -> None:
        """Handle a new link."""

    def peer_renewed(
        self, peer: Instance, granted: Renewed, asked_s: float
    ) -> None:
        """Handle a use grant, which lasts from the time it was requested."""


class PeerLink:
    """The link to one instance, with a thread that keeps it open.

    :param peer: the instance, as the list shows it.
    :param hello: makes the hello to send.
    :param heartbeat: makes the renewal to send.
    :param events: handles messages and changes of the link.
    :param use_lease_s: duration of a use grant in seconds.
    :param is_local: whether the instance is in the same data centre.
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
        self._max_silence_s = max_silence_s(use_lease_s, is_local=is_local)
        self._is_local = is_local
        self._last_used_s = -math.inf
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
        """Close the link and end the thread."""
        self._stop.set()
        if self._link is not None:
            self._link.close()

    def redial(self) -> None:
        """Close the link; the thread opens it again."""
        if self._link is not None:
            self._link.close()

    def send(self, message: Any) -> bool:
        """Send a message without an answer; return whether it was sent."""
        link = self.link
        return link is not None and link.send(message)

    def record_use(self, now_s: float) -> None:
        """Record that a request here uses a server of the peer or needs one.

        A renewal is sent at once to a peer that was not in use before.

        :param now_s: present time, monotonic seconds.
        """
        was_in_use = self._is_in_use(now_s)
        self._last_used_s = now_s
        if not was_in_use:
            self._wake.set()

    def renewal_delay_s(self, now_s: float) -> float:
        """Return how long to wait before the next renewal.

        :param now_s: present time, monotonic seconds.
        """
        if self._is_local or self._is_in_use(now_s):
            return frequent_interval_s(self.interval_s)
        return self.interval_s

    def _is_in_use(self, now_s: float) -> bool:
        return now_s - self._last_used_s < RECENT_USE_S

    def _run(self) -> None:
        retry_s = MIN_RETRY_S
        while not self._stop.is_set():
            dialled = dial(self.peer.host, self.peer.port, self._hello())
            if dialled.is_error():
                self._stop.wait(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            retry_s = MIN_RETRY_S
            self._run_link(dialled.ok)

    def _run_link(self, link: Link) -> None:
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
            elif asked_s - renewed_s >= self._max_silence_s:
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
    :param events: handles messages and changes of the links.
    :param use_lease_s: duration of a use grant in seconds.
    :param data_centre: the data centre of this instance.
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
        """Connect to new instances and new addresses; drop unlisted ones.

        An instance that is no longer listed is kept while its link is open,
        since the list may be out of date.

        :param instances: the instances that the list shows.
        """
        listed = {peer.instance_id: peer for peer in instances}
        with self._lock:
            for instance_id, known in list(self._peers.items()):
                if self._is_obsolete(known, listed.get(instance_id)):
                    known.stop()
                    self._peers.pop(instance_id)
            for new_id in listed.keys() - self._peers.keys():
                self._peers[new_id] = self._new_link(listed[new_id])
                self._peers[new_id].start()
            interval_s = renew_interval_s(len(self._peers), self._use_lease_s)
            for kept in self._peers.values():
                kept.interval_s = interval_s

    def get(self, instance_id: str) -> PeerLink | None:
        """Return the link to an instance, None if it is not known."""
        with self._lock:
            return self._peers.get(instance_id)

    def linked(self) -> list[PeerLink]:
        """Return the links that are open."""
        with self._lock:
            return [peer for peer in self._peers.values() if peer.link]

    def redial(self) -> None:
        """Close all links; each is opened again."""
        for peer in self.linked():
            peer.redial()

    def stop(self) -> None:
        """Close all links."""
        with self._lock:
            for peer in self._peers.values():
                peer.stop()

    def _new_link(self, peer: Instance) -> PeerLink:
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
        address = (known.peer.host, known.peer.port)
        return address != (listed.host, listed.port)
