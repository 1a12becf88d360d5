"""Progress of a request over the servers that it was sent to."""

from __future__ import annotations

import enum

from wasabicross.gateway.answer_ends.end_proof import EndProof
from wasabicross.gateway.errors import AnswerBroken
from wasabicross.gateway.server_limits.stated import NO_LIMITS, StatedLimits
from wasabicross.gateway.version_proof import (
    VersionGround,
    VersionProof,
)


class Ending(enum.Enum):
    """How an attempt at one server ended.

    `done`: the caller has its answer. `not_sent`: nothing reached the server.
    `not_run`: the server stated that it hasn't run the request. `not_held`: the
    server lacks the adapter. `unknown`: the request may have run. `failed`: it
    ran and failed. `crashed`: its server has ended, perhaps because of it.
    `replaced`: the server was silent and another one takes the
    request over.
    """

    done = 'done'
    not_sent = 'not sent'
    not_run = 'not run'
    not_held = 'not held'
    unknown = 'unknown'
    failed = 'failed'
    crashed = 'crashed'
    replaced = 'replaced'


class AttemptRecord:
    """What is logged of one attempt at a server."""

    def __init__(self) -> None:
        #: Status of the answer, 0 for none, and why it is missing or incomplete.
        self.status = 0
        self.reason = ''
        #: Number of its connection in this process, and of the request on it.
        self.connection = 0
        self.connection_sends = 0
        #: Seconds until the answer began, and the prompt tokens that the server
        #: had to prefill before.
        self.first_s: float = 0
        self.unread_tokens = 0
        #: Which load its server bears by the answer, None if unreadable.
        self.limits: StatedLimits | None = NO_LIMITS
        #: Longest pause between two parts of a stream, seconds.
        self.longest_pause_s: float = 0
        #: What shows that the answer is complete.
        self.end_proof = EndProof.none
        #: Start that the process has reported, Unix milliseconds, 0 if it hasn't.
        self.found_start_ms = 0
        #: Age of the knowledge of the store when it was sent, seconds.
        self.knowledge_s: float = 0
        #: What shows that it runs the version of its entry.
        self.version_ground = VersionGround.none


class RequestProgress:
    """Progress of a request over all servers that it was sent to.

    :param last_event_id: id of the last event of its stream that the caller
        has received.
    """

    def __init__(self, last_event_id: str) -> None:
        self.sends = 0
        #: Number of servers that ran the request or may have. One that states
        #: that it hasn't run the request speaks for itself only.
        self.runs = 0
        #: Whether another gateway has the request, and whether one had it.
        self.is_at_peer = False
        self.was_at_peer = False
        self.has_succeeded = False
        #: Number of servers that have ended, perhaps because of the request.
        self.crashes = 0
        #: Whether a part of its prompt may have ended the last one.
        self.has_suspect_part = False
        #: Why the latest answer is missing or incomplete.
        self.reason = ''
        self.excluded: set[str] = set()
        #: Whether a server could not be reached.
        self.was_unreached = False
        #: Servers that were silent, so others were asked.
        self.silent: set[str] = set()
        #: Servers that were asked on a connection of a former process.
        self._asked_before: set[str] = set()
        self.last_event_id = last_event_id
        #: Software version at which the stream goes on, None before its start.
        self.software_version: str | None = None

    @property
    def may_run(self) -> bool:
        """Return whether a server may have run the request or may still run it."""
        return self.runs > 0 or self.is_at_peer

    def may_ask_again(self, server_id: str) -> bool:
        """Return whether a server may be asked on another connection, once.

        :param server_id: id of the server.
        """
        is_first = server_id not in self._asked_before
        self._asked_before.add(server_id)
        return is_first

    def check_version(self, proof: VersionProof) -> None:
        """Check that a server may go on with the stream.

        :param proof: shows the version of the server that has sent events.
        :raises AnswerBroken: the stream has events of another version.
        """
        if self.software_version not in {None, proof.software_version}:
            raise AnswerBroken('events of another software version')
