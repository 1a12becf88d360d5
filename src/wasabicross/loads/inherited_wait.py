"""Decides how long an owner keeps the loads that it has inherited."""

from collections.abc import Mapping

from wasabicross.loads.subscribers import Subscribers


class InheritedWait:
    """Waits until no request can use a load under an earlier owner's grant.

    An earlier owner may continue to grant use until its instance has reported
    to the later owner or is no longer listed. So the wait begins once the
    instance list has been read after the takeover and all instances that must
    consent have reported. An instance that only the earlier owner knew is
    listed before the wait ends, so the list must be read again after its end.

    :param subscribers: the instances that may use the loads.
    """

    def __init__(self, subscribers: Subscribers) -> None:
        #: Monotonic time of the takeover: the owner's key was written before.
        self.taken_over_s = float('-inf')
        #: Monotonic time since which no earlier owner has granted use, None
        #: while one may still do so.
        self.began_s: float | None = None
        self._subscribers = subscribers

    def begin(self, reported_s: Mapping[str, float], now_s: float) -> None:
        """Begin the wait if all instances that must consent have reported.

        :param reported_s: monotonic time of each instance's first report.
        :param now_s: present time, monotonic seconds.
        """
        if self.began_s is not None:
            return
        if not self.has_read_list:
            return
        if self._subscribers.must_consent(now_s) <= reported_s.keys():
            self.began_s = max((now_s, *reported_s.values()))

    @property
    def has_read_list(self) -> bool:
        """Whether a list was read that was requested after the takeover."""
        return self._subscribers.listed_s >= self.taken_over_s

    def is_over(self, now_s: float) -> bool:
        """Return whether all requests under earlier owners' grants have ended.

        :param now_s: present time, monotonic seconds.
        """
        if self.began_s is None:
            return False
        over_s = self.began_s + self._subscribers.window.total_s
        return over_s <= now_s and over_s <= self._subscribers.listed_s
