"""Until when an owner can be sure that no later owner is settled."""

from wasabicross.ownership.instance_lease import Renewal


class OwnerLease:
    """The lease of an ownership, and what else confirms the ownership."""

    def __init__(self) -> None:
        self.lease_id = ''
        self.renewed_s = float('-inf')
        self._confirmed_s = float('-inf')

    def record_confirmation(self, asked_s: float) -> None:
        """Record that another resident knew of no later owner.

        :param asked_s: monotonic time at which it was asked.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def confirmed_s(
        self, renewal: Renewal, resident_since_s: float, now_s: float
    ) -> float:
        """Return the monotonic time up to which the ownership is confirmed.

        An owner settles, and may evict, once all residents have reported to
        it. An instance that was listed before its lease was last renewed is a
        resident to every later owner, so none of them settles without its
        report. Then it needs no lease to know that no later owner is settled.

        :param renewal: the last renewal of the instance's lease; if that is
            the lease of this ownership, no other instance owned the server
            when it was sent.
        :param resident_since_s: monotonic time since which the list has
            shown this instance, infinite while that is not certain.
        :param now_s: present time, monotonic seconds.
        """
        if renewal.lease_id == self.lease_id:
            self.renewed_s = max(self.renewed_s, renewal.sent_s)
        if resident_since_s <= self.renewed_s:
            return now_s
        return max(self._confirmed_s, self.renewed_s)
