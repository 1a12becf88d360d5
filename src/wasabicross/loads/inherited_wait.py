"""How long an owner keeps the loads that it has inherited."""

from collections.abc import Mapping

from wasabicross.loads.subscribers import Subscribers


class InheritedWait:
    """Waits until nobody uses loads by the word of an earlier owner.

    An earlier owner may go on granting use until its instance reports to
    the later one, or is dropped. So the wait begins only once a list that
    was read after the takeover names the residents, and all have reported.
    An instance that only the earlier owner knew is in the list by the end of
    the wait, which is read once more.

    :param subscribers: the instances that may use the loads.
    """

    def __init__(self, subscribers: Subscribers) -> None:
        #: Monotonic time by which the key had been written.
        self.taken_over_s = float('-inf')
        #: Monotonic time since which no earlier owner has granted use.
        self.began_s: float | None = None
        self._subscribers = subscribers

    def begin(self, reported_s: Mapping[str, float], now_s: float) -> None:
        """Begin to wait if all residents have reported.

        :param reported_s: monotonic time of each instance's first report.
        :param now_s: monotonic seconds.
        """
        if self.began_s is not None:
            return
        if not self.has_read_list:
            return
        if self._subscribers.must_consent(now_s) <= reported_s.keys():
            self.began_s = max((now_s, *reported_s.values()))

    @property
    def has_read_list(self) -> bool:
        """Whether a list was read that was asked for after the takeover."""
        return self._subscribers.listed_s >= self.taken_over_s

    def is_over(self, now_s: float) -> bool:
        """Tell whether no grant of an earlier owner is in use any more.

        :param now_s: monotonic seconds.
        """
        if self.began_s is None:
            return False
        over_s = self.began_s + self._subscribers.window.total_s
        return over_s <= now_s and over_s <= self._subscribers.listed_s
