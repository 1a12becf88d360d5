"""What the answers of a server state of the load that it bears."""

from __future__ import annotations

from typing import NamedTuple


class StatedLimits(NamedTuple):
    """What an answer states of the load that its server bears.

    :param requests_per_s: requests a second that the server takes from all
        gateways together, None if not stated.
    :param refusals_per_s: refusals a second for want of room above which the
        server fails, None if not stated.
    """

    requests_per_s: float | None = None
    refusals_per_s: float | None = None

    @property
    def are_none(self) -> bool:
        """Return whether the server bears any load."""
        return self.requests_per_s is None and self.refusals_per_s is None


#: Stated by an answer whose server bears any load.
NO_LIMITS = StatedLimits()
