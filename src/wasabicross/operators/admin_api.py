"""The HTTP interface of operators.

It authenticates operators, parses their requests and writes the answers.
"""

import hmac
import json
import re
from collections.abc import Callable, Iterable
from datetime import datetime, timezone
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from expression import Error, Ok, Result

from wasabicross.callers.replies import Fault
from wasabicross.operators import admin_errors as faults
from wasabicross.operators.admin_actions import (
    ActionResult,
    AdminActions,
    AdminRequest,
)
from wasabicross.operators.admin_errors import details_of, fault_of
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.settings import OperatorSettings

MAX_BODY_BYTES = 8 * 1024 * 1024
RETRY_AFTER_S = 1

_BUNDLE = '/v1/bundles/(?P<digest>[0-9a-f]{64})'
_NUMBER_FIELDS = frozenset(('number', 'limit'))
_MAX_DIGITS = 9

_Environ = dict[str, Any]
_StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class _Endpoint(NamedTuple):
    method: str
    path: re.Pattern[str]
    action: Callable[[AdminRequest], ActionResult]


class AdminApi:
    """The WSGI application of the administration API.

    :param operators: the operators who may use it, with their tokens.
    :param actions: carries out the requests.
    """

    def __init__(
        self,
        operators: Iterable[OperatorSettings],
        actions: AdminActions,
    ) -> None:
        self._operators = tuple(operators)
        self._endpoints = tuple(
            _Endpoint(method, re.compile(path), action)
            for method, path, action in (
                ('POST', '/v1/bundles', actions.prepare),
                ('GET', _BUNDLE, actions.show),
                ('POST', f'{_BUNDLE}/signature', actions.sign_off),
                ('POST', f'{_BUNDLE}/roll', actions.roll),
                ('POST', f'{_BUNDLE}/supersede', actions.supersede),
                ('GET', '/v1/status', actions.status),
                ('GET', '/v1/history', actions.history),
            )
        )

    def __call__(
        self,
        environ: _Environ,
        start_response: _StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request as a WSGI application."""
        try:
            outcome = self._answer(environ, datetime.now(timezone.utc))
        except Exception as exc:  # a defect must not affect other requests
            log_event(
                Event.ADMIN_REQUEST_FAILED,
                path=environ['PATH_INFO'],
                reason=repr(exc),
            )
            outcome = Error(faults.INTERNAL)
        return _send(outcome, start_response)

    def _answer(self, environ: _Environ, now: datetime) -> ActionResult:
        operator = self._operator_of(environ.get('HTTP_AUTHORIZATION', ''))
        if operator is None:
            log_event(Event.OPERATOR_REFUSED, path=environ['PATH_INFO'])
            return Error(faults.UNAUTHORISED)
        endpoint = self._endpoint_of(environ)
        if isinstance(endpoint, Fault):
            return Error(endpoint)
        number = _number_of(environ.get('QUERY_STRING', ''))
        if number.is_error():
            return Error(number.error)
        body = _body_of(environ)
        if isinstance(body, Fault):
            return Error(body)
        match = endpoint.path.fullmatch(environ['PATH_INFO'])
        digest = match.groupdict().get('digest', '') if match else ''
        return endpoint.action(
            AdminRequest(operator, digest, number.ok, body, now),
        )

    def _operator_of(self, authorization: str) -> str | None:
        scheme, _, token = authorization.partition(' ')
        given = token.strip().encode('utf-8', 'replace')
        found = None
        for operator in self._operators:
            if hmac.compare_digest(operator.token.encode(), given):
                found = operator.name
        return found if scheme.lower() == 'bearer' else None

    def _endpoint_of(self, environ: _Environ) -> _Endpoint | Fault:
        at_path = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.path.fullmatch(environ['PATH_INFO'])
        ]
        for endpoint in at_path:
            if endpoint.method == environ['REQUEST_METHOD']:
                return endpoint
        return faults.BAD_METHOD if at_path else faults.NO_PATH


def _number_of(query: str) -> Result[int | None, Fault]:
    """Return the number in a query, None for an empty query."""
    fields = parse_qsl(query, keep_blank_values=True)
    if not fields:
        return Ok(None)
    name, text = fields[0]
    is_known = len(fields) == 1 and name in _NUMBER_FIELDS
    is_number = text.isascii() and text.isdecimal()
    if is_known and is_number and len(text) <= _MAX_DIGITS and int(text):
        return Ok(int(text))
    return Error(faults.BAD_QUERY)


def _body_of(environ: _Environ) -> bytes | Fault:
    if 'HTTP_TRANSFER_ENCODING' in environ:
        return faults.LENGTH_NEEDED
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not (declared.isascii() and declared.isdecimal()):
        return faults.LENGTH_NEEDED
    length = int(declared)
    if length > MAX_BODY_BYTES:
        return faults.TOO_LARGE
    body: bytes = environ['wsgi.input'].read(length) if length else b''
    return body if len(body) == length else faults.BODY_CUT


def _send(
    outcome: ActionResult,
    start_response: _StartResponse,
) -> Iterable[bytes]:
    status = HTTPStatus.OK
    headers = [('Content-Type', 'application/json')]
    if outcome.is_ok():
        content = outcome.ok
    else:
        fault = _fault_of(outcome)
        status = HTTPStatus(fault.status)
        content = _error_document(fault, outcome.error)
    body = json.dumps(content).encode()
    headers.append(('Content-Length', str(len(body))))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        headers.append(('Retry-After', str(RETRY_AFTER_S)))
    start_response(f'{status.value} {status.phrase}', headers)
    return [body]


def _fault_of(outcome: ActionResult) -> Fault:
    exc = outcome.error
    return exc if isinstance(exc, Fault) else fault_of(exc)


def _error_document(fault: Fault, exc: Any) -> dict[str, Any]:
    return {'error': {**fault.as_document(), **details_of(exc)}}
