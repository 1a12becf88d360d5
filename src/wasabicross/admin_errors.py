"""Errors of the administration API: status, type and stable code of each."""

from functools import singledispatch
from http import HTTPStatus
from typing import Any, NamedTuple

from wasabicross import exceptions as exc_types

INVALID = 'invalid_request_error'
CONFLICT = 'conflict_error'
PLATFORM = 'platform_error'


class AdminFault(NamedTuple):
    """An error as operators' programs see it.

    :param status: HTTP status.
    :param kind: group of errors, told as ``type``.
    :param code: stable word for machines.
    :param message: a sentence for readers.
    """

    status: HTTPStatus
    kind: str
    code: str
    message: str


UNAUTHORISED = AdminFault(
    HTTPStatus.UNAUTHORIZED,
    'authentication_error',
    'unauthorised',
    'A valid operator token is needed.',
)
NO_PATH = AdminFault(
    HTTPStatus.NOT_FOUND,
    INVALID,
    'no_path',
    'There is nothing at this path.',
)
BAD_METHOD = AdminFault(
    HTTPStatus.METHOD_NOT_ALLOWED,
    INVALID,
    'bad_method',
    'The method is not allowed here.',
)
LENGTH_NEEDED = AdminFault(
    HTTPStatus.LENGTH_REQUIRED,
    INVALID,
    'length_required',
    'The body needs a valid Content-Length.',
)
TOO_LARGE = AdminFault(
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    INVALID,
    'too_large',
    'The body is too large.',
)
BODY_CUT = AdminFault(
    HTTPStatus.BAD_REQUEST,
    INVALID,
    'body_cut',
    'The body ended early.',
)
BAD_BODY = AdminFault(
    HTTPStatus.BAD_REQUEST,
    INVALID,
    'bad_body',
    'The body is not what this path takes.',
)
BAD_QUERY = AdminFault(
    HTTPStatus.BAD_REQUEST,
    INVALID,
    'bad_query',
    'The query needs a positive whole number.',
)
INTERNAL = AdminFault(
    HTTPStatus.INTERNAL_SERVER_ERROR,
    'server_error',
    'internal_error',
    'The request failed; see event 4006 in the logs.',
)

_KINDS: dict[type[Exception], tuple[HTTPStatus, str, str]] = {
    exc_types.BundleFileError: (
        HTTPStatus.UNPROCESSABLE_ENTITY,
        INVALID,
        'bundle_invalid',
    ),
    exc_types.UnknownBundle: (HTTPStatus.NOT_FOUND, INVALID, 'unknown_bundle'),
    exc_types.SignatureRefused: (
        HTTPStatus.UNPROCESSABLE_ENTITY,
        INVALID,
        'signature_refused',
    ),
    exc_types.BundleNotSigned: (HTTPStatus.CONFLICT, CONFLICT, 'not_signed'),
    exc_types.RaceLost: (HTTPStatus.CONFLICT, CONFLICT, 'race_lost'),
    exc_types.AlreadySuperseded: (
        HTTPStatus.CONFLICT,
        CONFLICT,
        'already_superseded',
    ),
    exc_types.StillRolling: (HTTPStatus.CONFLICT, CONFLICT, 'still_rolling'),
    exc_types.SpreadUnknown: (HTTPStatus.CONFLICT, CONFLICT, 'spread_unknown'),
    exc_types.StoreUnavailable: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        PLATFORM,
        'store_unavailable',
    ),
    exc_types.RollOutcomeUnknown: (
        HTTPStatus.GATEWAY_TIMEOUT,
        PLATFORM,
        'outcome_unknown',
    ),
    exc_types.StoredDataMalformed: (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        PLATFORM,
        'stored_data_malformed',
    ),
}


def fault_of(exc: Exception) -> AdminFault:
    """Return how an error of an action is told.

    :param exc: the error.
    """
    status, kind, code = _KINDS[type(exc)]
    return AdminFault(status, kind, code, str(exc))


@singledispatch
def details_of(exc: Exception) -> dict[str, Any]:
    """Return what is told beside the message of an error.

    :param exc: the error.
    """
    return {}


@details_of.register
def _(exc: exc_types.BundleFileError) -> dict[str, Any]:
    return {'faults': [fault._asdict() for fault in exc.faults]}


@details_of.register(exc_types.RaceLost)
@details_of.register(exc_types.AlreadySuperseded)
def _(
    exc: exc_types.RaceLost | exc_types.AlreadySuperseded,
) -> dict[str, Any]:
    return {'winner': exc.winner._asdict()}


@details_of.register
def _(exc: exc_types.StillRolling) -> dict[str, Any]:
    return {'data_centres': list(exc.data_centres)}
