"""Common parts of the specifications of an owner A and its successor B.

The states of these specifications have the fields `check_age`, ticks since
A's pause detection last ran; `resident_status`, the status of A's instance at
B; `ordered`, `loaded` and `evicted_running`, about the load to be evicted.
"""

from collections.abc import Callable, Iterator
from typing import Any

from model.renewals import USE_LEASE, WAIT
from model.spec import Step

#: A has not seen itself in the list; it has; it has renewed its lease since.
UNSEEN, SEEN, BACKED = range(3)
#: B has not read the list since its takeover; A was not in the list; B counts
#: A as a resident; A has reported to B, or B has dropped it.
UNREAD, UNCOUNTED, COUNTED, DONE = range(4)

PROPERTIES: dict[str, Callable[[Any], bool]] = {
    'no_evict_while_running': lambda state: not state.evicted_running,
}

Omitted = frozenset[str]


def has_paused(state: Any, omitted: Omitted) -> bool:
    """Return whether A detects that it has paused for too long.

    :param state: state of one of the specifications.
    :param omitted: names of the omitted mechanisms.
    """
    return state.check_age > USE_LEASE and 'check_pause' not in omitted


def drop_resident(state: Any, omitted: Omitted) -> Iterator[Step]:
    """B drops A's instance, which has long been missing from the list."""
    is_lost = state.check_age >= WAIT or 'list_keeps_live' in omitted
    if state.resident_status == COUNTED and is_lost:
        yield 'drop_resident(A at B)', state._replace(resident_status=DONE)


def deliver_evict(state: Any, *running: int) -> Iterator[Step]:
    """Deliver the evict order to the server, after any delay.

    :param state: state of one of the specifications.
    :param running: for each request that may use the load, the ticks left.
    """
    if state.ordered and state.loaded:
        yield (
            'deliver_order',
            state._replace(loaded=False, evicted_running=any(running)),
        )
