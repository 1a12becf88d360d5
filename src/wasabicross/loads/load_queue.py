"""Load requests of one engine, which wait for a slot and a permit."""

import threading
from typing import NamedTuple, Protocol

from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import LoadDeclined, WantLoad

PERMIT_REPEAT_S = 0.5
DECLINE_RETRY_S = 1.0

#: Seconds after which an engine without a free slot is asked again. It is short
#: as a slot may become free while requests wait.
NO_ROOM_RETRY_S = 0.25

#: Seconds after which a load request that is not repeated is dropped. Entries
#: repeat a request that callers wait for several times a second, and a request
#: for a further copy less often.
WAIT_EXPIRY_S = 1.2
COPY_EXPIRY_S = 5.0

_Version = tuple[str, str]


class LoadPermits(Protocol):
    """Requests and returns permits to load from the weight store."""

    def request(
        self, server_id: str, load_request: WantLoad, waiting_since_s: float
    ) -> None:
        """Request a permit; `ServerOwner.permit_granted` receives the grant.

        :param server_id: id of the engine.
        :param load_request: the adapter version to load.
        :param waiting_since_s: monotonic time since which requests wait.
        """

    def return_permit(
        self, server_id: str, load_request: WantLoad, loaded: bool
    ) -> None:
        """Return a permit whose load has ended.

        :param server_id: id of the engine.
        :param load_request: the adapter version of the load.
        :param loaded: whether the engine holds it now.
        """

    def return_unused(self, server_id: str, adapter: str, version: str) -> None:
        """Return a permit that is no longer needed.

        :param server_id: id of the engine.
        :param adapter: name of the adapter.
        :param version: its version.
        """


class QueuedRequest(NamedTuple):
    """A load request in the queue of its server's owner.

    :param load_request: the message that requested the load.
    :param requester: link to the instance whose entries wait.
    :param waiting_since_s: monotonic time since which requests wait.
    :param requested_s: monotonic time of the last such message.
    """

    load_request: WantLoad
    requester: Link
    waiting_since_s: float
    requested_s: float

    @property
    def version(self) -> _Version:
        """The adapter and its version."""
        return (self.load_request.adapter, self.load_request.version)

    def is_stale(self, now_s: float) -> bool:
        """Return whether the request was not repeated in time."""
        expiry_s = WAIT_EXPIRY_S if self.load_request.waiting else COPY_EXPIRY_S
        return now_s - self.requested_s > expiry_s


class LoadQueue:
    """Load requests of one engine and the permits to load them.

    :param server_id: id of the engine.
    :param permits: requests and returns permits of the weight store.
    """

    def __init__(self, server_id: str, permits: LoadPermits) -> None:
        self._server_id = server_id
        self.permits = permits
        self._lock = threading.Lock()
        self._requests: dict[_Version, QueuedRequest] = {}
        self._permitted: set[_Version] = set()
        self._permit_requested_s: dict[_Version, float] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(
        self, load_request: WantLoad, requester: Link, now_s: float
    ) -> None:
        """Add or repeat a load request.

        :param load_request: the adapter version, and the number of requests
            that wait for it.
        :param requester: the link to answer on if the load is declined.
        :param now_s: present time, monotonic seconds.
        """
        version = (load_request.adapter, load_request.version)
        with self._lock:
            earlier = self._requests.get(version)
            waiting_since_s = now_s - load_request.waited_s
            if earlier:
                waiting_since_s = min(waiting_since_s, earlier.waiting_since_s)
            self._requests[version] = QueuedRequest(
                load_request, requester, waiting_since_s, now_s
            )

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a load request that is satisfied or declined."""
        self._drop(queued.version)

    def drop_satisfied(self, adapter: str, version: str) -> None:
        """Drop a load request that another server has satisfied.

        A request for a further copy stays. If requests still wait, their entry
        soon repeats the load request.
        """
        with self._lock:
            queued = self._requests.get((adapter, version))
        if queued is not None and queued.load_request.waiting:
            self.remove(queued)

    def decline(
        self, queued: QueuedRequest, retry_after_s: float = DECLINE_RETRY_S
    ) -> None:
        """Decline a load request, so that the requester chooses another server.

        :param queued: the load request.
        :param retry_after_s: seconds after which it may be sent here again.
        """
        self.remove(queued)
        queued.requester.send(
            LoadDeclined(self._server_id, *queued.version, retry_after_s),
        )

    def due(self, now_s: float) -> list[QueuedRequest]:
        """Return the load requests in the order in which they get slots.

        Those with a permit come first, then those that wait for a permit, since
        a slot is reserved for each. Within each class, those that most requests
        wait for come first.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            requests = list(self._requests.values())
        for request in requests:
            if request.is_stale(now_s):
                self._drop(request.version)
        with self._lock:
            return sorted(
                self._requests.values(),
                key=lambda due: (
                    due.version not in self._permitted,
                    due.version not in self._permit_requested_s,
                    -due.load_request.waiting,
                    due.waiting_since_s,
                ),
            )

    def add_permit(self, adapter: str, version: str) -> None:
        """Store a granted permit, or return it if it is no longer needed.

        :param adapter: name of the adapter.
        :param version: its version.
        """
        with self._lock:
            is_requested = (adapter, version) in self._requests
            if is_requested:
                self._permitted.add((adapter, version))
        if not is_requested:
            self.permits.return_unused(self._server_id, adapter, version)

    def take_permit(self, queued: QueuedRequest, now_s: float) -> bool:
        """Use the permit for a load, or request one if there is none.

        :param queued: the load request.
        :param now_s: present time, monotonic seconds.
        :returns: whether the load is permitted.
        """
        version = queued.version
        with self._lock:
            if version in self._permitted:
                self._permitted.discard(version)
                self._permit_requested_s.pop(version, None)
                return True
            permit_requested_s = self._permit_requested_s.get(
                version, float('-inf')
            )
            if now_s - permit_requested_s < PERMIT_REPEAT_S:
                return False
            self._permit_requested_s[version] = now_s
        self.permits.request(
            self._server_id, queued.load_request, queued.waiting_since_s
        )
        return False

    def _drop(self, version: _Version) -> None:
        """Remove a load request and return its permit, if it has one."""
        with self._lock:
            self._requests.pop(version, None)
            self._permit_requested_s.pop(version, None)
            is_permitted = version in self._permitted
            self._permitted.discard(version)
        if is_permitted:
            self.permits.return_unused(self._server_id, *version)

    def return_permit(self, queued: QueuedRequest, loaded: bool) -> None:
        """Return the permit of a load that has ended.

        :param queued: the load request.
        :param loaded: whether the engine holds the load now.
        """
        self.permits.return_permit(self._server_id, queued.load_request, loaded)
