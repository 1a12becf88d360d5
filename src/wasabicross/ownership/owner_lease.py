"""How late an owner may be sure that no later one is settled."""

from wasabicross.ownership.instance_lease import Renewal


class OwnerLease:
    """The lease of an ownership, and what else confirms that it stands."""

    def __init__(self) -> None:
        self.lease_id = ''
        self.renewed_s = float('-inf')
        self._confirmed_s = float('-inf')

    def record_confirmation(self, asked_s: float) -> None:
        """Note that another resident knew of no later owner.

        :param asked_s: monotonic time at which it was asked.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def confirmed_s(
        self, renewal: Renewal, resident_since_s: float, now_s: float
    ) -> float:
        """Return the monotonic time up to which the ownership is confirmed.

        An instance that the list showed before its lease was last renewed is
        a resident to every later owner, which can't settle, and so evicts
        nothing, without this instance's report. So it needs no lease to
        know that no later owner is settled.

        :param renewal: the last renewal of the instance's lease; if that is
            the lease of this ownership, nobody else owned the server then.
        :param resident_since_s: monotonic time since which the list has
            shown this instance, infinite while that does not count.
        :param now_s: monotonic seconds.
        """
        if renewal.lease_id == self.lease_id:
            self.renewed_s = max(self.renewed_s, renewal.sent_s)
        if resident_since_s <= self.renewed_s:
            return now_s
        return max(self._confirmed_s, self.renewed_s)
