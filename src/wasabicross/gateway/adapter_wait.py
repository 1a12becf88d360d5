"""How long a request waits for its adapter before it is refused.

Where more adapters are requested than engines have slots, a request that waits
until it is late takes a slot from one that could still be on time. So a request
waits for a part of its target only; its caller is then told when to retry.
"""

from __future__ import annotations

#: Longest wait for an adapter, as a share of the target. The rest of the target
#: is for the prefill.
_MAX_WAIT_SHARE = 0.6


def longest_wait_s(target_s: float, waited_s: float) -> float:
    """Return how long a request may wait for its adapter, seconds.

    :param target_s: time in which its answer should begin, from its arrival.
    :param waited_s: time since its arrival.
    """
    return max(0, target_s * _MAX_WAIT_SHARE - waited_s)
