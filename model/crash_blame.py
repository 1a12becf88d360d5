"""Simulates how many servers a request crashes, and who is refused beside it.

``python -m model.crash_blame`` compares rules of conviction, with the module of
the gateways that decides. Arrivals, runs and crashes are random; a seed gives
one run. What one gateway knows the others know at once.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import random
import sys
from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple
from unittest import mock

from wasabicross.gateway.conviction_records import CrashKey
from wasabicross.gateway.crashes.crash import Crash
from wasabicross.gateway.crashes.crash_evidence import (
    SEPARATE_S,
    CrashEvidence,
    Verdict,
)

_EVIDENCE = CrashEvidence.__module__

_SEEDS = range(10)
_LENGTH_S = 60.0
_DOWN_S = 3.0
_RUN_S = 0.06
_NEVER = 10**6

#: Requests a second at each server, share of them that are copies of a few sound
#: ones, and the number of these.
_ARRIVALS_PER_S = 5.0
_COPY_SHARE = 0.3
_COPIED = 20

#: Copies of the deadly request a second.
_DEADLY_PER_S = 0.7
_DEADLY = f'request/{13:032x}'

#: Mean time between two kills of servers that run the same copied request, the
#: second as soon as the request is sent once more.
_KILLS_EACH_S = 6.0


class Scenario(NamedTuple):
    """What happens to a service.

    :param servers: number of its servers.
    :param has_deadly: whether callers send copies of a deadly request.
    :param own_crash_s: mean time between crashes of one server by itself,
        seconds, 0 for none.
    :param has_kills: whether servers are killed one after the other under copies
        of sound requests.
    """

    name: str
    servers: int
    has_deadly: bool
    own_crash_s: float
    has_kills: bool = False


class Rule(NamedTuple):
    """When requests are convicted.

    :param crashes: number of separate crashes that convict.
    :param tied_crashes: the same for requests that were at the same crashes.
    :param tied_requests: most requests that are convicted so.
    :param retry_s: pause before a request is sent once more after a crash,
        seconds, None if it isn't.
    :param sound_crashes: number of separate crashes that convict a request which
        has run soundly before.
    """

    name: str
    crashes: int
    tied_crashes: int
    tied_requests: int
    retry_s: float | None
    sound_crashes: int = 2


class Outcome(NamedTuple):
    """What came of one run.

    :param crashes: servers that the deadly request has ended.
    :param refused: sound requests that were refused.
    :param cut: sound requests that had no answer.
    """

    crashes: int
    refused: int
    cut: int


class Simulation:
    """One run of a service.

    :param scenario: what happens to it.
    :param rule: when requests are convicted.
    :param seed: seed of the random choices.
    """

    def __init__(self, scenario: Scenario, rule: Rule, seed: int) -> None:
        self._scenario = scenario
        self._rule = rule
        self._rng = random.Random(seed)  # noqa: S311
        self._evidence = CrashEvidence()
        self._events: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._order = itertools.count()
        self._up_from_s: dict[int, float] = dict.fromkeys(
            range(scenario.servers), 0
        )
        self._running: defaultdict[int, set[tuple[int, str, bool]]]
        self._running = defaultdict(set)
        self._crashes = self._refused = self._cut = 0

    def run(self) -> Outcome:
        """Return what came of the run."""
        for _ in range(int(_LENGTH_S * _ARRIVALS_PER_S * len(self._up_from_s))):
            self._at(self._rng.uniform(0, _LENGTH_S), 'send', self._sound(), 0)
        self._schedule_crashes()
        while self._events:
            at_s, _, kind, values = heapq.heappop(self._events)
            getattr(self, f'_on_{kind}')(at_s, *values)
        return Outcome(self._crashes, self._refused, self._cut)

    def _schedule_crashes(self) -> None:
        scenario = self._scenario
        if scenario.has_deadly:
            for _ in range(int(_LENGTH_S * _DEADLY_PER_S)):
                self._at(self._rng.uniform(0, _LENGTH_S), 'send', _DEADLY, 0)
        if scenario.own_crash_s:
            count = int(_LENGTH_S / scenario.own_crash_s * scenario.servers)
            for _ in range(count):
                server = self._rng.randrange(scenario.servers)
                self._at(self._rng.uniform(0, _LENGTH_S), 'crash', server)

        if scenario.has_kills:
            for _ in range(int(_LENGTH_S / _KILLS_EACH_S)):
                self._at(self._rng.uniform(0, _LENGTH_S), 'kill', '')

    def _at(self, at_s: float, kind: str, *values: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), kind, values))

    def _sound(self) -> str:
        is_copy = self._rng.random() < _COPY_SHARE
        number = self._rng.randrange(_COPIED) if is_copy else next(self._order)
        return f'request/{number + is_copy * _NEVER:032d}'

    def _on_send(self, at_s: float, digest: str, sends: int) -> None:
        verdict = self._evidence.verdict((digest,), at_s)
        if verdict is Verdict.refused:
            self._refused += digest != _DEADLY
            return
        up = [each for each, up_s in self._up_from_s.items() if up_s <= at_s]
        if not up:
            self._cut += digest != _DEADLY
            return
        server = self._rng.choice(up)
        run = (next(self._order), digest, sends == 0)
        self._running[server].add(run)
        ends_s = at_s + self._rng.expovariate(1 / _RUN_S)
        self._at(ends_s, 'end', server, run)

    def _on_end(
        self, at_s: float, server: int, run: tuple[int, str, bool]
    ) -> None:
        if run not in self._running[server]:
            return
        if run[1] == _DEADLY:
            self._crashes += 1
            self._on_crash(at_s, server)
            return
        self._running[server].remove(run)
        self._evidence.clear((run[1],), at_s)

    def _on_kill(self, at_s: float, digest: str) -> None:
        """Kill a server that runs a request, any copied one if none is named."""
        found = [
            (server, each)
            for server, runs in self._running.items()
            for _, each, is_first in sorted(runs)
            if each == digest or (not digest and is_first and _is_copied(each))
        ]
        if found and self._up_from_s[found[0][0]] <= at_s:
            self._on_crash(at_s, found[0][0])
            if not digest and self._rule.retry_s is not None:
                again_s = at_s + self._rule.retry_s + 0.001
                self._at(again_s, 'kill', found[0][1])
        elif not digest:
            self._at(at_s + 0.01, 'kill', '')

    def _on_crash(self, at_s: float, server: int) -> None:
        if self._up_from_s[server] > at_s:
            return
        runs = self._running.pop(server, set())
        self._up_from_s[server] = at_s + _DOWN_S
        key = CrashKey(str(server), int(at_s * 1000))
        digests = frozenset(digest for _, digest, _ in runs)
        self._evidence.add(Crash(key, at_s, digests), at_s)
        pause_s = self._rule.retry_s
        for _, digest, is_first in sorted(runs):
            if pause_s is None or not is_first:
                self._cut += digest != _DEADLY
            else:
                self._at(at_s + pause_s, 'send', digest, 1)


def _is_copied(digest: str) -> bool:
    """Return whether callers send copies of a sound request."""
    return digest != _DEADLY and int(digest.partition('/')[2]) >= _NEVER


SCENARIOS = tuple(
    Scenario(f'{servers} servers, {name}', servers, has_deadly, own_s)
    for servers in (3, 30)
    for name, has_deadly, own_s in (
        ('deadly', True, 0),
        ('deadly, own crashes', True, 20),
        ('own crashes', False, 20),
        ('own crashes, often', False, 5),
    )
    if servers == 3 or own_s != 5
) + tuple(
    Scenario(f'{servers} servers, {name}', servers, has_deadly, 0, True)
    for servers in (3, 30)
    for name, has_deadly in (
        ('killed under reads', False),
        ('deadly, killed under reads', True),
    )
)
RULES = (
    Rule('one crash', 1, 1, _NEVER, None, 1),
    Rule('two crashes', 2, 2, _NEVER, None),
    Rule('two, retry at once', 2, 2, _NEVER, 0.005),
    Rule('two, retry later', 2, 2, _NEVER, 1.2 * SEPARATE_S),
    Rule('two, three if tied', 2, 3, _NEVER, 1.2 * SEPARATE_S),
    Rule('the same, three requests', 2, 3, 3, 1.2 * SEPARATE_S),
    Rule('the same, three if sound before', 2, 3, 3, 1.2 * SEPARATE_S, 3),
    Rule('three crashes', 3, 3, _NEVER, 1.2 * SEPARATE_S, 3),
)


@contextlib.contextmanager
def _deciding_by(rule: Rule) -> Iterator[None]:
    """Have the gateways' module decide by a rule."""
    with contextlib.ExitStack() as patches:
        for name, number in (
            ('_MIN_CRASHES', rule.crashes),
            ('_MIN_SOUND_CRASHES', max(rule.crashes, rule.sound_crashes)),
            ('_MIN_TIED_CRASHES', rule.tied_crashes),
            ('_MAX_TIED_REQUESTS', rule.tied_requests),
        ):
            patches.enter_context(mock.patch(f'{_EVIDENCE}.{name}', number))
        yield


def outcomes(scenario: Scenario, rule: Rule) -> list[Outcome]:
    """Return what came of all runs of a scenario by a rule.

    :param scenario: what happens to the service.
    :param rule: when requests are convicted.
    """
    with _deciding_by(rule):
        return [Simulation(scenario, rule, seed).run() for seed in _SEEDS]


def main() -> None:
    """Write a table: servers ended by the deadly request, sound ones lost."""
    sys.stdout.write(
        '| scenario | rule | ended, mean | most | refused | cut |\n'
        '| --- | --- | --- | --- | --- | --- |\n'
    )
    for scenario, rule in itertools.product(SCENARIOS, RULES):
        found = outcomes(scenario, rule)
        means = [sum(column) / len(found) for column in zip(*found)]
        most = max(each.crashes for each in found)
        sys.stdout.write(
            f'| {scenario.name} | {rule.name} | {means[0]:.1f} | {most} '
            f'| {means[1]:.1f} | {means[2]:.1f} |\n'
        )


if __name__ == '__main__':
    main()
