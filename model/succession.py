"""What the specifications of an owner A and its successor B share.

A state of either specification has these fields: `idle`, ticks since A's
watch for pauses last ran; `counted`, what A is to B; `ordered`, `loaded` and
`evicted_running` of the load that is to be evicted.
"""

from collections.abc import Callable, Iterator
from typing import Any

from model.renewals import USE_LEASE, WAIT
from model.spec import Step

#: Whether A saw itself in the list, and then renewed its lease.
UNSEEN, SEEN, BACKED = range(3)
#: B has not read the list since its takeover; A was not in it; A counts as a
#: resident; A has reported, or was dropped.
UNREAD, UNCOUNTED, COUNTED, DONE = range(4)

PROPERTIES: dict[str, Callable[[Any], bool]] = {
    'no_evict_while_running': lambda state: not state.evicted_running,
}

Left = frozenset[str]


def has_paused(state: Any, left: Left) -> bool:
    """Tell whether A finds that it has paused for too long.

    :param state: of one of the specifications.
    :param left: names of the mechanisms that are left out.
    """
    return state.idle > USE_LEASE and 'check_pause' not in left


def drop_resident(state: Any, left: Left) -> Iterator[Step]:
    """B no longer counts A's instance, which the list has long lost."""
    is_lost = state.idle >= WAIT or 'list_keeps_live' in left
    if state.counted == COUNTED and is_lost:
        yield 'drop_resident(A at B)', state._replace(counted=DONE)


def landed(state: Any, *running: int) -> Iterator[Step]:
    """Let the evict reach the server, however late.

    :param state: of one of the specifications.
    :param running: ticks left of each request that may use the load.
    """
    if state.ordered and state.loaded:
        yield (
            'land_order',
            state._replace(loaded=False, evicted_running=any(running)),
        )
