"""How long a request waits for its adapter before it is refused.

Where more adapters are requested than engines have slots, a request that waits
until it is late takes a slot from one that could still be on time. So a request
waits for a part of its target only; its caller is then told when to retry.
"""

from __future__ import annotations

#: Longest wait for an adapter, as a share of the target. The rest of the target
#: is for the prefill.
_MAX_TARGET_SHARE = 0.6

#: Longest wait for an adapter where loads take long beside the target, as a
#: multiple of their usual duration and of the target.
_MAX_LOADS = 1.25
_MAX_TARGETS = 2

#: Longest wait for an adapter after a server has failed the request, seconds.
#: Callers leave a stream that pauses for two seconds.
_MAX_WAIT_AFTER_FAILURE_S = 1.5

#: Assumed duration of a load before the first one, seconds.
_FIRST_LOAD_S = 0.25

#: Weight of the last load in the moving average of durations.
_LAST_LOAD_WEIGHT = 0.1


class AdapterWait:
    """Limits waits for adapters by targets and the usual duration of loads."""

    def __init__(self) -> None:
        self._load_s = _FIRST_LOAD_S

    def on_load(self, took_s: float) -> None:
        """Record a load that didn't have to wait for a slot.

        :param took_s: its duration, or the longest wait if that was shorter,
            seconds.
        """
        self._load_s += _LAST_LOAD_WEIGHT * (took_s - self._load_s)

    def longest_s(
        self, target_s: float, waited_s: float, *, has_run: bool
    ) -> float:
        """Return how long a request may wait for its adapter, seconds.

        A request that a server has run and failed waits anew, since its caller
        has part of the answer or has waited for it.

        :param target_s: time in which its answer should begin, from its
            arrival.
        :param waited_s: time since its arrival.
        :param has_run: whether a server ran it or may have.
        """
        if has_run:
            return _MAX_WAIT_AFTER_FAILURE_S
        for_load_s = min(_MAX_LOADS * self._load_s, _MAX_TARGETS * target_s)
        longest_s = max(_MAX_TARGET_SHARE * target_s, for_load_s)
        return max(0, longest_s - waited_s)
