"""Gateways, servers and the store of a simulated service with two versions."""

from __future__ import annotations

import random
from typing import NamedTuple

from wasabicross.gateway.stream_divisions import (
    StreamDivision,
    first_division,
    next_division,
    without_lapsed,
)

#: End of a simulated run, seconds; callers take up streams for as long.
END_S = 50.0
#: Time limit of the callers, seconds.
TIME_LIMIT_S = 15.0

_NEVER_S = 1e9
_TICK_S = 0.5
_SLOTS = 64
_CRASHED_S = 2.0
_CRASH_GAP_S = 4.0
_CRASHED_SHARE = 0.2
_RELAY_S = 1.0
_READ_AT_START_S = 0.1
_RELEASE_S = 10.0
_RELEASED_S = 12.0

Span = tuple[float, float]


class Scenario(NamedTuple):
    """What happens during a run, times in seconds.

    Half of the servers are replaced one after the other from 10 to 12 s, and a
    fifth of the servers crashes every 4 s from 14 s.

    :param name: its name.
    :param kill_s: when gateways are killed for a second, 0 if they aren't.
    :param killed: share of the gateways that are killed.
    :param whole: when the rest of the old servers drains.
    :param cut: when one gateway doesn't reach the store.
    :param is_alone: whether it doesn't reach other gateways either.
    :param outage: when no gateway does.
    :param restored_s: when the store returns from an older copy.
    :param restored_to_s: the time of that copy.
    """

    name: str
    kill_s: float = 0
    killed: float = 1
    whole: Span = (_NEVER_S, _NEVER_S)
    cut: Span = (_NEVER_S, _NEVER_S)
    is_alone: bool = False
    outage: Span = (_NEVER_S, _NEVER_S)
    restored_s: float = _NEVER_S
    restored_to_s: float = 0

    def loses(self, written_s: float, now_s: float) -> bool:
        """Return whether the store has lost what was written to it.

        :param written_s: when it was written.
        """
        if now_s < self.restored_s:
            return False
        return self.restored_to_s < written_s <= self.restored_s


class Server(NamedTuple):
    """A server and the time in which it takes new requests, seconds."""

    version: str
    from_s: float
    until_s: float


SCENARIOS = (
    Scenario('mix, servers crash'),
    Scenario('a third killed', kill_s=25, killed=1 / 3),
    Scenario('all killed in the mix', kill_s=25),
    Scenario('all killed 2 s after', kill_s=_RELEASED_S + 2),
    Scenario('all killed 5 s after', kill_s=_RELEASED_S + 5),
    Scenario('all killed 9 s after', kill_s=_RELEASED_S + 9),
    Scenario('whole, then all killed', kill_s=26, whole=(20, 25)),
    Scenario('one cut off', whole=(20, 25), cut=(9, 40)),
    Scenario('one alone', whole=(20, 25), cut=(9, 40), is_alone=True),
    Scenario('store out 10 s', outage=(14, 24)),
    Scenario('older store', restored_s=20, restored_to_s=12),
    Scenario(
        'older store, third killed',
        kill_s=20.2,
        killed=1 / 3,
        restored_s=20,
        restored_to_s=12,
    ),
    Scenario(
        'older store, all killed',
        kill_s=20.2,
        restored_s=20,
        restored_to_s=9,
    ),
)


