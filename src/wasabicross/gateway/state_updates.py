"""What an owner tells all other gateways of its engines.

Answers deployments of many gateways: each frame goes to all of them over one
network link, so a change is told by itself and not with all that is held. All of
them choose by what they were told, so an engine that fills up is told at once.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from wasabicross.gateway.messages import (
    HeldAdaptersUpdate,
    Hello,
    Message,
    ServerOccupancy,
    ServerState,
)

#: How often loads of engines are told, as a sign of life.
HEARTBEAT_INTERVAL_S = 0.5

#: Requests more or less at an engine that are told before the next of these.
_LOAD_STEP = 2

#: The same for prompt tokens that an engine has to read.
_TOKEN_STEP = 2000

_NOTHING_TOLD = ServerOccupancy('', 0, 0, 0)


class StateUpdates:
    """Finds what other gateways haven't been told yet.

    :param instance: name of this machine.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._told: dict[str, ServerState] = {}
        self._told_loads: dict[str, ServerOccupancy] = {}
        self._alive_s = -math.inf
        self._refreshed = 0

    def changes(self, states: Sequence[ServerState]) -> list[Message]:
        """Return what changed since the last call.

        :param states: all engines as they are now.
        """
        news = [
            _change(state, self._told.get(state.server_id)) for state in states
        ]
        self._told = {state.server_id: state for state in states}
        loads = [self._load_change(state) for state in states]
        return [each for each in (*news, *loads) if each is not None]

    def heartbeats(
        self, states: Sequence[ServerState], now_s: float
    ) -> list[Message]:
        """Return how busy the engines are, nothing if that was told lately.

        One engine in turn is told with all that it holds, which mends the view
        of a gateway that has missed something.

        :param states: all engines as they are now.
        :param now_s: the present time.
        """
        if now_s - self._alive_s < HEARTBEAT_INTERVAL_S:
            return []
        self._alive_s = now_s
        self._refreshed = (self._refreshed + 1) % max(1, len(states))
        self._told_loads = {each.server_id: _load(each) for each in states}
        return [
            Hello(self._instance),
            *map(_load, states),
            *states[self._refreshed : self._refreshed + 1],
        ]

    def _load_change(self, state: ServerState) -> Message | None:
        load = _load(state)
        told = self._told_loads.get(state.server_id, _NOTHING_TOLD)
        if not _differs(load, told):
            return None
        self._told_loads[state.server_id] = load
        return load


def _differs(load: ServerOccupancy, told: ServerOccupancy) -> bool:
    """Tell whether others would choose otherwise if they knew."""
    if min(1, load.spare_slots) != min(1, told.spare_slots):
        return True
    if abs(load.unread_tokens - told.unread_tokens) >= _TOKEN_STEP:
        return True
    return abs(_requests(load) - _requests(told)) >= _LOAD_STEP


def _requests(load: ServerOccupancy) -> int:
    return load.queued + load.running


def _load(state: ServerState) -> ServerOccupancy:
    return ServerOccupancy(
        state.server_id,
        state.start_ms,
        state.queued,
        state.running,
        state.spare_slots,
        state.unread_tokens,
    )


def _change(state: ServerState, told: ServerState | None) -> Message | None:
    if told is None or told.start_ms != state.start_ms:
        return state
    if told.models != state.models:
        return state
    before, after = set(told.held), set(state.held)
    if before == after and told.takes_loads == state.takes_loads:
        return None
    held = {(each.model, each.adapter) for each in state.held}
    return HeldAdaptersUpdate(
        state.server_id,
        state.start_ms,
        state.takes_loads,
        tuple(sorted(after - before)),
        tuple(
            each
            for each in sorted(before - after)
            if (each.model, each.adapter) not in held
        ),
    )
