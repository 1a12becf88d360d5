"""What an instance may rely on about itself, without asking anyone."""

from wasabicross.ownership.fleet_view import FleetView
from wasabicross.runtime.pauses import PauseWatch


class InstanceStatus:
    """Tells whether this instance runs, and since when others count it.

    :param pauses: notices that this process was frozen.
    :param fleet: the list as this instance reads it.
    """

    def __init__(self, pauses: PauseWatch, fleet: FleetView) -> None:
        self._pauses = pauses
        self._fleet = fleet

    def has_paused(self, now_s: float) -> bool:
        """Tell whether the process was frozen and has not acted on it yet.

        :param now_s: monotonic seconds.
        """
        return self._pauses.has_paused(now_s)

    def resident_since_s(self, now_s: float) -> float:
        """Return since when later owners count this instance for sure.

        :param now_s: monotonic seconds.
        :returns: monotonic seconds, infinite while it may be dropped.
        """
        if self._pauses.has_paused(now_s):
            return float('inf')
        return self._fleet.resident_since_s
