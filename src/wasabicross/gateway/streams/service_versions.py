"""The software versions of a service that may begin streams now.

A gateway asks owners for them by `StreamQuery`, with a digest that stands for
the service instead of a stream. Owners of versions without this question know
no such stream, and say so.
"""

from __future__ import annotations

from wasabicross.gateway.stream_divisions import ANNOUNCED_S, SPREAD_S
from wasabicross.gateway.stream_messages import DIGEST_BYTES
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.rendezvous import rendezvous_hash

#: Digests of services begin with this.
_PREFIX = b'\xff\xff'

#: How long a version without buckets counts after these were in force.
_RECENT_S = ANNOUNCED_S + SPREAD_S

_SEPARATOR = '\n'


def versions_digest(service: str) -> bytes:
    """Return the digest that asks for the versions of a service.

    :param service: name of the service.
    """
    hashed = rendezvous_hash('versions of a service', service)
    return (_PREFIX + hashed)[:DIGEST_BYTES]


def asked_service(view: FleetView, digest: bytes) -> str | None:
    """Return the service whose versions a digest asks for, None if none.

    :param view: the servers and divisions.
    :param digest: the digest of a question.
    """
    if not digest.startswith(_PREFIX):
        return None
    services = {server.service for server in view.servers.values()}
    services.update(view.divisions)
    return next(
        (each for each in services if versions_digest(each) == digest), None
    )


def current_versions(
    view: FleetView, service: str, now_s: float
) -> frozenset[str]:
    """Return the versions that begin streams, will do so or have just done so.

    :param view: the servers and divisions.
    :param service: name of the service.
    :param now_s: the present time, monotonic seconds.
    """
    found = set(listed_versions(view, service))
    division = view.divisions.get(service)
    if division is not None:
        found.update(division.buckets, division.announced)
        for each in division.former:
            if now_s - each.ended_s < _RECENT_S:
                found.update(each.buckets)
    return frozenset(found)


def listed_versions(view: FleetView, service: str) -> frozenset[str]:
    """Return the software versions of all servers, also of those that leave.

    :param view: the servers.
    :param service: their service.
    """
    return frozenset(
        server.software_version
        for server in view.servers.values()
        if server.service == service
    )


def versions_text(versions: frozenset[str]) -> str:
    """Return versions as one text; that of a single one is its name.

    :param versions: the versions.
    """
    return _SEPARATOR.join(sorted(versions))