class World:
    """One run of a scenario.

    :param scenario: what happens.
    :param gateways: number of gateways.
    :param servers: number of servers at a time, even.
    :param seed: seed of all that is random.
    """

    def __init__(
        self, scenario: Scenario, gateways: int, servers: int, seed: int
    ) -> None:
        self.scenario = scenario
        self.gateways = gateways
        self.random = random.Random(seed)
        self.servers = _replaced(servers, scenario.whole)
        self._crashes = self._draw_crashes(servers)
        killed = round(scenario.killed * gateways) if scenario.kill_s else 0
        self._killed = frozenset(self.random.sample(range(gateways), killed))
        self.history = self._divide()
        self._delays = [
            [self.random.uniform(0.1, 1.4) for _ in self.history]
            for _ in range(gateways)
        ]

    def lives(self, gateway: int, now_s: float) -> bool:
        """Return whether a gateway runs."""
        back_s = self.scenario.kill_s + 1
        return not (
            gateway in self._killed and self.scenario.kill_s <= now_s < back_s
        )

    def started_s(self, gateway: int, now_s: float) -> float:
        """Return when the present process of a gateway started."""
        back_s = self.scenario.kill_s + 1
        return back_s if gateway in self._killed and now_s >= back_s else -1

    def pick_gateway(self, now_s: float) -> int | None:
        """Return a gateway that runs, None if none does."""
        living = range(self.gateways)
        if len(self._killed) == self.gateways and not self.lives(0, now_s):
            return None
        while True:
            gateway = self.random.choice(living)
            if self.lives(gateway, now_s):
                return gateway

    def serving(self, version: str, now_s: float) -> list[int]:
        """Return the servers that take new requests, by their numbers.

        :param version: their software version, empty for any.
        """
        return [
            number
            for number, server in enumerate(self.servers)
            if version in {'', server.version} and self._serves(number, now_s)
        ]

    def breaks_s(self, gateway: int, server: int, since_s: float) -> float:
        """Return when a stream that runs there breaks next."""
        kill_s = self.scenario.kill_s
        times = [each for each, down in self._crashes if server in down]
        if gateway in self._killed:
            times.append(kill_s)
        return min((each for each in times if each > since_s), default=_NEVER_S)

    def lost_touch_s(
        self, gateway: int, now_s: float, *, relays: bool = False
    ) -> float | None:
        """Return since when a gateway knows nothing of the store, if so.

        :param relays: whether other gateways relay the store's news.
        """
        for since_s, until_s in self._spans(gateway, relays=relays):
            if since_s <= now_s < until_s:
                return since_s
        return None

    def alone_s(self, gateway: int, now_s: float) -> float:
        """Return for how long a gateway hasn't reached any other."""
        is_alone = self.scenario.is_alone and gateway == 0
        if is_alone and _within(self.scenario.cut, now_s):
            return now_s - self.scenario.cut[0]
        return 0

    def division(
        self, gateway: int, now_s: float, *, guarded: bool
    ) -> StreamDivision | None:
        """Return the division that a gateway knows.

        :param guarded: whether gateways relay it to one another, and keep the
            one of the highest number.
        """
        started_s = self.started_s(gateway, now_s)
        known = [
            each
            for number, (changed_s, each) in enumerate(self.history)
            if self._learned_s(gateway, number, started_s, guarded) <= now_s
            and changed_s >= self._oldest_kept_s(started_s)
        ]
        if not known:
            return None
        newest = max(each.number for each in known) if guarded else 0
        return [each for each in known if each.number >= newest][-1]

    def _oldest_kept_s(self, started_s: float) -> float:
        """Return the time of the change that a process reads at its start."""
        return max(
            (each for each, _ in self.history if each <= max(started_s, 0))
        )

    def _learned_s(
        self, gateway: int, number: int, started_s: float, guarded: bool
    ) -> float:
        delay_s = self._delays[gateway][number]
        changed_s = self.history[number][0]
        learned_s = changed_s + delay_s
        if changed_s <= max(started_s, 0):
            learned_s = max(started_s, -1) + _READ_AT_START_S
        for since_s, until_s in self._spans(gateway, relays=guarded):
            if since_s <= learned_s < until_s:
                return until_s + delay_s
        if guarded and gateway == 0 and _within(self.scenario.cut, learned_s):
            learned_s += _RELAY_S
        return learned_s

    def _spans(self, gateway: int, *, relays: bool) -> list[Span]:
        spans = [self.scenario.outage]
        if gateway == 0 and (self.scenario.is_alone or not relays):
            spans.append(self.scenario.cut)
        return spans

    def _serves(self, number: int, now_s: float) -> bool:
        server = self.servers[number]
        if not server.from_s <= now_s < server.until_s:
            return False
        return not any(
            number in down and crash_s <= now_s < crash_s + _CRASHED_S
            for crash_s, down in self._crashes
        )

    def _draw_crashes(self, count: int) -> list[tuple[float, frozenset[int]]]:
        crashes = []
        crash_s = _RELEASED_S + 2
        while crash_s < END_S - TIME_LIMIT_S:
            listed = [
                number
                for number, each in enumerate(self.servers)
                if each.from_s <= crash_s < each.until_s
            ]
            down = self.random.sample(listed, round(count * _CRASHED_SHARE))
            crashes.append((crash_s, frozenset(down)))
            crash_s += _CRASH_GAP_S
        return crashes

    def _divide(self) -> list[tuple[float, StreamDivision]]:
        """Return the divisions in the store and the times of their writes."""
        first = first_division(['v1'], 0)._replace(time_limit_s=TIME_LIMIT_S)
        history = [(float(0), first)]
        for tick in range(1, int(END_S / _TICK_S)):
            now_s = tick * _TICK_S
            if _within(self.scenario.outage, now_s):
                continue
            if now_s == self.scenario.restored_s:
                history.append((now_s, self._copy(history)))
                continue
            before = history[-1][1]
            if now_s == self._rewritten_s():
                before = max((each for _, each in history), key=_number_of)
            after = without_lapsed(
                next_division(before, self._slots(now_s), now_s), now_s
            )
            if after != history[-1][1]:
                history.append((now_s, after))
        return history

    def _rewritten_s(self) -> float:
        """Return when a gateway that knows the lost division writes it."""
        is_known = len(self._killed) < self.gateways
        return self.scenario.restored_s + 2 if is_known else _NEVER_S

    def _copy(
        self, history: list[tuple[float, StreamDivision]]
    ) -> StreamDivision:
        return [
            each
            for changed_s, each in history
            if changed_s <= self.scenario.restored_to_s
        ][-1]

    def _slots(self, now_s: float) -> dict[str, int]:
        slots = {'v1': 0, 'v2': 0}
        for server in self.servers:
            if server.from_s <= now_s < server.until_s:
                slots[server.version] += _SLOTS
        return slots


def _number_of(division: StreamDivision) -> int:
    return division.number


def _within(span: Span, now_s: float) -> bool:
    return span[0] <= now_s < span[1]


def _replaced(count: int, whole: Span) -> list[Server]:
    """Return the servers of both versions."""
    half = count // 2
    step_s = (_RELEASED_S - _RELEASE_S) / half
    first = [_RELEASE_S + (each + 1) * step_s for each in range(half)]
    step_s = (whole[1] - whole[0]) / half
    last = [whole[0] + (each + 1) * step_s for each in range(half)]
    old = [Server('v1', -1, end_s) for end_s in first + last]
    return old + [Server('v2', end_s, _NEVER_S) for end_s in first + last]
