"""At which software version streams begin, and at which one they go on."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s as clock_s
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.stream_divisions import (
    MAX_KNOWLEDGE_AGE_S,
    SPREAD_S,
)
from wasabicross.gateway.streams.owner_words import Word
from wasabicross.gateway.streams.service_versions import listed_versions
from wasabicross.gateway.streams.stream_beginnings import StreamBeginnings
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.streams.take_ups import (
    Knowledge,
    TakeUp,
    is_take_up,
    service_of,
    with_memory,
)
from wasabicross.gateway.version_proof import VersionProof
from wasabicross.gateway.view import FleetView

#: Longest wait until the division in force is confirmed, the interval at which
#: that is checked, and the one at which it is asked for again.
_MAX_CONFIRMATION_S = 0.8
_CONFIRMATION_CHECK_S = 0.01
_CONFIRMATION_RETRY_S = 0.5

#: Why a server that was chosen isn't sent a stream: its entry has changed since,
#: or the stream has begun at another version meanwhile.
_CHANGED = 'server changed'
_OTHER_VERSION = 'other software version'


class StreamVersions:
    """Tells at which software version resumable streams begin and go on.

    :param view: state of the deployment.
    :param memory: remembers which versions began streams.
    """

    def __init__(
        self, view: FleetView, memory: StreamMemory | None = None
    ) -> None:
        self._view = view
        self._beginnings = StreamBeginnings(view)
        self._memory = memory or StreamMemory(view)

    def for_new(
        self, service: str, request_id: str, now_s: float
    ) -> str | None:
        """Return the software version that begins a stream, None for any.

        :param service: the service that runs it.
        :param request_id: id of the caller's attempt.
        :param now_s: the present time, monotonic seconds.
        """
        division = self._view.divisions.get(service)
        if division is not None:
            return division.version_for(request_id)
        versions = listed_versions(self._view, service)
        return next(iter(versions)) if len(versions) == 1 else None

    def may_begin(self, service: str, request_id: str, now_s: float) -> bool:
        """Return whether a new stream may begin at the version in force.

        Streams of a version without any server move to another one unannounced,
        which a gateway that is out of touch with the store doesn't learn. One
        that is so for longer needs the word of owners that they are too.

        :param service: the service that runs it.
        :param request_id: id of the caller's attempt.
        :param now_s: the present time, monotonic seconds.
        """
        division = self._view.divisions.get(service)
        if division is None:
            return True
        confirmed_s = self._view.confirmed_s
        if now_s - confirmed_s > SPREAD_S:
            if not self.serves(service, division.version_for(request_id)):
                return False
        if now_s - confirmed_s > MAX_KNOWLEDGE_AGE_S:
            if not self._view.divisions.outage.covers(service, now_s):
                return False
        return division.may_begin(request_id, confirmed_s, now_s)

    def for_take_up(
        self,
        route: Route,
        info: RequestInfo,
        now_s: float,
        asked_s: float | None = None,
    ) -> TakeUp:
        """Return what is known of an interrupted stream.

        :param route: the route of the request that takes it up.
        :param info: what the request states.
        :param now_s: the present time, monotonic seconds.
        :param asked_s: when the request arrived, monotonic seconds; None for
            the present time.
        """
        asked_s = now_s if asked_s is None else asked_s
        found = self._beginnings.known(route, info, now_s, asked_s)
        if now_s - self._view.confirmed_s <= MAX_KNOWLEDGE_AGE_S:
            return found
        service = service_of(route, info)
        is_shared = self._view.divisions.outage.covers(service, now_s)
        if is_shared and found.known_by is Knowledge.unconfirmed:
            # Owners tell whether there is another version.
            return found
        return TakeUp(None, Knowledge.too_old)

    async def confirmed_take_up(
        self, take_up: TakeUp, route: Route, info: RequestInfo, asked_s: float
    ) -> TakeUp:
        """Return what is known once the division is confirmed to be in force.

        Waits for that only if it can tell the version, and not for long.

        :param take_up: what is known before.
        :param route: the route of the request that takes the stream up.
        :param info: what the request states.
        :param asked_s: when it arrived, monotonic seconds.
        """
        if take_up.known_by is Knowledge.unconfirmed:
            return await self._sole_version(take_up, route, info, asked_s)
        service = service_of(route, info)
        division = self._view.divisions.get(service)
        if division is None:
            return take_up
        may_be_told = take_up.is_unconfirmed
        if not division.announced and not may_be_told:
            return take_up
        await self._wait_for_confirmation(asked_s)
        found = self.for_take_up(route, info, clock_s(), asked_s)
        if not may_be_told:
            return found
        return await self._remembered(found, service, info)

    async def _sole_version(
        self, take_up: TakeUp, route: Route, info: RequestInfo, asked_s: float
    ) -> TakeUp:
        """Return what is known where this gateway knows one version only.

        Owners are asked first, then the store. Where it doesn't answer, the
        word of those owners counts that can be reached.
        """
        service = service_of(route, info)
        version = next(iter(take_up.possible))
        told = take_up._replace(version=version, known_by=Knowledge.owners)
        word = await self._memory.words.word(service, version, asked_s)
        if word is Word.same and service in self._view.divisions:
            return told
        await self._wait_for_confirmation(asked_s)
        found = self._beginnings.known(route, info, clock_s(), asked_s)
        if found.refusal is None:
            return found
        remembered = None
        if info.resumes:
            remembered = await self._memory.find(service, info.resumes)
        if remembered is None and found.known_by is Knowledge.unconfirmed:
            return told if word in {Word.same, Word.partial} else found
        return with_memory(found, remembered)

    async def _wait_for_confirmation(self, asked_s: float) -> None:
        """Wait, not for long, until the store has answered a later call."""
        until_s = asked_s + _MAX_CONFIRMATION_S
        wanted_s = -math.inf
        while self._view.confirmed_s < asked_s and clock_s() < until_s:
            if clock_s() - wanted_s > _CONFIRMATION_RETRY_S:
                wanted_s = clock_s()
                self._view.divisions.is_confirmation_wanted.set()
            await asyncio.sleep(_CONFIRMATION_CHECK_S)

    async def recall(
        self, take_up: TakeUp, service: str, info: RequestInfo
    ) -> TakeUp:
        """Return what is known of a stream with what gateways remember.

        They are asked only after the store if its next answer may tell.

        :param take_up: what is known without that.
        :param service: the service that began it.
        :param info: what the request that takes it up states.
        """
        if take_up.is_unconfirmed:
            return take_up
        return await self._remembered(take_up, service, info)

    async def _remembered(
        self, take_up: TakeUp, service: str, info: RequestInfo
    ) -> TakeUp:
        if take_up.refusal is None or not info.resumes:
            return take_up
        version = await self._memory.find(service, info.resumes)
        return with_memory(take_up, version)

    def note_begun(
        self, service: str, request_id: str, proof: VersionProof
    ) -> None:
        """Remember which version began a stream where that may be needed.

        :param service: the service that runs it.
        :param request_id: id of the caller's attempt.
        :param proof: shows what began it.
        """
        self._memory.note_begun(service, request_id, proof.software_version)

    def are_outdated(
        self, service: str, version: str | None, now_s: float
    ) -> bool:
        """Return whether all servers of a version run another start than listed.

        :param service: their service.
        :param version: the software version, None for any.
        :param now_s: the present time, monotonic seconds.
        """
        outdated = [
            self._view.health[server.server_id].runs_unlisted_start(now_s)
            for server in self._staying(service)
            if version in {None, server.software_version}
        ]
        return bool(outdated) and all(outdated)

    def serves(self, service: str, version: str) -> bool:
        """Return whether servers of a version are listed as taking requests.

        Those that are full or ask for a pause are.

        :param service: their service.
        :param version: the software version.
        """
        return any(
            server.software_version == version
            for server in self._staying(service)
        )

    def note_time_limit(
        self, route: Route, service: str, info: RequestInfo, now_s: float
    ) -> None:
        """Record how long a caller of a resumable stream waits.

        Callers that take a stream up may state only the rest of their limit.

        :param route: the route of its request.
        :param service: the service that runs it.
        :param info: what the request states.
        :param now_s: the present time, monotonic seconds.
        """
        if info.time_left_s is None or is_take_up(route, info):
            return
        known = self._view.divisions
        known.time_limits.note_time_limit(service, info.time_left_s)
        known.route_limits.note_time_limit(route.name, info.time_left_s, now_s)

    def _staying(self, service: str) -> Iterator[BackendServer]:
        """Return the servers of a service that don't leave."""
        return (
            server
            for server in self._view.servers.values()
            if server.service == service
            and not server.is_leaving
            and not self._view.notices.is_leaving(server)
        )


def why_unsuitable(
    view: FleetView, chosen: BackendServer, pinned: str | None
) -> str:
    """Return why a stream may no longer be sent to a server, empty if it may.

    :param view: state of the deployment.
    :param chosen: the server as it was listed when it was chosen.
    :param pinned: software version at which the stream goes on, None for any.
    """
    listed = view.servers.get(chosen.server_id)
    if listed is None or listed.start_ms != chosen.start_ms:
        return _CHANGED
    if listed.software_version != chosen.software_version:
        return _CHANGED
    return '' if pinned in {None, chosen.software_version} else _OTHER_VERSION
