"""What an instance knows of its own state without asking another."""

from wasabicross.ownership.fleet_view import FleetView
from wasabicross.runtime.pauses import PauseWatch


class InstanceStatus:
    """Whether this instance was paused, and since when it is listed.

    :param pauses: detects that this process was paused.
    :param fleet: the instance list as this instance reads it.
    """

    def __init__(self, pauses: PauseWatch, fleet: FleetView) -> None:
        self._pauses = pauses
        self._fleet = fleet

    def has_paused(self, now_s: float) -> bool:
        """Return whether the process was paused and has not handled it yet.

        :param now_s: present time, monotonic seconds.
        """
        return self._pauses.has_paused(now_s)

    def resident_since_s(self, now_s: float) -> float:
        """Return since when every later owner asks this instance for consent.

        :param now_s: present time, monotonic seconds.
        :returns: monotonic seconds, infinite while this instance may be
            missing from the list or was paused.
        """
        if self._pauses.has_paused(now_s):
            return float('inf')
        return self._fleet.resident_since_s
