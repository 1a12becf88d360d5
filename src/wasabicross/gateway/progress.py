"""What has become of a request at the servers that it was tried on."""

from __future__ import annotations

import enum

from wasabicross.gateway.event_stream import EventSplitter


class Ending(enum.Enum):
    """How an attempt at one server ended.

    `done`: the caller has its answer. `not_sent`: the server has seen nothing.
    `not_run`: it says that it hasn't run the request. `not_held`: it lacks the
    adapter. `unknown`: the request may have run. `failed`: it ran and failed.
    """

    done = 'done'
    not_sent = 'not sent'
    not_run = 'not run'
    not_held = 'not held'
    unknown = 'unknown'
    failed = 'failed'


class RequestProgress:
    """What has become of a request at all servers that it was tried on.

    :param last_event_id: last event that the caller has of its stream.
    """

    def __init__(self, last_event_id: str) -> None:
        self.sends = 0
        #: Servers that ran it or may do so.
        self.runs = 0
        #: Whether a server may have run it or may still do so.
        self.may_run = False
        self.is_answered_well = False
        #: Status of the newest server's answer, 0 for none, and why no whole
        #: answer came of it.
        self.status = 0
        self.reason = ''
        #: Until the newest server's answer began, and what it had to read.
        self.first_s: float = 0
        self.unread_tokens = 0
        self.excluded: set[str] = set()
        self.splitter = EventSplitter()
        self.splitter.last_event_id = last_event_id

    def begin_attempt(self) -> None:
        """Forget what the attempt before has met."""
        self.status = 0
        self.reason = ''
        self.first_s = 0
        self.unread_tokens = 0
