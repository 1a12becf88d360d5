"""Which software versions may have begun an interrupted stream."""

from __future__ import annotations

from wasabicross.gateway.configuration import Route
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.stream_divisions import (
    MAX_KNOWLEDGE_AGE_S,
    REWRITE_S,
    StreamDivision,
    former_lapse_s,
)
from wasabicross.gateway.streams.service_versions import listed_versions
from wasabicross.gateway.streams.take_ups import (
    Knowledge,
    TakeUp,
    longest_wait_s,
    service_of,
    take_up_of,
)
from wasabicross.gateway.view import FleetView


class StreamBeginnings:
    """Tells by the divisions of streams what began an interrupted one.

    :param view: state of the deployment.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view

    def known(
        self, route: Route, info: RequestInfo, now_s: float, asked_s: float
    ) -> TakeUp:
        """Return what is known of an interrupted stream, however long ago.

        :param route: the route of the request that takes it up.
        :param info: what the request states.
        :param now_s: the present time, monotonic seconds.
        :param asked_s: when the request arrived, monotonic seconds.
        """
        if not info.resumes and len(route.shares) > 1:
            return TakeUp(None, Knowledge.version_unknown)
        service = service_of(route, info)
        division = self._view.divisions.get(service)
        if division is None:
            found = take_up_of(
                listed_versions(self._view, service), Knowledge.only_version
            )
            return self._unless_unconfirmed(found, asked_s)
        whole_limits_s = self._view.divisions.route_limits.whole_limits_s(
            route, division.time_limit_s, now_s
        )
        since_s = asked_s - longest_wait_s(whole_limits_s, division, info)
        possible = division.possible_versions(
            info.resumes,
            since_s,
            now_s,
            is_confirmed=self._is_confirmed(division, asked_s),
        )
        former = self._versions_that_left(service, info.resumes, since_s)
        found = self._by_division(service, possible | former, since_s, asked_s)
        return found._replace(within_s=asked_s - since_s)

    def _versions_that_left(
        self, service: str, resumes: str, since_s: float
    ) -> frozenset[str]:
        """Return the versions whose last servers may have begun a stream.

        Their buckets have moved at once, but gateways that don't know it send
        new streams to servers that leave.
        """
        divisions = self._view.divisions
        division = divisions[service]
        return frozenset(
            version
            for each in division.former
            for version in each.versions_for(resumes)
            if divisions.last_listed_s(service, version) + MAX_KNOWLEDGE_AGE_S
            >= since_s
        )

    def _by_division(
        self,
        service: str,
        possible: frozenset[str],
        since_s: float,
        asked_s: float,
    ) -> TakeUp:
        """Return what is known of a stream by the division of its service.

        :param possible: versions that may have begun it by the division.
        :param since_s: time before which it can't have begun.
        """
        view = self._view
        division = view.divisions[service]
        versions = listed_versions(view, service).union(
            division.buckets, division.announced
        )
        if len(versions) > 1:
            if self._may_be_lost(service, since_s, asked_s):
                return TakeUp(None, Knowledge.version_unknown, versions)
            if asked_s < view.restored_s + REWRITE_S:
                return TakeUp(None, Knowledge.too_old)
            if view.confirmed_s < asked_s and len(possible) == 1:
                # Buckets may have moved at once, and the stream begun since.
                return TakeUp(None, Knowledge.too_old, possible)
        found = take_up_of(possible, Knowledge.division)
        return self._unless_unconfirmed(found, asked_s)

    def _unless_unconfirmed(self, found: TakeUp, asked_s: float) -> TakeUp:
        """Return what is known unless others may know another version."""
        if found.version is None or self._view.confirmed_s >= asked_s:
            return found
        return found._replace(version=None, known_by=Knowledge.unconfirmed)

    def _may_be_lost(
        self, service: str, since_s: float, asked_s: float
    ) -> bool:
        """Return whether a division that this process never knew began a stream."""
        known = self._view.divisions
        if not known.is_restored(service, asked_s):
            return False
        return since_s < known.restored_s + REWRITE_S

    def _is_confirmed(self, division: StreamDivision, asked_s: float) -> bool:
        """Return whether a division was in force when a request arrived.

        A store that returned from an older copy may have lost a later one, also
        where it did so before this process knew its content.
        """
        lapse_s = former_lapse_s(division)
        view = self._view
        restored_s = max(view.restored_s, view.divisions.restored_s)
        if asked_s - restored_s < lapse_s:
            return False
        return view.confirmed_s >= asked_s
