"""How far the bundle in force has reached, data centre by data centre."""

from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple, Protocol

from wasabicross.bundles.bundles import BundlePointer
from wasabicross.ownership.peers import longest_interval_s

MAX_STATUS_AGE_S = 5.0
LATENESS_S = 3.0

SpreadState = Literal['in_force', 'lagging', 'unreachable']


class InstanceBundleStatus(NamedTuple):
    """What one instance has in force, as last heard.

    :param instance_id: the instance.
    :param data_centre: where it runs.
    :param bundle_number: lowest number in force there, 0 for none.
    :param bundle_digest: digest of that bundle, empty for none.
    :param in_force_since: ISO 8601, empty for none.
    :param last_heard_s: seconds since the instance told so.
    """

    instance_id: str
    data_centre: str
    bundle_number: int
    bundle_digest: str
    in_force_since: str
    last_heard_s: float


class StatusSource(Protocol):
    """Where the statuses of the instances come from."""

    def instances(self) -> tuple[InstanceBundleStatus, ...]:
        """Return the last status of each instance."""


class DataCentreStatus(NamedTuple):
    """What is in force in a data centre.

    :param data_centre: which one.
    :param state: ``in_force`` when each reachable instance has the bundle,
        ``unreachable`` when no instance was heard of lately.
    :param bundle_number: lowest number at an instance, 0 for none or unknown.
    :param in_force_since: when the last instance got it, ISO 8601.
    :param reachable: count of instances heard of lately.
    :param lagging: reachable instances that lack the bundle.
    :param last_heard_s: seconds since any instance was heard of, or ``None``.
    """

    data_centre: str
    state: SpreadState
    bundle_number: int
    in_force_since: str
    reachable: int
    lagging: tuple[str, ...]
    last_heard_s: float | None


def max_status_age_s(use_lease_s: float) -> float:
    """Return for how long an instance counts as reachable without a word.

    :param use_lease_s: how long a grant of use lasts, by which it renews.
    """
    return max(MAX_STATUS_AGE_S, longest_interval_s(use_lease_s) + LATENESS_S)


def data_centre_statuses(
    pointer: BundlePointer | None,
    instances: Iterable[InstanceBundleStatus],
    data_centres: Sequence[str],
    within_s: float = MAX_STATUS_AGE_S,
) -> tuple[DataCentreStatus, ...]:
    """Sum up the instances of each data centre.

    :param pointer: the bundle that should be in force.
    :param instances: what is known of each instance.
    :param data_centres: those of the settings; others are added.
    :param within_s: an instance heard of within it is reachable.
    """
    by_data_centre: dict[str, list[InstanceBundleStatus]] = {
        data_centre: [] for data_centre in data_centres
    }
    for instance in instances:
        by_data_centre.setdefault(instance.data_centre, []).append(instance)
    number = pointer.number if pointer else 0
    return tuple(
        _data_centre_status(data_centre, known, number, within_s)
        for data_centre, known in by_data_centre.items()
    )


def lagging_data_centres(
    statuses: Iterable[DataCentreStatus],
) -> tuple[str, ...]:
    """Return the reachable data centres that lack the bundle.

    :param statuses: of all data centres.
    """
    return tuple(
        status.data_centre for status in statuses if status.state == 'lagging'
    )


def _data_centre_status(
    data_centre: str,
    known: list[InstanceBundleStatus],
    number: int,
    within_s: float,
) -> DataCentreStatus:
    heard = [each for each in known if each.last_heard_s <= within_s]
    lagging = [each for each in heard if each.bundle_number < number]
    told = heard or known
    lowest = min((each.bundle_number for each in told), default=0)
    return DataCentreStatus(
        data_centre=data_centre,
        state=_state(heard, lagging),
        bundle_number=lowest,
        in_force_since=max(
            (
                each.in_force_since
                for each in told
                if each.bundle_number == lowest
            ),
            default='',
        ),
        reachable=len(heard),
        lagging=tuple(each.instance_id for each in lagging),
        last_heard_s=min((each.last_heard_s for each in known), default=None),
    )


def _state(
    heard: list[InstanceBundleStatus],
    lagging: list[InstanceBundleStatus],
) -> SpreadState:
    if not heard:
        return 'unreachable'
    return 'lagging' if lagging else 'in_force'
