"""The interface to the platform's header fields in requests and answers."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.connections.http_heads import CallerRequest, Fields
from wasabicross.gateway.connections.server_messages import (
    AnswerHead,
    ServerRequest,
)
from wasabicross.gateway.server_limits.stated import StatedLimits
from wasabicross.gateway.server_notices import ServerNotice


class RequestInfo(NamedTuple):
    """What a caller's header fields state about its request.

    :param request_id: id of this attempt of the caller.
    :param adapter: the adapter that it names, None for none.
    :param time_left_s: how long the caller waits, seconds, None if not stated.
    :param last_event_id: id of the last event that the caller received of an
        interrupted stream.
    :param prompt_tokens: length of its prompt, 0 if not stated.
    :param shared_tokens: length of the start of its prompt that other requests
        may share, 0 if not stated.
    :param parts: the parts of its prompt that other requests may share.
    :param resumes: id of the caller's attempt that brought the first event of
        the interrupted stream, empty if not stated or not clear.
    :param digest: the same for all copies of the request, empty if not known.
    :param is_forwarded: whether another gateway has sent it, which states a time
        limit of its own.
    """

    request_id: str
    adapter: AdapterKey | None
    time_left_s: float | None
    last_event_id: str
    prompt_tokens: int = 0
    shared_tokens: int = 0
    parts: tuple[str, ...] = ()
    resumes: str = ''
    digest: str = ''
    is_forwarded: bool = False

    @property
    def causes(self) -> tuple[str, ...]:
        """Return what of the request may crash servers, itself last."""
        return (*self.parts, self.digest) if self.digest else self.parts


class ForwardingOptions(NamedTuple):
    """What a gateway adds to a request that it forwards to a server.

    :param server_id: the only server that may run it.
    :param version: version of the adapter that has to run it, 0 for any.
    :param time_left_s: how long the server may work, seconds.
    :param priority: rank, 0 is the most urgent.
    :param last_event_id: id of the event after which a stream resumes.
    :param prompt_source: server from which it may fetch the start of the
        prompt, None for none.
    """

    server_id: str
    version: int
    time_left_s: float
    priority: int
    last_event_id: str
    prompt_source: BackendServer | None = None


class AnswerKind(enum.Enum):
    """What a server's answer means for the request.

    `answered`: it is the answer. `failed`: it ran and failed. `unconfirmed`: it
    may have run and failed, though its status says that it hasn't run.
    `not_run`: the server can't run it now. `not_held`: the server lacks the adapter, or isn't
    the server that the request was meant for. `unmarked`: a success without the
    mark that servers put on their answers.
    """

    answered = 'answered'
    failed = 'failed'
    unconfirmed = 'unconfirmed'
    not_run = 'not run'
    not_held = 'not held'
    unmarked = 'unmarked'


class Dialect(Protocol):
    """Reads and writes the header fields of callers and servers."""

    def parse_request(self, req: CallerRequest) -> RequestInfo:
        """Return what a caller's header fields state about its request."""

    def request(
        self, req: CallerRequest, options: ForwardingOptions
    ) -> ServerRequest:
        """Return the request in the form in which a server receives it."""

    def forwarded_request(
        self, req: CallerRequest, time_left_s: float
    ) -> ServerRequest:
        """Return the request in the form in which another gateway gets it."""

    def classify(self, head: AnswerHead) -> AnswerKind:
        """Return what a server's answer means for the request."""

    def is_promise(self, head: AnswerHead) -> bool:
        """Return whether an answer tells its caller that nothing has run."""

    def notice(self, head: AnswerHead) -> ServerNotice:
        """Return whether the server of an answer accepts further requests."""

    def limits(self, head: AnswerHead) -> StatedLimits | None:
        """Return which load the server bears, None if that is unreadable."""

    def refusal_fields(
        self, request_id: str, retry_after_s: float | None
    ) -> Fields:
        """Return the fields of an answer that the gateway itself gives.

        :param request_id: id of the request, empty if it has none.
        :param retry_after_s: seconds until the caller should retry, None to
            leave it out.
        """
