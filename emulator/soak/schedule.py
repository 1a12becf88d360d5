"""The faults of a soak run: one seed gives one schedule."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

#: Kinds of faults, and the shortest and longest time in seconds for which
#: each one lasts.
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

#: The same for what servers say of further requests, drawn apart from the others
#: so that these stay as each seed has them.
NOTICE_KINDS = {
    'server_want_pause': (0.6, 4),
    'server_leave': (2.5, 6),
}

_FIRST_S = 1.0
_MAX_GAP_S = 1.6
_MAX_NOTICE_GAP_S = 12.0
_TARGETS = 64


class Fault(NamedTuple):
    """One fault, as it is planned.

    :param at_s: seconds from the start of the run.
    :param kind: one of `KINDS` or `NOTICE_KINDS`.
    :param target: which one it hits, counted round where there are fewer.
    :param for_s: seconds that it lasts.
    :param strength: from 0 to 1, of what its kind can be.
    """

    at_s: float
    kind: str
    target: int
    for_s: float
    strength: float

    @property
    def until_s(self) -> float:
        """Seconds from the start of the run until it has been healed."""
        return self.at_s + self.for_s


def schedule_of(seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run, which may overlap.

    :param seed: of all choices.
    :param length_s: seconds in which faults begin.
    """
    faults = [
        *_drawn(f'soak/{seed}', KINDS, _MAX_GAP_S, length_s),
        *_drawn(f'notice/{seed}', NOTICE_KINDS, _MAX_NOTICE_GAP_S, length_s),
    ]
    return tuple(sorted(faults))


def _drawn(
    seed: str,
    kinds: Mapping[str, tuple[float, float]],
    max_gap_s: float,
    length_s: float,
) -> Iterator[Fault]:
    rng = random.Random(seed)  # noqa: S311
    at_s = _FIRST_S
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
    """Return a schedule as JSON, a fault a line.

    :param faults: the schedule.
    """
    lines = ',\n'.join(json.dumps(fault._asdict()) for fault in faults)
    return f'[\n{lines}\n]\n'


def decode(text: str) -> tuple[Fault, ...]:
    """Return a schedule that `encode` has written.

    :param text: JSON.
    :raises ValueError: it isn't JSON.
    :raises TypeError: a fault has other fields.
    """
    return tuple(Fault(**fields) for fields in json.loads(text))


def shortened(
    faults: tuple[Fault, ...], fails: Callable[[tuple[Fault, ...]], bool]
) -> tuple[Fault, ...]:
    """Return the few faults of a schedule that still fail.

    Ever smaller parts are left out as long as the rest still fails.

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
