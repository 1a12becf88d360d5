"""A server that could run a request, and how much room it has."""

from __future__ import annotations

from typing import NamedTuple

#: Occupied share of a server's slots from which on it counts as full.
_FULL_SHARE = 0.85

#: Share of a server's slots that is kept in reserve, and the least number of
#: them: other gateways send requests that the last report doesn't include yet.
_RESERVED_SHARE = 0.15
_MIN_RESERVED_SLOTS = 3

#: Occupied share of a server's slots up to which it has headroom.
_HEADROOM_SHARE = 0.5

#: Prefill time, as a share of the target, up to which a server has headroom.
_HEADROOM_PREFILL_SHARE = 0.25

#: Weight of the delay that a prompt causes to each running request, whose
#: tokens come slower during its prefill.
_CAUSED_DELAY_WEIGHT = 0.1

#: Difference between the delays of servers that matters to a choice, seconds.
#: Many gateways see each delay at different times.
_DELAY_STEP_S = 0.15

#: Cost of another data centre, as occupancy.
_REMOTE_COST = 0.05


class Candidate(NamedTuple):
    """A server that could run a request.

    :param held_version: version of the adapter that it holds, 0 for none.
    :param takes_loads: whether its owner can load the adapter there.
    :param spare_slots: adapter slots that are empty or hold an unused adapter,
        negative where more loads wait than that.
    :param requests: requests that run or wait there.
    :param slots: requests that it runs at once.
    :param is_local: whether it is in this gateway's data centre.
    :param is_healthy: whether it answered most of the latest requests.
    :param is_reachable: whether the latest connection could be made.
    :param prefill_share: time until it has prefilled the prompts sent to it, as
        a share of the time in which the request expects its first token.
    :param is_warm: whether it held the adapter recently, so that it loads it
        faster than others and without the weight store.
    :param pending_prefill_s: time until it has prefilled the prompts sent to
        it, seconds.
    :param own_prefill_s: time in which it prefills the request's prompt.
    :param is_limited: whether it takes only so many requests a second.
    """

    server_id: str
    held_version: int
    takes_loads: bool
    spare_slots: int
    requests: int
    slots: int
    is_local: bool
    is_healthy: bool
    is_reachable: bool
    prefill_share: float = 0
    is_warm: bool = False
    pending_prefill_s: float = 0
    own_prefill_s: float = 0
    is_limited: bool = False

    @property
    def delay_s(self) -> float:
        """Return the delay that one more request meets there and causes."""
        caused_s = _CAUSED_DELAY_WEIGHT * self.own_prefill_s * self.requests
        return self.pending_prefill_s + caused_s

    @property
    def delay_steps(self) -> int:
        """Return the delay in steps that matter to a choice."""
        return int(self.delay_s / _DELAY_STEP_S)

    @property
    def occupancy(self) -> float:
        """Return the occupied share of its slots plus its prefill share."""
        return self.requests / max(1, self.slots) + self.prefill_share

    @property
    def cost(self) -> float:
        """Return the occupancy, with a surcharge for another data centre."""
        share = self.occupancy
        return share if self.is_local else share + _REMOTE_COST

    @property
    def is_full(self) -> bool:
        """Return whether another request would have to wait there."""
        return self.requests >= _FULL_SHARE * self.slots

    @property
    def has_long_prefill(self) -> bool:
        """Return whether prefill would make the first token miss its target."""
        return self.prefill_share >= _FULL_SHARE

    @property
    def has_headroom(self) -> bool:
        """Return whether it can take an adapter with many requests."""
        has_short_prefill = self.prefill_share <= _HEADROOM_PREFILL_SHARE
        return has_short_prefill and self.occupancy <= _HEADROOM_SHARE

    @property
    def free_slots(self) -> float:
        """Return the free usable slots, negative where more are occupied."""
        return self.usable_slots - self.requests

    @property
    def usable_slots(self) -> float:
        """Return the slots without the reserve for unreported requests."""
        return max(
            1,
            self.slots - max(_MIN_RESERVED_SLOTS, _RESERVED_SHARE * self.slots),
        )
