"""The propagation of the bundle in force, by data centre."""

from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple, Protocol

from wasabicross.bundles.bundles import BundlePointer
from wasabicross.ownership.peers import max_renew_interval_s

#: Seconds since its last report up to which an instance counts as reachable,
#: unless long leases make renewals rarer; see `max_status_age_s`.
MAX_STATUS_AGE_S = 5.0
#: Seconds by which a report may be late.
REPORT_DELAY_S = 3.0

PropagationState = Literal['in_force', 'lagging', 'unreachable']


class InstanceBundleStatus(NamedTuple):
    """The bundle in force at one instance, by its last report.

    :param instance_id: the instance.
    :param data_centre: the data centre where it runs.
    :param bundle_number: lowest number in force there, 0 for none.
    :param bundle_digest: digest of that bundle, empty for none.
    :param in_force_since: ISO 8601 time, empty for none.
    :param last_heard_s: seconds since the instance reported this.
    """

    instance_id: str
    data_centre: str
    bundle_number: int
    bundle_digest: str
    in_force_since: str
    last_heard_s: float


class StatusSource(Protocol):
    """A source of the bundle status of each instance."""

    def instances(self) -> tuple[InstanceBundleStatus, ...]:
        """Return the last status of each instance."""


class DataCentreStatus(NamedTuple):
    """The bundle in force in a data centre.

    :param data_centre: the data centre.
    :param state: ``in_force`` when each reachable instance has the bundle,
        ``lagging`` when one lacks it, ``unreachable`` when no instance is
        reachable.
    :param bundle_number: lowest number at an instance, 0 for none or unknown.
    :param in_force_since: ISO 8601 time at which the last instance put that
        bundle in force.
    :param reachable: number of instances that reported recently.
    :param lagging: reachable instances that lack the bundle.
    :param last_heard_s: seconds since the last report of any instance, None
        if there was none.
    """

    data_centre: str
    state: PropagationState
    bundle_number: int
    in_force_since: str
    reachable: int
    lagging: tuple[str, ...]
    last_heard_s: float | None


def max_status_age_s(use_lease_s: float) -> float:
    """Return the seconds since its report up to which an instance is reachable.

    Instances report with their renewals, so the limit follows from the
    longest interval between these.

    :param use_lease_s: duration of a grant of use, which sets the interval of
        renewals.
    """
    return max(
        MAX_STATUS_AGE_S, max_renew_interval_s(use_lease_s) + REPORT_DELAY_S
    )


def data_centre_statuses(
    pointer: BundlePointer | None,
    instances: Iterable[InstanceBundleStatus],
    data_centres: Sequence[str],
    max_age_s: float = MAX_STATUS_AGE_S,
) -> tuple[DataCentreStatus, ...]:
    """Summarise the statuses of the instances of each data centre.

    :param pointer: the bundle that should be in force.
    :param instances: status of each instance.
    :param data_centres: data centres of the settings; others that instances
        report are added.
    :param max_age_s: seconds since its last report up to which an instance
        counts as reachable.
    """
    by_data_centre: dict[str, list[InstanceBundleStatus]] = {
        data_centre: [] for data_centre in data_centres
    }
    for instance in instances:
        by_data_centre.setdefault(instance.data_centre, []).append(instance)
    number = pointer.number if pointer else 0
    return tuple(
        _data_centre_status(data_centre, known, number, max_age_s)
        for data_centre, known in by_data_centre.items()
    )


def lagging_data_centres(
    statuses: Iterable[DataCentreStatus],
) -> tuple[str, ...]:
    """Return the reachable data centres in which an instance lacks the bundle.

    :param statuses: statuses of all data centres.
    """
    return tuple(
        status.data_centre for status in statuses if status.state == 'lagging'
    )


def _data_centre_status(
    data_centre: str,
    known: list[InstanceBundleStatus],
    number: int,
    max_age_s: float,
) -> DataCentreStatus:
    reachable = [each for each in known if each.last_heard_s <= max_age_s]
    lagging = [each for each in reachable if each.bundle_number < number]
    considered = reachable or known
    lowest = min((each.bundle_number for each in considered), default=0)
    return DataCentreStatus(
        data_centre=data_centre,
        state=_state(reachable, lagging),
        bundle_number=lowest,
        in_force_since=max(
            (
                each.in_force_since
                for each in considered
                if each.bundle_number == lowest
            ),
            default='',
        ),
        reachable=len(reachable),
        lagging=tuple(each.instance_id for each in lagging),
        last_heard_s=min((each.last_heard_s for each in known), default=None),
    )


def _state(
    reachable: list[InstanceBundleStatus],
    lagging: list[InstanceBundleStatus],
) -> PropagationState:
    if not reachable:
        return 'unreachable'
    return 'lagging' if lagging else 'in_force'
