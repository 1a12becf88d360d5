"""What the handlers of all requests share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wasabicross.gateway.attempt_context import ServerAccess
from wasabicross.gateway.peer_forwarding.peer_forwarder import PeerForwarder
from wasabicross.gateway.retry_delays import RetryDelays
from wasabicross.gateway.retrying_placer import RetryingPlacer
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.servers.retries import RetryBudget


class HandlerDependencies(NamedTuple):
    """What all request handlers share.

    :param budget_for: returns the retry budget of a service.
    :param retry_delays_for: returns the retry delays of a service.
    """

    servers: ServerAccess
    placer: RetryingPlacer
    usage: UsageTracker
    budget_for: Callable[[str], RetryBudget]
    retry_delays_for: Callable[[str], RetryDelays]
    forwarder: PeerForwarder
