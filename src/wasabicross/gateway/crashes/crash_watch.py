"""Finds out which servers crashed under requests that they may have begun."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Self

from wasabicross.gateway import metrics
from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.conviction_records import CrashKey
from wasabicross.gateway.crashes.crash import Crash
from wasabicross.gateway.crashes.crash_checks import (
    RETRY_PAUSE_S,
    CrashCheck,
    CrashChecks,
    Suspect,
)
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence, Verdict
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.crashes.request_guard import RequestGuard
from wasabicross.gateway.crashes.server_probes import is_accepted, is_refused
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: A server that ends later than this after the start of an answer didn't crash
#: because of its request.
_BEGUN_S = 0.25

#: Time after the start of an answer from which on its request counts as sound.
_SOUND_AFTER_S = 0.5

#: Pause after which a server that broke an answer off and didn't refuse a
#: connection is tried again.
_RECHECK_S = 0.2

#: Most requests that one log line names.
_MAX_NAMED = 8

#: Most other servers that are asked whether this gateway reaches any.
_MAX_OTHERS = 3


class CrashWatch:
    """Tells crashed servers from others that broke off answers.

    :param view: the servers.
    :param evidence: what may crash servers.
    :param sharing: shares the evidence.
    """

    def __init__(
        self,
        view: FleetView,
        evidence: CrashEvidence,
        sharing: CrashSharing,
    ) -> None:
        self._view = view
        self._evidence = evidence
        #: Shares the evidence with other gateways.
        self.sharing = sharing
        self._checks = CrashChecks()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Attempts that are called off if a cause of theirs is convicted.
        self.under_way: set[WatchedAttempt] = set()
        sharing.on_convicted = self._call_off

    def begin(self, server: BackendServer, info: RequestInfo) -> WatchedAttempt:
        """Return an object that follows one attempt of a request.

        :param server: the server that it is sent to.
        :param info: what the header fields of the request state.
        """
        return WatchedAttempt(self, server, info)

    def guard(self, causes: tuple[str, ...]) -> RequestGuard:
        """Return an object that keeps one request from crashing servers.

        :param causes: its possible causes of crashes.
        """
        return RequestGuard(self._evidence, causes)

    def on_sound(self, causes: tuple[str, ...]) -> None:
        """Record that the answer to a request went on.

        :param causes: its possible causes of crashes.
        """
        self.sharing.report_sound(causes)

    async def on_broken(
        self,
        server: BackendServer,
        info: RequestInfo,
        since_start_s: float,
        begun_s: float = -math.inf,
    ) -> bool:
        """Record an answer that broke off or is missing.

        :return: whether its server crashed, perhaps because of the request.
        :param server: the server.
        :param info: what the header fields of the request state.
        :param since_start_s: time since the answer began, seconds, 0 if it hasn't.
        :param begun_s: when the attempt began, monotonic seconds.
        """
        if since_start_s > _BEGUN_S:
            return False
        if not self._is_expected(server):
            return False
        check = self._check_of(server, begun_s)
        suspect = Suspect(info.request_id, since_start_s, info.causes)
        check.suspects.append(suspect)
        if check.is_done.is_set():
            self._report(check)
        await check.wait()
        return check.has_crashed and self._evidence.is_suspect(info.causes)

    def suspects_part(self, info: RequestInfo) -> bool:
        """Return whether a part of a request's prompt may crash servers.

        :param info: what the header fields of the request state.
        """
        return self._evidence.is_suspect(info.parts)

    def _call_off(self, convicted: frozenset[str]) -> None:
        """Call off the attempts that would crash their servers next."""
        at_s = now_s()
        for attempt in tuple(self.under_way):
            causes = attempt.unproved_causes(at_s)
            if convicted.isdisjoint(causes):
                continue
            if self._evidence.verdict(causes, at_s) is Verdict.refused:
                attempt.call_off()

    def _is_expected(self, server: BackendServer) -> bool:
        """Return whether a server is listed and not known to leave."""
        listed = self._view.servers.get(server.server_id)
        if listed is None or listed.start_ms != server.start_ms:
            return False
        return not listed.is_leaving and not self._view.notices.is_leaving(
            listed
        )

    def _check_of(self, server: BackendServer, begun_s: float) -> CrashCheck:
        """Return the check of a server that broke an answer off."""
        key = CrashKey(*self._view.notices.starts.incarnation(server))
        at_s = now_s()
        known = self._checks.find(key, begun_s, at_s - _RECHECK_S)
        if known is not None:
            return known
        check = CrashCheck(key, at_s)
        self._checks.add(check)
        task = asyncio.ensure_future(self._run_check(server, check))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return check

    async def _run_check(
        self, server: BackendServer, check: CrashCheck
    ) -> None:
        try:
            if await self._has_crashed(server, check):
                self._checks.on_crashed(check)
            self._report(check)
        finally:
            check.finish(now_s())
        if check.has_crashed:
            metrics.CRASHES.inc()

    async def _has_crashed(
        self, server: BackendServer, check: CrashCheck
    ) -> bool:
        if not await is_refused(server.host, server.port):
            check.is_answered.set()
            # It may be about to end.
            await asyncio.sleep(RETRY_PAUSE_S)
            if not await is_refused(server.host, server.port):
                return False
        is_reaching = await self._reaches_another(server)
        return is_reaching and self._is_expected(server)

    async def _reaches_another(self, server: BackendServer) -> bool:
        """Return whether another server accepts connections.

        If none does, it may be this gateway that is cut off, and a connection
        that is refused says nothing about the server.
        """
        others = [
            each
            for each in self._view.servers.values()
            if each.server_id != server.server_id and not each.is_leaving
        ]
        if not others:
            return True
        asked = random.sample(others, min(_MAX_OTHERS, len(others)))
        accepted = await asyncio.gather(
            *(is_accepted(each.host, each.port) for each in asked)
        )
        return any(accepted)

    def _report(self, check: CrashCheck) -> None:
        """Report the suspects of a crash that aren't reported yet."""
        suspects = check.suspects
        check.suspects = []
        if not check.has_crashed:
            return
        suspects.sort(key=lambda each: each.since_start_s)
        log_event(
            Event.SERVER_CRASHED,
            server=check.key.server_id,
            start_ms=check.key.start_ms,
            confirmed='connection refused',
            requests=[
                f'{each.request_id} {each.since_start_s:.3f} {each.causes[-1]}'
                for each in suspects[:_MAX_NAMED]
            ],
            count=len(suspects),
        )
        causes = frozenset(cause for each in suspects for cause in each.causes)
        self.sharing.report_crash(Crash(check.key, check.at_s, causes))


