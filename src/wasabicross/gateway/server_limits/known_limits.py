"""Which load servers bear, by their own answers and by other gateways' words."""

from __future__ import annotations

from typing import NamedTuple

from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.known_starts import FoundRestart, KnownStarts
from wasabicross.gateway.server_limits.messages import (
    MICROS,
    NOT_STATED,
    LimitsStated,
)
from wasabicross.gateway.server_limits.stated import NO_LIMITS, StatedLimits
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Most server incarnations that are stored.
_MAX_ENTRIES = 4096

#: Highest rate that is told to others; it limits nothing.
_MAX_RATE_PER_S = 1e9

_MS_PER_S = 1000


class _Known(NamedTuple):
    """What was stated last.

    :param at_s: when it was stated; when the request was sent, where its answer
        showed that a limit has ended.
    """

    stated: StatedLimits
    at_s: float


class KnownLimits:
    """Stores the limits that servers state.

    Answers overtake each other, so one without a limit ends it only if its
    request was sent after the last answer with the limit.

    :param starts: tells which starts of servers run, None where nobody else
        learns of any.
    """

    def __init__(self, starts: KnownStarts | None = None) -> None:
        #: Which starts of servers run.
        self.starts = starts or KnownStarts()
        self.starts.follow(self._on_restart)
        self._known: dict[Incarnation, _Known] = {}

    def of(self, server: BackendServer) -> StatedLimits:
        """Return the limits of a server.

        :param server: the server.
        """
        known = self._known.get(self.starts.incarnation(server))
        return NO_LIMITS if known is None else known.stated

    def on_answer(
        self,
        server: BackendServer,
        stated: StatedLimits,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Record what an answer states; return whether it is new.

        :param server: the server that answered.
        :param stated: its limits by the answer.
        :param sent_s: when the request was sent, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        incarnation = self.starts.incarnation(server)
        if stated.are_none and incarnation not in self._known:
            return False
        at_s = sent_s if stated.are_none else now_s
        return self._update(incarnation, _Known(stated, at_s))

    def on_message(self, message: LimitsStated, now_s: float) -> bool:
        """Record what another gateway was told; return whether it is new.

        :param message: its message.
        :param now_s: the present time, monotonic seconds.
        """
        stated = StatedLimits(_rate(message.requests), _rate(message.refusals))
        at_s = now_s - max(0, message.age_ms) / _MS_PER_S
        incarnation = Incarnation(message.server_id, message.start_ms)
        return self._update(incarnation, _Known(stated, at_s))

    def message(
        self, server: BackendServer, now_s: float
    ) -> LimitsStated | None:
        """Return what other gateways are told of a server, if anything.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        incarnation = self.starts.incarnation(server)
        known = self._known.get(incarnation)
        return None if known is None else _message(incarnation, known, now_s)

    def table(self, now_s: float) -> tuple[LimitsStated, ...]:
        """Return the limits of all servers, for the other side of a new link.

        :param now_s: the present time, monotonic seconds.
        """
        return tuple(
            _message(incarnation, known, now_s)
            for incarnation, known in self._known.items()
            if not known.stated.are_none
        )

    def _on_restart(self, found: FoundRestart) -> None:
        """Keep what the later start of a server has stated itself."""
        known = self._known.get(found.former)
        if known is not None and known.at_s > found.started_s:
            self._update(found.latest, known)

    def _update(self, incarnation: Incarnation, latest: _Known) -> bool:
        known = self._known.get(incarnation)
        if known is not None and latest.at_s <= known.at_s:
            return False
        self._known[incarnation] = latest
        if len(self._known) > _MAX_ENTRIES:
            self._known.pop(next(iter(self._known)))
        before = NO_LIMITS if known is None else known.stated
        if latest.stated == before:
            return False
        log_event(
            Event.SERVER_LIMITS_CHANGED,
            server=incarnation.server_id,
            requests_per_s=latest.stated.requests_per_s,
            refusals_per_s=latest.stated.refusals_per_s,
        )
        return True


def _message(
    incarnation: Incarnation, known: _Known, now_s: float
) -> LimitsStated:
    return LimitsStated(
        *incarnation,
        max(0, int((now_s - known.at_s) * _MS_PER_S)),
        _micros(known.stated.requests_per_s),
        _micros(known.stated.refusals_per_s),
    )


def _micros(rate_per_s: float | None) -> int:
    if rate_per_s is None:
        return NOT_STATED
    return int(min(rate_per_s, _MAX_RATE_PER_S) * MICROS)


def _rate(micros: int) -> float | None:
    return None if micros < 0 else micros / MICROS
