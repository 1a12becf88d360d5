"""Messages that propagate bundles and report which bundle is in force."""

from typing import NamedTuple


class BundleOffered(NamedTuple):
    """Offers the bundle that the sender has in force, by its pointer.

    :param number: number of the bundle.
    :param digest: hex digest of its manifest.
    :param rolled_at: ISO 8601 time at which it was rolled.
    :param rolled_by: name of the operator who rolled it.
    """

    number: int
    digest: str
    rolled_at: str
    rolled_by: str


class BundleInForce(NamedTuple):
    """Reports the bundle that the sending process has in force.

    :param number: number of the bundle.
    :param digest: hex digest of its manifest.
    :param since: ISO 8601 time at which the process put it in force.
    """

    number: int
    digest: str
    since: str


class GetManifest(NamedTuple):
    """Requests the signed manifest of a bundle."""

    digest: str


class GetChunk(NamedTuple):
    """Requests one chunk of a bundle's table of adapters."""

    digest: str


class Blob(NamedTuple):
    """Answers a request for a manifest or a chunk with its bytes."""

    content: bytes


class GetStatus(NamedTuple):
    """Requests the bundle status of every instance the receiver knows."""


class InstanceReport(NamedTuple):
    """The bundle in force at one instance, by its last report.

    :param bundle_number: lowest number in force there, 0 for none.
    :param bundle_digest: hex digest of that bundle, empty for none.
    :param in_force_since: ISO 8601 time, empty for none.
    :param last_heard_s: seconds since the instance reported this.
    """

    instance_id: str
    data_centre: str
    bundle_number: int
    bundle_digest: str
    in_force_since: str
    last_heard_s: float


class Status(NamedTuple):
    """Answers `GetStatus` with a report for each instance."""

    instances: list[InstanceReport]
