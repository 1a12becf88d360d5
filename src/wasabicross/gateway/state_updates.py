"""The messages in which an owner reports its engines to all other gateways.

Each frame goes to all gateways over one network link, so a change is sent on
its own and not with the complete state of the engine. All gateways choose
engines by these reports, so an engine that fills up is reported at once.
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

#: Interval at which the occupancy of all engines is sent.
HEARTBEAT_INTERVAL_S = 0.5

#: Change in an engine's number of requests that is sent before the heartbeat.
_REQUESTS_STEP = 2

#: Change in an engine's unread prompt tokens that is sent before the heartbeat.
_TOKENS_STEP = 2000

_NOTHING_SENT = ServerOccupancy('', 0, 0, 0)


class StateUpdates:
    """Finds the changes that haven't been sent to other gateways yet.

    :param instance: name of this machine.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._sent: dict[str, ServerState] = {}
        self._sent_occupancy: dict[str, ServerOccupancy] = {}
        self._heartbeat_s = -math.inf
        self._next_refreshed = 0

    def changes(self, states: Sequence[ServerState]) -> list[Message]:
        """Return messages on what changed since the last call.

        :param states: the current states of all owned engines.
        """
        updates = [
            _change(state, self._sent.get(state.server_id)) for state in states
        ]
        self._sent = {state.server_id: state for state in states}
        occupancy = [self._occupancy_change(state) for state in states]
        return [each for each in (*updates, *occupancy) if each is not None]

    def heartbeats(
        self, states: Sequence[ServerState], now_s: float
    ) -> list[Message]:
        """Return the heartbeat messages, or none before the next is due.

        The complete state of one engine, a different one each time, is included
        to correct the view of a gateway that has missed a change.

        :param states: the current states of all owned engines.
        :param now_s: the present time, monotonic seconds.
        """
        if now_s - self._heartbeat_s < HEARTBEAT_INTERVAL_S:
            return []
        self._heartbeat_s = now_s
        self._next_refreshed = (self._next_refreshed + 1) % max(1, len(states))
        self._sent_occupancy = {
            each.server_id: _occupancy(each) for each in states
        }
        return [
            Hello(self._instance),
            *map(_occupancy, states),
            *states[self._next_refreshed : self._next_refreshed + 1],
        ]

    def _occupancy_change(self, state: ServerState) -> Message | None:
        occupancy = _occupancy(state)
        sent = self._sent_occupancy.get(state.server_id, _NOTHING_SENT)
        if not _is_significant(occupancy, sent):
            return None
        self._sent_occupancy[state.server_id] = occupancy
        return occupancy


def _is_significant(current: ServerOccupancy, sent: ServerOccupancy) -> bool:
    """Return whether a change could affect which engine others choose."""
    if min(1, current.spare_slots) != min(1, sent.spare_slots):
        return True
    if abs(_tokens(current) - _tokens(sent)) >= _TOKENS_STEP:
        return True
    return abs(_requests(current) - _requests(sent)) >= _REQUESTS_STEP


def _requests(occupancy: ServerOccupancy) -> int:
    return occupancy.queued + occupancy.running


def _tokens(occupancy: ServerOccupancy) -> int:
    return occupancy.unread_tokens + occupancy.awaited_tokens


def _occupancy(state: ServerState) -> ServerOccupancy:
    return ServerOccupancy(
        state.server_id,
        state.start_ms,
        state.queued,
        state.running,
        state.spare_slots,
        state.unread_tokens,
        state.awaited_tokens,
    )


def _change(state: ServerState, sent: ServerState | None) -> Message | None:
    if sent is None or sent.start_ms != state.start_ms:
        return state
    if sent.models != state.models:
        return state
    before, after = set(sent.held), set(state.held)
    if before == after and sent.takes_loads == state.takes_loads:
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
