"""The platform's header fields in requests and in answers of servers."""

from __future__ import annotations

import hashlib
import re

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.connections.http_heads import (
    CallerRequest,
    Fields,
    field,
    forwarded_fields,
    number_field,
)
from wasabicross.gateway.connections.server_messages import (
    AnswerHead,
    ServerRequest,
)
from wasabicross.gateway.dialect import (
    AnswerKind,
    ForwardingOptions,
    RequestInfo,
)
from wasabicross.gateway.server_limits.stated import StatedLimits
from wasabicross.gateway.server_notices import ServerNotice
from wasabicross.platform.values import digits

#: Id of a request; each answer repeats it.
REQUEST_ID = b'request-id'

_TIME_LEFT_MS = b'time-left-ms'
_MODEL = b'model'
_TOKEN_COUNT = b'token-count'
_PROMPT_PREFIX = b'prompt-prefix'
_KV_FETCH = b'kv-fetch'
_EXPECT_INSTANCE = b'expect-instance'
_EXPECT_VERSION = b'expect-version'
_REQUEST_PRIORITY = b'request-priority'
_LAST_EVENT_ID = b'last-event-id'
_RESUMES = b'resumes'
_NOT_RUN = b'not-run'
_RETRY_AFTER = b'retry-after'
_SERVER_STAMP = b'server-stamp'
_SERVER_LEAVING = b'server-leaving'
_SERVER_LIMIT = b'server-limit'
_SERVER_BRITTLE = b'server-brittle'

#: A number of requests a second; what isn't one states nothing.
_RATE = re.compile(rb'\d{1,12}(\.\d{0,12})?([eE]\+?\d)?')

_MS_IN_S = 1000
#: Path at which the platform asks whether a machine accepts requests.
READY_PATH = '/-/ready'

#: Longest id of a part of a prompt that is kept as it is, in characters.
_MAX_PART_ID = 16

_SUCCESSES = range(200, 300)
_MISDIRECTED = 421
_REFUSED = (429, 503)

#: Statuses by which callers take a request for not run.
_PROMISES = frozenset((408, _MISDIRECTED, *_REFUSED))
_FIRST_SERVER_ERROR = 500

#: Longest number of tokens that is believed.
_MAX_TOKEN_DIGITS = 9

#: Fields that only the gateway may send to a server; those of callers are
#: removed.
_RESERVED = frozenset(
    (
        _TIME_LEFT_MS,
        _EXPECT_INSTANCE,
        _EXPECT_VERSION,
        _REQUEST_PRIORITY,
        _LAST_EVENT_ID,
        b'pin-ms',
        b'hold',
        _KV_FETCH,
        b'kv-from',
        b'kv-backup',
        b'content-length',
    )
)


#: Fields that a gateway replaces where it forwards a request to another one.
_REPLACED = frozenset((_TIME_LEFT_MS, b'content-length'))

#: Fields that describe a request and are always forwarded, also when the
#: caller lists them in `Connection`.
_FORWARDED = frozenset(
    (
        REQUEST_ID,
        _MODEL,
        _TOKEN_COUNT,
        b'host',
        _PROMPT_PREFIX,
        b'length-hint',
    )
)


class PlatformDialect:
    """Parses and writes the platform's header fields."""

    def parse_request(self, req: CallerRequest) -> RequestInfo:
        """Return what the header fields of a request say about it.

        :param req: the request as the caller sent it.
        """
        time_left_ms = number_field(req.fields, _TIME_LEFT_MS)
        prefix = field(req.fields, _PROMPT_PREFIX)
        return RequestInfo(
            request_id=field(req.fields, REQUEST_ID),
            adapter=_adapter(field(req.fields, _MODEL)),
            time_left_s=None
            if time_left_ms is None
            else time_left_ms / _MS_IN_S,
            last_event_id=field(req.fields, _LAST_EVENT_ID),
            prompt_tokens=_prompt_tokens(field(req.fields, _TOKEN_COUNT)),
            shared_tokens=_shared_tokens(prefix),
            parts=_shared_parts(prefix),
            resumes=_only_value(req.fields, _RESUMES),
        )

    def request(
        self, req: CallerRequest, options: ForwardingOptions
    ) -> ServerRequest:
        """Return the request to send to a server.

        :param req: the request as the caller sent it.
        :param options: values that the gateway adds.
        """
        fields = forwarded_fields(req.fields, _RESERVED, _FORWARDED)
        fields.extend(_gateway_fields(options))
        return _with_length(req, fields)

    def forwarded_request(
        self, req: CallerRequest, time_left_s: float
    ) -> ServerRequest:
        """Return the request in the form in which another gateway gets it.

        :param req: the request as the caller sent it.
        :param time_left_s: how long the other gateway may take, seconds.
        """
        fields = forwarded_fields(req.fields, _REPLACED, _FORWARDED)
        fields.append((_TIME_LEFT_MS, _milliseconds(time_left_s)))
        return _with_length(req, fields)

    def classify(self, head: AnswerHead) -> AnswerKind:
        """Return how the server has treated the request.

        :param head: head of the server's answer.
        """
        if head.status == _MISDIRECTED:
            return AnswerKind.not_held
        if field(head.fields, _NOT_RUN):
            return AnswerKind.not_run
        if head.status in _PROMISES:
            return AnswerKind.unconfirmed
        if head.status >= _FIRST_SERVER_ERROR:
            return AnswerKind.failed
        if head.status in _SUCCESSES and not field(head.fields, _SERVER_STAMP):
            return AnswerKind.unmarked
        return AnswerKind.answered

    def is_promise(self, head: AnswerHead) -> bool:
        """Return whether an answer tells its caller that nothing has run.

        :param head: head of the answer.
        """
        return head.status in _PROMISES

    def notice(self, head: AnswerHead) -> ServerNotice:
        """Return what an answer says about further requests to its server.

        :param head: head of the server's answer.
        """
        return server_notice(head)

    def limits(self, head: AnswerHead) -> StatedLimits | None:
        """Return which load the server of an answer bears.

        :param head: head of the server's answer.
        """
        return stated_limits(head)

    def refusal_fields(
        self, request_id: str, retry_after_s: float | None
    ) -> Fields:
        """Return the header fields of an answer that the gateway generates.

        :param request_id: id of the request, empty if it has none.
        :param retry_after_s: seconds after which the caller may retry; None
            leaves the field out.
        """
        fields: Fields = []
        if request_id:
            fields.append((REQUEST_ID, request_id.encode('latin-1')))
        if retry_after_s is not None:
            fields.append((_RETRY_AFTER, f'{retry_after_s:.2f}'.encode()))
        return fields


