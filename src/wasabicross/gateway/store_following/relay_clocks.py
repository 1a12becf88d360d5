"""When relays knew the store's content, by the clock of this machine.

The clocks of two machines differ by a fixed time. What a relay sends after it
has answered a question was sent later than the question, however long both take;
the latest such bound tells the difference, up to the shortest round trip. So a
message doesn't seem more recent than it is if all messages are late, or if it was
buffered while a machine was frozen.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.messages import StoreConfirmation

#: How much two clocks may drift apart, as a share of the time.
_DRIFT = 0.0005

#: How long a relay's clock must be known before it is used.
_MIN_KNOWN_S = 0.9

_MS_IN_S = 1000


class _ClockDifference(NamedTuple):
    """The difference between the clocks of a relay and of this machine.

    :param difference_s: least that is to be added to times of the relay, seconds.
    :param since_s: time at which the relay's clock was first seen.
    :param updated_s: time as of which the difference may have drifted.
    :param sent_s: stated time of the last message.
    """

    difference_s: float
    since_s: float
    updated_s: float
    sent_s: float


class RelayClocks:
    """The differences between the clocks of relays and of this machine."""

    def __init__(self) -> None:
        self._differences: dict[str, _ClockDifference] = {}
        self._asked_s: dict[str, float] = {}

    def on_round_trip(self, relay: str, asked_s: float) -> None:
        """Record that a relay sends what comes next after a question.

        :param relay: IP address of the relay.
        :param asked_s: when the question was sent, monotonic seconds.
        """
        self._asked_s[relay] = asked_s

    def confirmed_s(
        self, relay: str, confirmation: StoreConfirmation, now_s: float
    ) -> float:
        """Return as of when a relay knew the store's content.

        :param relay: IP address of the relay.
        :param confirmation: what the relay sent.
        :param now_s: time of its receipt, monotonic seconds.
        :return: monotonic seconds of this machine, negative infinity if the
            relay's clock isn't known well enough.
        """
        sent_s = confirmation.sent_ms / _MS_IN_S
        known = self._differences.get(relay)
        # A clock that was set back is that of another run of the machine.
        if known is None or sent_s < known.sent_s:
            known = _ClockDifference(-math.inf, now_s, now_s, sent_s)
        drift_s = (now_s - known.updated_s) * _DRIFT
        asked_s = self._asked_s.get(relay, -math.inf)
        difference_s = max(known.difference_s - drift_s, asked_s - sent_s)
        self._differences[relay] = _ClockDifference(
            difference_s, known.since_s, now_s, sent_s
        )
        if now_s - known.since_s < _MIN_KNOWN_S:
            return -math.inf
        confirmed_ms = min(confirmation.confirmed_ms, confirmation.sent_ms)
        return confirmed_ms / _MS_IN_S + difference_s
