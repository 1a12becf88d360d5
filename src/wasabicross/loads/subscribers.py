"""The instances that may use the loads of the servers owned here."""

import threading
from typing import Any, NamedTuple

from wasabicross.messaging.links import Link


class UseWindow(NamedTuple):
    """How long an instance that is out of sight may go on using loads.

    :param use_lease_s: how long a granted use lasts.
    :param max_request_s: how long a request runs at most.
    """

    use_lease_s: float
    max_request_s: float

    @property
    def total_s(self) -> float:
        """Seconds after which nothing runs that began under a grant."""
        return self.use_lease_s + self.max_request_s


class _Subscriber:
    def __init__(self, data_centre: str, heard_s: float) -> None:
        self.data_centre = data_centre
        self.heard_s = heard_s
        self.link: Link | None = None
        self.granted_until_s = float('-inf')


class Subscribers:
    """Links of the instances, and which of them must consent to a closing.

    A resident is an instance of the data centre of the servers; it counts
    while the instance list shows it or its link stands, and for a window
    after. A visitor, of another data centre, counts while its link stands,
    and then only while a grant of use that it was given, and the requests
    begun under it, may last.

    :param data_centre: where the servers stand.
    :param window: how long instances out of sight still count.
    """

    def __init__(self, data_centre: str, window: UseWindow) -> None:
        self.window = window
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._known: dict[str, _Subscriber] = {}
        #: Monotonic time at which the list last read was asked for.
        self.listed_s = float('-inf')

    def link_opened(self, link: Link, now_s: float) -> None:
        """Note an instance's link.

        :param link: the accepted link, with the hello of the instance.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            subscriber = self._ensure(
                link.peer.instance_id, link.peer.data_centre, now_s
            )
            subscriber.link = link

    def link_closed(self, link: Link, now_s: float) -> None:
        """Note that a link has ended; the instance may still use loads.

        :param link: the link.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            subscriber = self._known.get(link.peer.instance_id)
            if subscriber is not None and subscriber.link is link:
                subscriber.link = None
                subscriber.heard_s = now_s

    def remove_instance(self, instance_id: str) -> None:
        """Forget an instance that has said that nothing of it runs."""
        with self._lock:
            self._known.pop(instance_id, None)

    def update_listed(
        self, residents: set[str], now_s: float, asked_s: float | None = None
    ) -> None:
        """Note the instances that the instance list shows.

        :param residents: instances of the servers' data centre, both live
            and leaving.
        :param now_s: monotonic seconds.
        :param asked_s: monotonic time at which the list was asked for, if
            that was earlier.
        """
        with self._lock:
            self.listed_s = now_s if asked_s is None else asked_s
            for instance_id in residents:
                self._ensure(instance_id, self._data_centre, now_s)

    def record_grant(self, instance_id: str, now_s: float) -> None:
        """Note that a use was granted, before the grant is answered.

        :param instance_id: whose use it is.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            subscriber = self._known.get(instance_id)
            if subscriber is not None:
                until_s = now_s + self.window.use_lease_s
                subscriber.granted_until_s = until_s

    def must_consent(self, now_s: float) -> set[str]:
        """Return the instances whose requests may use loads.

        :param now_s: monotonic seconds.
        """
        with self._lock:
            return {
                instance_id
                for instance_id, subscriber in self._known.items()
                if self._may_use(subscriber, now_s)
            }

    def is_resident(self, instance_id: str) -> bool:
        """Tell whether an instance stands in the servers' data centre."""
        with self._lock:
            known = self._known.get(instance_id)
            if known is None:
                return False
            return known.data_centre == self._data_centre

    def link_of(self, instance_id: str) -> Link | None:
        """Return an instance's link, None while it has none."""
        with self._lock:
            known = self._known.get(instance_id)
            return known.link if known else None

    def broadcast(self, message: Any) -> None:
        """Send a message to every instance that has a link."""
        with self._lock:
            links = [known.link for known in self._known.values()]
        for link in links:
            if link is not None:
                link.send(message)

    def _ensure(
        self, instance_id: str, data_centre: str, now_s: float
    ) -> _Subscriber:
        known = self._known.get(instance_id)
        if known is None:
            known = _Subscriber(data_centre, now_s)
            self._known[instance_id] = known
        known.heard_s = now_s
        return known

    def _may_use(self, subscriber: _Subscriber, now_s: float) -> bool:
        if subscriber.link is not None:
            return True
        if subscriber.data_centre != self._data_centre:
            ends_s = subscriber.granted_until_s + self.window.max_request_s
            return now_s < ends_s
        return now_s < subscriber.heard_s + self.window.total_s
