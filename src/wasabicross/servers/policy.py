"""Weights by which a bundle controls the choice of servers for requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class Weights(NamedTuple):
    """Weights of waiting and of full batches in the routing policy.

    :param stall_weight: cost of a second that a request waits.
    :param batch_weight: value of a full batch relative to an empty one.
    :param remote_s: cost of using another data centre, as seconds of waiting.
    :param prefix_s: benefit of a cached prompt prefix, as seconds of waiting.
    :param load_s: expected duration of a load in seconds.
    :param run_s: expected run time of a request in seconds.
    :param report_stale_s: age in seconds from which a load report is ignored.
    :param copy_fill: batch fill of the best holder from which a further copy
        is needed, if waiting and full batches have the same weight.
    :param min_resident_s: seconds that a load stays before it may be evicted.
    :param displace_margin: factor by which the request rate of an adapter must
        exceed that of a load to take its slot without a waiting request.
    """

    stall_weight: float = 1
    batch_weight: float = 1
    remote_s: float = 0.25
    prefix_s: float = 0.1
    load_s: float = 0.5
    run_s: float = 4
    report_stale_s: float = 5
    copy_fill: float = 0.8
    min_resident_s: float = 2
    displace_margin: float = 1.5

    @property
    def fills_in_turn(self) -> bool:
        """Whether the batch of one server is filled before that of the next.

        This keeps batches full while the servers have more capacity than is
        needed. If waiting has at least the same weight, adapters are
        distributed over all servers.
        """
        return self.batch_weight > self.stall_weight

    @classmethod
    def from_config(cls, policy: Mapping[str, float]) -> Weights:
        """Read the weights from a bundle's policy; the others have defaults.

        :param policy: values by name; unknown names are ignored, so that an
            older program accepts a newer bundle.
        """
        named = {
            name: float(policy[name]) for name in cls._fields if name in policy
        }
        return cls(**named)