def _with_length(req: CallerRequest, fields: Fields) -> ServerRequest:
    if req.body or req.method not in {b'GET', b'HEAD', b'DELETE'}:
        fields.append((b'content-length', str(len(req.body)).encode()))
    return ServerRequest(req.method, req.target, fields, req.body)


def _milliseconds(time_s: float) -> bytes:
    return str(max(1, int(time_s * _MS_IN_S))).encode()


def server_notice(head: AnswerHead) -> ServerNotice:
    """Return what an answer says about further requests to its server.

    :param head: head of the server's answer.
    """
    pause_s: float = 0
    if head.status in _REFUSED:
        pause_s = number_field(head.fields, _RETRY_AFTER) or 0
    is_leaving = field(head.fields, _SERVER_LEAVING) not in {'', '0'}
    return ServerNotice(is_leaving, pause_s)


def stated_limits(head: AnswerHead) -> StatedLimits | None:
    """Return which load a server bears, None if its answer is unreadable.

    :param head: head of the server's answer.
    """
    try:
        return StatedLimits(
            _lowest_rate(head.fields, _SERVER_LIMIT),
            _lowest_rate(head.fields, _SERVER_BRITTLE),
        )
    except ValueError:
        return None


def _lowest_rate(fields: Fields, name: bytes) -> float | None:
    """Return the lowest value of a field that may be repeated.

    :raises ValueError: a value isn't a rate.
    """
    stated = [content.strip() for each, content in fields if each == name]
    if not all(_RATE.fullmatch(content) for content in stated):
        raise ValueError('not a rate')
    return min((float(content) for content in stated), default=None)


def _only_value(fields: Fields, name: bytes) -> str:
    """Return the value of a field, empty if it is stated with several."""
    stated = {content for each, content in fields if each == name}
    return stated.pop().decode('latin-1') if len(stated) == 1 else ''


def _adapter(model: str) -> AdapterKey | None:
    name, _, adapter = model.partition('/')
    return AdapterKey(name, adapter) if name else None


def _prompt_tokens(counts: str) -> int:
    """Return the prompt length, the first of two comma-separated counts."""
    return _tokens(counts.partition(',')[0])


def _shared_tokens(parts: str) -> int:
    """Return the length of all parts of a prompt but the last.

    Parts are pairs `ID:TOKENS`, separated by commas. The last one belongs to
    the request itself.
    """
    lengths = [part.partition(':')[2] for part in parts.split(',')]
    return sum(_tokens(each) for each in lengths[:-1])


def _tokens(count: str) -> int:
    """Return a number of tokens, 0 if it is missing or improper."""
    try:
        return digits(count.strip(), _MAX_TOKEN_DIGITS)
    except ValueError:
        return 0


def _shared_parts(parts: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last.

    A long id is replaced by a digest.
    """
    shared = parts.rpartition(',')[0]
    if not shared:
        return ()
    part_ids = (part.partition(':')[0].strip() for part in shared.split(','))
    return tuple(
        part_id if len(part_id) <= _MAX_PART_ID else _digest(part_id)
        for part_id in part_ids
        if part_id
    )


def _digest(text: str) -> str:
    digest = hashlib.blake2b(
        text.encode('latin-1', 'replace'), digest_size=_MAX_PART_ID // 2
    )
    return digest.hexdigest()


def _gateway_fields(options: ForwardingOptions) -> Fields:
    fields = [
        (_EXPECT_INSTANCE, options.server_id.encode()),
        (_TIME_LEFT_MS, _milliseconds(options.time_left_s)),
        (_REQUEST_PRIORITY, str(min(9, options.priority)).encode()),
    ]
    if options.version:
        fields.append((_EXPECT_VERSION, str(options.version).encode()))
    if options.last_event_id:
        event_id = options.last_event_id.encode('latin-1')
        fields.append((_LAST_EVENT_ID, event_id))
    source = options.prompt_source
    if source is not None:
        address = f'{source.host}:{source.port}'
        fields.append((_KV_FETCH, address.encode()))
    return fields
