"""A request that is attempted at a server, and what all attempts share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Self

from wasabicross.gateway.answer_ends.life_checks import LifeChecks
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.crashes.crash_watch import CrashWatch
from wasabicross.gateway.dialect import Dialect, RequestInfo
from wasabicross.gateway.orders import EngineClient
from wasabicross.gateway.silence_watch import OnAccepted, Replacements
from wasabicross.gateway.streams.version_checks import VersionChecks
from wasabicross.gateway.usage_tracker import RequestUsage
from wasabicross.gateway.version_proof import VersionProof
from wasabicross.gateway.view import FleetView


class AttemptContext(NamedTuple):
    """The request that is attempted, and the limits of the attempt.

    :param req: the request as the caller sent it.
    :param info: what its header fields state.
    :param route: its route.
    :param deadline_s: when the final answer is due, monotonic seconds.
    :param can_fail_over: whether another server could run the request if this
        one is silent.
    :param usage: counts the request at the server.
    :param replacements: the servers that may take the request over.
    :param on_events: called with the proof of the server's software version
        before each part of a resumable stream that the caller is sent.
    :param on_accepted: called when the answer begins, None unless the server
        takes the request over from a silent one.
    """

    req: CallerRequest
    info: RequestInfo
    route: Route
    deadline_s: float
    can_fail_over: bool
    usage: RequestUsage
    replacements: Replacements
    on_events: Callable[[VersionProof], None]
    on_accepted: OnAccepted | None = None


class ServerAccess(NamedTuple):
    """What all attempts share."""

    view: FleetView
    pool: ConnectionPool
    dialect: Dialect
    crashes: CrashWatch
    life: LifeChecks
    versions: VersionChecks

    @classmethod
    def from_parts(
        cls,
        instance: str,
        view: FleetView,
        pool: ConnectionPool,
        dialect: Dialect,
        engines: EngineClient,
    ) -> Self:
        """Return what all attempts of a gateway share.

        :param instance: name of this machine.
        :param view: the servers.
        :param pool: connections to them.
        :param dialect: conventions for requests and answers.
        :param engines: client for calls to servers.
        """
        evidence = CrashEvidence(instance)
        sharing = CrashSharing(evidence)
        view.convictions.on_stored = sharing.take_stored
        watch = CrashWatch(view, evidence, sharing)
        life = LifeChecks(view, pool, engines)
        versions = VersionChecks(view, pool, engines, life)
        return cls(view, pool, dialect, watch, life, versions)
