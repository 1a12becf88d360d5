"""The HTTP interface for callers: authentication, routing and replies."""

import hmac
import random
import time
import uuid
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from prometheus_client import Counter

from wasabicross.callers.admission import Admission, Refused
from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.entry_link import EntryLink
from wasabicross.callers.model_calls import ModelCalls
from wasabicross.callers.replies import (
    BAD_METHOD,
    BODY_CUT,
    NO_BUNDLE,
    NO_ROUTE,
    OUTCOME_HEADER,
    STOPPING,
    TOO_LARGE,
    UNAUTHORISED,
    CallbackContent,
    Fault,
    Reply,
    refuse,
)
from wasabicross.callers.service_calls import ServiceCalls
from wasabicross.runtime.settings import TenantSettings
from wasabicross.servers.suspects import fingerprint

MAX_BODY_BYTES = 1024 * 1024
MS_PER_S = 1000
MAX_TIMEOUT_DIGITS = 9
STOPPING_RETRY_S = 1.0
REQUEST_ID_HEADER = 'X-Request-Id'
RETRY_AFTER_HEADER = 'Retry-After'

REQUESTS = Counter(
    'wasabicross_requests',
    'Requests answered, by tenant, class, status and outcome.',
    ('tenant', 'request_class', 'status', 'outcome'),
)

#: Header fields of callers that are not sent to backend servers.
_NOT_FORWARDED = frozenset(('HTTP_AUTHORIZATION', 'HTTP_X_REQUEST_ID'))

_Environ = dict[str, Any]
_StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerLimits(NamedTuple):
    """Bounds of a caller's request.

    :param max_request_s: maximum seconds from a request to its answer.
    :param max_body_bytes: largest body.
    """

    max_request_s: float
    max_body_bytes: int = MAX_BODY_BYTES


