"""Designs by which a stream goes on only at the version that began it."""

from __future__ import annotations

import math
from typing import NamedTuple

from model.stream_worlds import TIME_LIMIT_S, World
from wasabicross.gateway.stream_divisions import (
    MAX_KNOWLEDGE_AGE_S,
    SPREAD_S,
    without_lapsed,
)

_TOLD_GAP_S = 0.1
_TOLD_S = 0.05
_WRITE_GAP_S = 0.5
_WRITE_S = 0.004
#: Difference of the batches of two gateways with adjacent numbers, batches.
_PHASE = 0.618


class Stream(NamedTuple):
    """A stream whose first event has come.

    :param id_: id of the caller's attempt that began it.
    :param asked_s: when the caller's time limit began.
    :param first_s: when its first event came.
    :param gateway: the gateway that began it.
    :param version: the software version that began it.
    """

    id_: str
    asked_s: float
    first_s: float
    gateway: int
    version: str


class Design:
    """Today: a stream begins and goes on at any server."""

    name = '0 today'
    #: What gateways remember of each stream: '', 'peers' or 'store'.
    memory = ''
    divides = False

    def begin(
        self, world: World, gateway: int, id_: str, now_s: float
    ) -> str | None:
        """Return the version that begins a stream, empty for any.

        None is for a request that is refused.
        """
        return ''

    def first_s(self, world: World, gateway: int, first_s: float) -> float:
        """Return when the first event is passed on."""
        return first_s

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the version at which a stream goes on, empty for any.

        None is for a take-up that is refused.
        """
        return ''


class Refusing(Design):
    """No stream is taken up."""

    name = '1 refuse all'

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> None:
        """Refuse."""


class Telling(Design):
    """Gateways tell one another after each beginning."""

    name = 'a tell peers'
    memory = 'peers'

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the version that another gateway told."""
        told_s = _flush_s(stream.gateway, stream.first_s, _TOLD_GAP_S)
        if not _lives_until(world, stream, told_s):
            return None
        started_s = world.started_s(gateway, now_s)
        if gateway == stream.gateway:
            is_known = started_s < stream.first_s
        else:
            is_known = started_s < told_s <= now_s - _TOLD_S
            is_known = is_known and not (
                world.alone_s(gateway, told_s)
                or world.alone_s(stream.gateway, told_s)
            )
        return stream.version if is_known else None


class Writing(Design):
    """Gateways write what they began in batches."""

    name = 'b write batches'
    memory = 'store'

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the version that the store holds."""
        written_s = _written_s(world, stream.gateway, stream.first_s)
        is_lost = world.scenario.loses(written_s, now_s)
        if is_lost or not _lives_until(world, stream, written_s):
            return None
        if written_s > now_s or world.lost_touch_s(gateway, now_s) is not None:
            return None
        return stream.version


class Waiting(Writing):
    """The first event waits for the write."""

    name = 'b2 first event waits'

    def first_s(self, world: World, gateway: int, first_s: float) -> float:
        """Return when the store holds the version."""
        return _written_s(world, gateway, first_s)

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the version that the store holds."""
        is_lost = world.scenario.loses(stream.first_s, now_s)
        if is_lost or world.lost_touch_s(gateway, now_s) is not None:
            return None
        return stream.version


class Dividing(Design):
    """The version follows from the id and the division."""

    name = 'c division'
    divides = True
    guarded = False
    knows_age = False
    #: Whether callers state a whole time limit at each try.
    is_restated = False

    def begin(
        self, world: World, gateway: int, id_: str, now_s: float
    ) -> str | None:
        """Return the version of the id, None if no division is known."""
        division = world.division(gateway, now_s, guarded=self.guarded)
        alone_s = world.alone_s(gateway, now_s)
        if division is None or self.guarded and alone_s > MAX_KNOWLEDGE_AGE_S:
            return None
        return division.version_for(id_)

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the only version that may have begun the stream."""
        division = world.division(gateway, now_s, guarded=self.guarded)
        lost_s = world.lost_touch_s(gateway, now_s, relays=self.guarded)
        is_old = lost_s is not None and now_s - lost_s > MAX_KNOWLEDGE_AGE_S
        if division is None or is_old:
            return None
        since_s = stream.asked_s if self.knows_age else now_s - TIME_LIMIT_S
        if self.is_restated:
            since_s = now_s
        versions = division.possible_versions(stream.id_, since_s, now_s)
        return next(iter(versions)) if len(versions) == 1 else None


class Aged(Dividing):
    """The age of the caller says which division it began under."""

    name = 'c2 division, age'
    knows_age = True


class Restated(Aged):
    """The same with callers that state a whole time limit at each try."""

    name = 'c2 misled'
    is_restated = True


class Guarded(Aged):
    """The division is relayed by peers, and never falls back.

    A gateway that reaches nobody for long begins no stream. One that started
    after the store returned from an older copy takes the division of before
    as unknown.
    """

    name = 'c3 c2, guarded'
    guarded = True

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the version unless an older copy may have lost it."""
        restored_s = world.scenario.restored_s
        has_read_copy = world.started_s(gateway, now_s) >= restored_s
        if has_read_copy and stream.asked_s <= restored_s + SPREAD_S:
            return None
        return super().resume(world, gateway, stream, now_s)


class Both(Guarded):
    """Gateways tell one another too, for the take-ups that are open."""

    name = 'd c3 and a'
    memory = 'peers'
    is_brief = False

    def resume(
        self, world: World, gateway: int, stream: Stream, now_s: float
    ) -> str | None:
        """Return the version by the division, or else by another gateway."""
        version = super().resume(world, gateway, stream, now_s)
        if version is None and self._is_told(world, stream):
            version = Telling().resume(world, gateway, stream, now_s)
        return version

    def _is_told(self, world: World, stream: Stream) -> bool:
        """Return whether the gateway told others of a stream."""
        if not self.is_brief:
            return True
        lost_s = world.lost_touch_s(stream.gateway, stream.first_s)
        division = world.division(stream.gateway, stream.first_s, guarded=True)
        if division is None or lost_s is not None:
            return True
        former = without_lapsed(division, stream.first_s).former
        return bool(division.announced or former)


class Brief(Both):
    """The same, told only beside changes and while the store is away."""

    name = 'd2 c3, a at changes'
    memory = ''
    is_brief = True


DESIGNS: tuple[Design, ...] = (
    Design(),
    Refusing(),
    Telling(),
    Writing(),
    Waiting(),
    Dividing(),
    Aged(),
    Restated(),
    Guarded(),
    Both(),
    Brief(),
)


def _flush_s(gateway: int, now_s: float, gap_s: float) -> float:
    """Return when a gateway sends its batch next."""
    phase_s = gap_s * math.fmod(gateway * _PHASE, 1)
    return phase_s + gap_s * math.ceil((now_s - phase_s) / gap_s)


def _written_s(world: World, gateway: int, now_s: float) -> float:
    """Return when a gateway's batch is in the store."""
    written_s = _flush_s(gateway, now_s, _WRITE_GAP_S)
    while world.lost_touch_s(gateway, written_s) is not None:
        written_s += _WRITE_GAP_S
    return written_s + _WRITE_S


def _lives_until(world: World, stream: Stream, until_s: float) -> bool:
    """Return whether the gateway that began a stream runs on until then."""
    kill_s = world.scenario.kill_s
    if not stream.first_s <= kill_s <= until_s:
        return True
    return world.lives(stream.gateway, kill_s)
