"""What a gateway has to understand of requests and answers."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.http_heads import CallerRequest, Fields
from wasabicross.gateway.server_connections import AnswerHead, ServerRequest
from wasabicross.gateway.server_notices import ServerNotice


class RequestInfo(NamedTuple):
    """What a caller says of its request.

    :param request_id: id of this attempt of the caller.
    :param adapter: the adapter that it names, None for none.
    :param time_left_s: how long the caller waits, None if it didn't say.
    :param last_event_id: last event that the caller has of a broken stream.
    :param prompt_tokens: length of its prompt, 0 if it didn't say.
    """

    request_id: str
    adapter: AdapterKey | None
    time_left_s: float | None
    last_event_id: str
    prompt_tokens: int = 0


class ForwardingOptions(NamedTuple):
    """How a request is passed to a server.

    :param server_id: only this server may run it.
    :param version: version of the adapter that has to run it, 0 for any.
    :param time_left_s: how long the server may work.
    :param priority: rank, 0 is the most urgent.
    :param last_event_id: a stream goes on after this event.
    """

    server_id: str
    version: int
    time_left_s: float
    priority: int
    last_event_id: str


class AnswerKind(enum.Enum):
    """What an answer says of the request.

    `answered`: this is the answer. `failed`: it ran and failed. `not_run`: the
    server can't run it now. `not_held`: the server lacks the adapter, or is
    another one.
    """

    answered = 'answered'
    failed = 'failed'
    not_run = 'not run'
    not_held = 'not held'


class Dialect(Protocol):
    """Reads requests and answers of callers and servers."""

    def parse_request(self, req: CallerRequest) -> RequestInfo:
        """Return what a caller says of its request."""

    def request(
        self, req: CallerRequest, passage: ForwardingOptions
    ) -> ServerRequest:
        """Return the request as a server gets it."""

    def classify(self, head: AnswerHead) -> AnswerKind:
        """Return what an answer says of the request."""

    def notice(self, head: AnswerHead) -> ServerNotice:
        """Return what an answer says of further requests."""

    def refusal_fields(
        self, request_id: str, retry_after_s: float | None
    ) -> Fields:
        """Return the fields of an answer of the gateway's own.

        :param request_id: id of the request, empty if it has none.
        :param retry_after_s: when to come back, None if it isn't said.
        """
