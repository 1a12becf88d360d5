"""Instances that may use the loads of the servers owned by this instance."""

import threading
from typing import Any, NamedTuple

from wasabicross.messaging.links import Link


class UseWindow(NamedTuple):
    """How long an instance without a link may continue to use loads.

    :param use_lease_s: duration of a grant of use in seconds.
    :param max_request_s: maximum run time of a request in seconds.
    """

    use_lease_s: float
    max_request_s: float

    @property
    def total_s(self) -> float:
        """Seconds from a grant to the end of the last request under it."""
        return self.use_lease_s + self.max_request_s


class _Subscriber:
    def __init__(self, data_centre: str, last_seen_s: float) -> None:
        self.data_centre = data_centre
        self.last_seen_s = last_seen_s
        self.link: Link | None = None
        self.granted_until_s = float('-inf')


class Subscribers:
    """Links of the instances, and which instances must consent to an eviction.

    A resident is an instance in the data centre of the servers. It must consent
    while it is listed or has a link, and for the time of the window after that.
    A visitor is an instance in another data centre. It must consent while it
    has a link, and after that until its last grant of use and the requests
    begun under it have ended.

    :param data_centre: data centre of the servers.
    :param window: how long instances without a link must still consent.
    """

    def __init__(self, data_centre: str, window: UseWindow) -> None:
        self.window = window
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._subscribers: dict[str, _Subscriber] = {}
        #: Monotonic time at which the list last read was requested.
        self.listed_s = float('-inf')

    def link_opened(self, link: Link, now_s: float) -> None:
        """Record the link of an instance.

        :param link: the accepted link, whose peer is the instance.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            subscriber = self._record_seen(
                link.peer.instance_id, link.peer.data_centre, now_s
            )
            subscriber.link = link

    def link_closed(self, link: Link, now_s: float) -> None:
        """Record that a link has ended; its instance may still use loads.

        :param link: the link.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            subscriber = self._subscribers.get(link.peer.instance_id)
            if subscriber is not None and subscriber.link is link:
                subscriber.link = None
                subscriber.last_seen_s = now_s

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance that has stated that none of its requests runs."""
        with self._lock:
            self._subscribers.pop(instance_id, None)

    def update_listed(
        self,
        residents: set[str],
        now_s: float,
        requested_s: float | None = None,
    ) -> None:
        """Record the instances that are listed.

        :param residents: ids of the listed instances of the servers' data
            centre, both live and leaving.
        :param now_s: present time, monotonic seconds.
        :param requested_s: monotonic time at which the list was requested, if
            earlier than `now_s`.
        """
        with self._lock:
            self.listed_s = now_s if requested_s is None else requested_s
            for instance_id in residents:
                self._record_seen(instance_id, self._data_centre, now_s)

    def record_grant(self, instance_id: str, now_s: float) -> None:
        """Record a grant of use before it is sent.

        :param instance_id: id of the instance that gets the grant.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            subscriber = self._subscribers.get(instance_id)
            if subscriber is not None:
                until_s = now_s + self.window.use_lease_s
                subscriber.granted_until_s = until_s

    def must_consent(self, now_s: float) -> set[str]:
        """Return the ids of the instances whose requests may use loads.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            return {
                instance_id
                for instance_id, subscriber in self._subscribers.items()
                if self._may_use(subscriber, now_s)
            }

    def is_resident(self, instance_id: str) -> bool:
        """Return whether an instance is in the data centre of the servers."""
        with self._lock:
            subscriber = self._subscribers.get(instance_id)
            if subscriber is None:
                return False
            return subscriber.data_centre == self._data_centre

    def link_of(self, instance_id: str) -> Link | None:
        """Return the link of an instance, None if it has none."""
        with self._lock:
            subscriber = self._subscribers.get(instance_id)
            return subscriber.link if subscriber else None

    def broadcast(self, message: Any) -> None:
        """Send a message to every instance that has a link."""
        with self._lock:
            links = [
                subscriber.link for subscriber in self._subscribers.values()
            ]
        for link in links:
            if link is not None:
                link.send(message)

    def _record_seen(
        self, instance_id: str, data_centre: str, now_s: float
    ) -> _Subscriber:
        subscriber = self._subscribers.get(instance_id)
        if subscriber is None:
            subscriber = _Subscriber(data_centre, now_s)
            self._subscribers[instance_id] = subscriber
        subscriber.last_seen_s = now_s
        return subscriber

    def _may_use(self, subscriber: _Subscriber, now_s: float) -> bool:
        if subscriber.link is not None:
            return True
        if subscriber.data_centre != self._data_centre:
            ends_s = subscriber.granted_until_s + self.window.max_request_s
            return now_s < ends_s
        return now_s < subscriber.last_seen_s + self.window.total_s
