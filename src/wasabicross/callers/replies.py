"""Replies to callers, including errors."""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Literal, NamedTuple

Headers = tuple[tuple[str, str], ...]

#: Groups of errors, as they are sent to callers and operators' programs.
FaultKind = Literal[
    'authentication_error',
    'conflict_error',
    'invalid_request_error',
    'overloaded_error',
    'platform_error',
    'server_error',
]

#: Outcomes of a request, sent in a header of each reply.
COMPLETED = 'completed'
NOT_RUN = 'not-run'
OUTCOME_UNKNOWN = 'unknown'

OUTCOME_HEADER = 'X-Wasabicross-Outcome'
JSON_TYPE = ('Content-Type', 'application/json')


class Reply(NamedTuple):
    """A reply to a caller.

    :param status: HTTP status code.
    :param headers: header fields, in order.
    :param content: pieces of the body; raises if the answer is cut.
    :param running_since_s: monotonic time since which the backend server
        certainly runs the request, None if that isn't known.
    """

    status: int
    headers: Headers
    content: Iterable[bytes]
    running_since_s: float | None = None

    def with_header(self, name: str, text: str) -> 'Reply':
        """Return the reply with a header field that replaces those of its name.

        :param name: name of the field.
        :param text: its value.
        """
        others = tuple(
            field for field in self.headers if field[0].lower() != name.lower()
        )
        return self._replace(headers=(*others, (name, text)))


class CallbackContent:
    """The content of a reply; calls a function once when it has ended.

    :param content: the pieces of the body.
    :param on_end: called when all pieces were sent or sending them stopped.
    """

    def __init__(
        self, content: Iterable[bytes], on_end: Callable[[], None]
    ) -> None:
        self._content = content
        self._pieces = iter(content)
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._pieces)
        except BaseException:
            self._end()
            raise

    def close(self) -> None:
        """End the content, even if not all of it was sent."""
        close = getattr(self._content, 'close', None)
        if close is not None:
            close()
        self._end()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_end()


class Fault(NamedTuple):
    """An error as it is sent to callers and operators' programs.

    :param status: HTTP status code.
    :param kind: group of errors, sent as ``type``.
    :param code: stable code for programs.
    :param message: a sentence for people.
    """

    status: int
    kind: FaultKind
    code: str
    message: str

    def as_document(self) -> dict[str, str]:
        """Return the error as the JSON object in the body."""
        return {
            'type': self.kind,
            'code': self.code,
            'message': self.message,
        }


def invalid(status: int, code: str, message: str) -> Fault:
    """Return the error of a request that is invalid.

    :param status: HTTP status code.
    :param code: stable code for programs.
    :param message: a sentence for people.
    """
    return Fault(status, 'invalid_request_error', code, message)


def overloaded(code: str, message: str) -> Fault:
    """Return the error of a request that may be sent again later.

    :param code: stable code for programs.
    :param message: a sentence for people.
    """
    return Fault(503, 'overloaded_error', code, message)


UNAUTHORISED = Fault(
    401, 'authentication_error', 'unauthorised', 'A valid token is needed.'
)
NO_ROUTE = invalid(404, 'no_route', 'No route has this path.')
NO_BUNDLE = overloaded('no_bundle', 'No bundle is in force here yet.')
BAD_JSON = invalid(400, 'bad_json', 'The body is not a JSON object.')
BAD_METHOD = invalid(405, 'bad_method', 'The method is not allowed.')
BODY_CUT = invalid(400, 'body_cut', 'The body is not whole.')
TOO_LARGE = invalid(413, 'too_large', 'The body is too large.')
UNKNOWN_ADAPTER = invalid(
    404, 'unknown_adapter', 'The bundle in force names no such adapter.'
)
NO_SERVER = overloaded('no_server', 'No backend server can take it.')
LOAD_TIMEOUT = overloaded('load_timeout', 'The adapter was not loaded.')
STOPPING = overloaded('stopping', 'This entry is being stopped.')
CRASHES_SERVERS = invalid(
    422,
    'crashes_servers',
    'Requests like this one have crashed backend servers.',
)
OUTCOME_UNKNOWN_FAULT = Fault(
    502,
    'server_error',
    'outcome_unknown',
    'The request may have run; its answer was lost.',
)


def refuse(fault: Fault, retry_after_s: float | None = None) -> Reply:
    """Return the reply to a request that was not run.

    :param fault: the reason.
    :param retry_after_s: seconds after which the caller may retry.
    """
    return fault_reply(fault, NOT_RUN, retry_after_s)


def unknown_outcome() -> Reply:
    """Return the reply to a request that may have run."""
    return fault_reply(OUTCOME_UNKNOWN_FAULT, OUTCOME_UNKNOWN, None)


def fault_reply(
    fault: Fault, outcome: str, retry_after_s: float | None
) -> Reply:
    """Return an error as a reply.

    :param fault: the error.
    :param outcome: whether the request was run, as far as is known.
    :param retry_after_s: seconds after which the caller may retry, sent as a
        whole number of at least 1.
    """
    body = json.dumps({'error': fault.as_document()}).encode()
    headers = [
        JSON_TYPE,
        ('Content-Length', str(len(body))),
        (OUTCOME_HEADER, outcome),
    ]
    if retry_after_s is not None:
        headers.append(('Retry-After', str(max(1, round(retry_after_s)))))
    return Reply(fault.status, tuple(headers), (body,))
