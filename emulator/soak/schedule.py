"""Schedules of faults for soak runs; a seed determines its schedule."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

#: Kinds of faults, with the shortest and longest duration of each in seconds.
KINDS = {
    'gateway_kill': (0.1, 3),
    'gateway_stop': (0.1, 1),
    'gateway_pause': (0.2, 16),
    'gateway_hangup': (0, 0),
    'all_gateways_kill': (0.1, 2),
    'store_down': (0.5, 6),
    'store_slow': (0.5, 4),
    'store_lose': (0, 0),
    'store_forget': (0, 0),
    'store_cut': (0.5, 18),
    'store_silent': (0.5, 18),
    'server_kill': (0.1, 3),
    'server_pause': (0.2, 8),
    'server_delay': (0.5, 4),
    'server_silent_up': (0.3, 6),
    'server_silent_down': (0.3, 6),
    'server_reset': (0, 0),
    'server_break': (1, 5),
    'server_die': (0, 0),
    'orders_late': (0, 0),
    'version': (0, 0),
    'configuration': (0, 0),
}

#: The same for the notices of servers. They have a random generator of their
#: own, so that they don't change the other faults of a seed.
NOTICE_KINDS = {
    'server_want_pause': (0.6, 4),
    'server_leave': (2.5, 6),
}

#: The same for the limits of load that servers state.
LIMIT_KINDS = {
    'server_limit': (5, 12),
    'server_brittle': (5, 12),
}

#: The same for times in which requests come that crash each server.
CRASH_KINDS = {
    'deadly_request': (8, 16),
}

#: The same for servers that are killed and start again at once, the second kind
#: shortly after a notice that they leave, while answers are under way.
RESTART_KINDS = {
    'server_restart': (0, 0),
    'server_leave_soon': (0.1, 0.6),
}

#: The same for engines that start again as another software version, also while all
#: gateways hear nothing from the store, and for the store back from a copy.
RENEW_KINDS = {
    'server_renew': (0.3, 1.3),
    'server_renew_unheard': (1, 4),
    'store_restore': (0, 0),
}

#: The same for engines that leave for good, serve for some time more, and are
#: replaced by another software version under a new id.
RELEASE_KINDS = {
    'server_release': (0.5, 4),
    'engines_release': (0.5, 4),
}

#: The same for servers that refuse a share of their requests, the second kind with
#: copies of the refusals, and for servers that start again at once at their address
#: under a new id; the entry of the former id stands up to 2 s longer than the fault.
REFUSAL_KINDS = {
    'server_refuse': (3, 8),
    'server_refuse_twice': (3, 8),
    'server_new_id': (0.5, 2.5),
}

_FIRST_FAULT_S = 1.0
_MAX_GAP_S = 1.6
_MAX_NOTICE_GAP_S = 12.0
_MAX_LIMIT_GAP_S = 20.0
_MAX_CRASH_GAP_S = 40.0
_MAX_RESTART_GAP_S = 4.0
_MAX_RENEW_GAP_S = 8.0
_MAX_REFUSAL_GAP_S = 6.0
_MAX_RELEASE_GAP_S = 14.0
_TARGETS = 64


class Fault(NamedTuple):
    """A scheduled fault.

    :param at_s: seconds from the start of the run.
    :param kind: one of `KINDS`, `NOTICE_KINDS`, `LIMIT_KINDS`, `CRASH_KINDS`,
        `RESTART_KINDS`, `RENEW_KINDS`, `REFUSAL_KINDS` or `RELEASE_KINDS`.
    :param target: index of its target, modulo the number of possible targets.
    :param for_s: duration in seconds.
    :param strength: share of the maximum strength of its kind, from 0 to 1.
    """

    at_s: float
    kind: str
    target: int
    for_s: float
    strength: float

    @property
    def until_s(self) -> float:
        """Seconds from the start of the run until the fault ends."""
        return self.at_s + self.for_s


def schedule_of(seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run, which may overlap.

    :param seed: seed of all random choices.
    :param length_s: seconds from the start of the run in which faults begin.
    """
    faults = [
        *_random_faults(f'soak/{seed}', KINDS, _MAX_GAP_S, length_s),
        *_random_faults(
            f'notice/{seed}', NOTICE_KINDS, _MAX_NOTICE_GAP_S, length_s
        ),
        *_random_faults(
            f'limit/{seed}', LIMIT_KINDS, _MAX_LIMIT_GAP_S, length_s
        ),
        *_random_faults(
            f'crash/{seed}', CRASH_KINDS, _MAX_CRASH_GAP_S, length_s
        ),
        *_random_faults(
            f'restart/{seed}', RESTART_KINDS, _MAX_RESTART_GAP_S, length_s
        ),
        *_random_faults(
            f'renew/{seed}', RENEW_KINDS, _MAX_RENEW_GAP_S, length_s
        ),
        *_random_faults(
            f'refusal/{seed}', REFUSAL_KINDS, _MAX_REFUSAL_GAP_S, length_s
        ),
        *_random_faults(
            f'release/{seed}', RELEASE_KINDS, _MAX_RELEASE_GAP_S, length_s
        ),
    ]
    return tuple(sorted(faults))


def _random_faults(
    seed: str,
    kinds: Mapping[str, tuple[float, float]],
    max_gap_s: float,
    length_s: float,
) -> Iterator[Fault]:
    rng = random.Random(seed)  # noqa: S311
    at_s = _FIRST_FAULT_S
    while at_s < length_s:
        kind = rng.choice(tuple(kinds))
        yield Fault(
            round(at_s, 3),
            kind,
            rng.randrange(_TARGETS),
            round(rng.uniform(*kinds[kind]), 3),
            round(rng.random(), 3),
        )
        at_s += rng.uniform(0, max_gap_s)


def encode(faults: Sequence[Fault]) -> str:
    """Return a schedule as JSON with one fault per line.

    :param faults: the schedule.
    """
    lines = ',\n'.join(json.dumps(fault._asdict()) for fault in faults)
    return f'[\n{lines}\n]\n'


def decode(text: str) -> tuple[Fault, ...]:
    """Return the schedule that `encode` has encoded.

    :param text: the schedule as JSON.
    :raises ValueError: the text isn't valid JSON.
    :raises TypeError: the fields of a fault are wrong.
    """
    return tuple(Fault(**fields) for fields in json.loads(text))


def shortened(
    faults: tuple[Fault, ...], fails: Callable[[tuple[Fault, ...]], bool]
) -> tuple[Fault, ...]:
    """Return a small part of a failing schedule that still fails.

    It removes ranges of faults, of half the size in each round, and keeps a
    removal if the rest of the schedule still fails.

    :param faults: a schedule that fails.
    :param fails: plays a schedule and tells whether it fails.
    """
    size = max(1, len(faults) // 2)
    while size:
        start = 0
        while start < len(faults):
            rest = faults[:start] + faults[start + size :]
            if rest and fails(rest):
                faults = rest
            else:
                start += size
        size //= 2
    return faults