class WatchedAttempt:
    """One attempt of a request at a server.

    :param watch: is told how the attempt goes.
    :param server: the server.
    :param info: what the header fields of the request state.
    """

    def __init__(
        self, watch: CrashWatch, server: BackendServer, info: RequestInfo
    ) -> None:
        self._watch = watch
        self._server = server
        self._info = info
        self._begun_s = now_s()
        #: When the first piece of the body came.
        self._first_piece_s = math.inf
        self._is_sound = False
        self._close: Callable[[], None] | None = None
        #: Whether it was called off, so its end says nothing about the server.
        self.is_called_off = False

    def unproved_causes(self, now_s: float) -> tuple[str, ...]:
        """Return its possible causes, none once the answer has gone on.

        :param now_s: the present time, monotonic seconds.
        """
        has_gone_on = now_s > self._first_piece_s + _BEGUN_S
        return () if has_gone_on or self._is_sound else self._info.causes

    def under_way(self, close: Callable[[], None]) -> Self:
        """Return a context in which the attempt may be called off.

        :param close: closes its connection to the server.
        """
        self._close = close
        return self

    def __enter__(self) -> None:
        """Begin the attempt."""
        self._watch.under_way.add(self)

    def __exit__(self, *_exc: object) -> None:
        """End the attempt."""
        self._watch.under_way.discard(self)

    def call_off(self) -> None:
        """End the attempt, as its request would crash the server."""
        if self._close is not None:
            self.is_called_off = True
            self._close()

    def on_progress(self) -> None:
        """Record that a piece of the body came."""
        if self._is_sound:
            return
        at_s = now_s()
        self._first_piece_s = min(self._first_piece_s, at_s)
        if at_s >= self._first_piece_s + _SOUND_AFTER_S:
            self.on_sound()

    def on_sound(self) -> None:
        """Record that the answer is complete or has gone on for a while."""
        if not self._is_sound:
            self._watch.on_sound(self._info.causes)
        self._is_sound = True

    @property
    def has_suspect_part(self) -> bool:
        """Return whether a part of its prompt may crash servers."""
        return self._watch.suspects_part(self._info)

    async def on_broken(self) -> bool:
        """Return whether the server crashed, perhaps because of the request."""
        # A head may come long before the server writes the first piece.
        since_start_s = max(0, now_s() - self._first_piece_s)
        return await self._watch.on_broken(
            self._server, self._info, since_start_s, self._begun_s
        )
