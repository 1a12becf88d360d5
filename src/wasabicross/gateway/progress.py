"""Progress of a request over the servers that it was sent to."""

from __future__ import annotations

import enum

from wasabicross.gateway.errors import AnswerBroken
from wasabicross.gateway.event_stream import EventSplitter
from wasabicross.gateway.retrying_placer import Placement


class Ending(enum.Enum):
    """How an attempt at one server ended.

    `done`: the caller has its answer. `not_sent`: nothing reached the server.
    `not_run`: the server stated that it hasn't run the request. `not_held`: the
    server lacks the adapter. `unknown`: the request may have run. `failed`: it
    ran and failed. `replaced`: the server was silent and another one takes the
    request over.
    """

    done = 'done'
    not_sent = 'not sent'
    not_run = 'not run'
    not_held = 'not held'
    unknown = 'unknown'
    failed = 'failed'
    replaced = 'replaced'


class RequestProgress:
    """Progress of a request over all servers that it was sent to.

    :param last_event_id: id of the last event of its stream that the caller
        has received.
    """

    def __init__(self, last_event_id: str) -> None:
        self.sends = 0
        #: Number of servers that ran the request or may have.
        self.runs = 0
        #: Whether a server may have run the request or may still run it.
        self.may_run = False
        self.has_succeeded = False
        #: Whether a server crashed as it began to answer.
        self.has_crashed = False
        #: Status of the latest server's answer, 0 for none, and why the answer
        #: is missing or incomplete.
        self.status = 0
        self.reason = ''
        #: Seconds until the latest server's answer began, and the prompt tokens
        #: that it had to prefill before.
        self.first_s: float = 0
        self.unread_tokens = 0
        #: Longest pause between two parts of the latest server's stream, seconds.
        self.longest_pause_s: float = 0
        self.excluded: set[str] = set()
        #: Servers that were left for their silence, and the server that takes
        #: over from the latest one.
        self.silent: set[str] = set()
        self.replacement: Placement | None = None
        #: Servers that stated that they haven't run the request.
        self.refused_by: set[str] = set()
        #: Software version at which the stream goes on, None before its start.
        self.software_version: str | None = None
        self.splitter = EventSplitter()
        self.splitter.last_event_id = last_event_id

    def on_events(self, software_version: str) -> None:
        """Record which software version has sent events of the stream.

        :param software_version: version of the server that has sent them.
        :raises AnswerBroken: the stream has events of another version.
        """
        if self.software_version not in {None, software_version}:
            raise AnswerBroken('events of another software version')
        self.software_version = software_version

    def begin_attempt(self) -> None:
        """Reset the result of the previous attempt."""
        self.status = 0
        self.reason = ''
        self.first_s = 0
        self.unread_tokens = 0
        self.longest_pause_s = 0

    def take_replacement(self) -> Placement | None:
        """Return the server that takes over from a silent one, once."""
        replacement = self.replacement
        self.replacement = None
        return replacement