class CallerApi:
    """The WSGI application that answers callers.

    :param link: holds the bundle in force.
    :param tenants: the tenants that may call, each with a token.
    :param admission: admits requests or refuses them at once.
    :param model_calls: runs calls to models.
    :param service_calls: runs calls to plain services.
    :param limits: bounds of a request.
    """

    def __init__(
        self,
        link: EntryLink,
        tenants: Iterable[TenantSettings],
        admission: Admission,
        model_calls: ModelCalls,
        service_calls: ServiceCalls,
        limits: CallerLimits,
    ) -> None:
        self.is_stopping = False
        self._link = link
        self._tenants = tuple(tenants)
        self._admission = admission
        self._run_by_kind = {
            'engine': model_calls.run,
            'service': service_calls.run,
        }
        self._limits = limits

    def __call__(
        self, environ: _Environ, start_response: _StartResponse
    ) -> Iterable[bytes]:
        """Answer one request according to WSGI."""
        now_s = time.monotonic()
        accepted = self._accept(environ, now_s)
        if isinstance(accepted, Fault):
            retry_after_s = STOPPING_RETRY_S if accepted.status == 503 else None
            return self._send(refuse(accepted, retry_after_s), start_response)
        reply = self._run(accepted, now_s)
        REQUESTS.labels(
            accepted.tenant,
            accepted.route.request_class,
            str(reply.status),
            dict(reply.headers)[OUTCOME_HEADER],
        ).inc()
        return self._send(
            reply.with_header(REQUEST_ID_HEADER, accepted.request_id),
            start_response,
        )

    def _run(self, req: CallerRequest, now_s: float) -> Reply:
        admitted = self._admission.admit(
            req.tenant,
            req.route.request_class,
            _adapter(req),
            req.deadline_s - now_s,
            now_s,
        )
        if isinstance(admitted, Refused):
            overloaded = Fault(
                429, 'overloaded_error', admitted.reason, 'Too much to do.'
            )
            return refuse(overloaded, admitted.retry_after_s)
        try:
            reply = self._run_by_kind[req.route.kind](req)
        except BaseException:
            self._admission.release(admitted)
            raise
        retry_after = dict(reply.headers).get(RETRY_AFTER_HEADER)
        if retry_after is not None:
            # Callers whose requests failed together must not retry together.
            jittered_s = self._admission.retry_after_s(time.monotonic())
            latest_s = max(int(retry_after), jittered_s)
            reply = reply.with_header(RETRY_AFTER_HEADER, str(latest_s))
        content = CallbackContent(
            reply.content,
            lambda: self._admission.release(admitted, _run_s(reply)),
        )
        return reply._replace(content=content)

    def _accept(self, environ: _Environ, now_s: float) -> CallerRequest | Fault:
        tenant = self._tenant(environ.get('HTTP_AUTHORIZATION', ''))
        if tenant is None:
            return UNAUTHORISED
        if self.is_stopping:
            return STOPPING
        bundle = self._link.bundle
        if bundle is None:
            return NO_BUNDLE
        route = bundle.route(environ['PATH_INFO'])
        if route is None:
            return NO_ROUTE
        method = environ['REQUEST_METHOD']
        if route.kind == 'engine' and method != 'POST':
            return BAD_METHOD
        body = self._read_body(environ)
        if isinstance(body, Fault):
            return body
        timeout_s = self._timeout_s(environ)
        return CallerRequest(
            environ.get('HTTP_X_REQUEST_ID') or uuid.uuid4().hex,
            tenant,
            method,
            _path(environ),
            _headers(environ),
            body,
            bundle,
            route,
            environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            fingerprint(f'{tenant} {method} {_path(environ)}', body),
            now_s,
            now_s + timeout_s,
        )

    def _tenant(self, authorisation: str) -> str | None:
        scheme, _, token = authorisation.partition(' ')
        if scheme.lower() != 'bearer':
            return None
        for tenant in self._tenants:
            if hmac.compare_digest(tenant.token.encode(), token.encode()):
                return tenant.name
        return None

    def _timeout_s(self, environ: _Environ) -> float:
        timeout_text = environ.get('HTTP_X_REQUEST_TIMEOUT_MS', '')
        longest_s = self._limits.max_request_s
        if (
            not timeout_text.isdecimal()
            or len(timeout_text) > MAX_TIMEOUT_DIGITS
        ):
            return longest_s
        return min(longest_s, int(timeout_text) / MS_PER_S)

    def _read_body(self, environ: _Environ) -> bytes | Fault:
        max_bytes = self._limits.max_body_bytes
        if 'HTTP_TRANSFER_ENCODING' in environ:
            chunked: bytes = environ['wsgi.input'].read(max_bytes + 1)
            return TOO_LARGE if len(chunked) > max_bytes else chunked
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > max_bytes:
            return TOO_LARGE
        body: bytes = environ['wsgi.input'].read(length)
        # If the caller disconnected early, its incomplete request is not run.
        return BODY_CUT if len(body) < length else body

    def _send(
        self, reply: Reply, start_response: _StartResponse
    ) -> Iterable[bytes]:
        headers = list(reply.headers)
        if self.is_stopping:
            headers.append(('Connection', 'close'))
        status = HTTPStatus(reply.status)
        start_response(f'{reply.status} {status.phrase}', headers)
        return reply.content


def jitter_rng(seed: str) -> random.Random:
    """Return the generator that randomises the times of callers' retries.

    :param seed: a text that differs between processes.
    """
    return random.Random(seed)  # noqa: S311


def _adapter(req: CallerRequest) -> str:
    """Return the adapter that a model call names, empty for other calls."""
    if req.route.kind != 'engine':
        return ''
    return str((req.document() or {}).get('model', ''))


def _run_s(reply: Reply) -> float | None:
    since_s = reply.running_since_s
    return None if since_s is None else time.monotonic() - since_s


def _path(environ: _Environ) -> str:
    query = environ.get('QUERY_STRING', '')
    path: str = environ['PATH_INFO']
    return f'{path}?{query}' if query else path


def _headers(environ: _Environ) -> tuple[tuple[str, str], ...]:
    fields = [
        (name.removeprefix('HTTP_').replace('_', '-').title(), text)
        for name, text in environ.items()
        if name.startswith('HTTP_') and name not in _NOT_FORWARDED
    ]
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        fields.append(('Content-Type', content_type))
    return tuple(fields)
