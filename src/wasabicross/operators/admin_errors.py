"""Errors of the administration API: status, type and stable code of each."""

from functools import singledispatch
from http import HTTPStatus
from typing import Any, NamedTuple

from wasabicross.bundles import errors as exc_types
from wasabicross.bundles import rollout_errors
from wasabicross.callers.replies import Fault, FaultKind, invalid


class _FaultGroup(NamedTuple):
    """Status and type that several errors share."""

    status: HTTPStatus
    kind: FaultKind


_INVALID = _FaultGroup(HTTPStatus.UNPROCESSABLE_ENTITY, 'invalid_request_error')
_UNKNOWN = _FaultGroup(HTTPStatus.NOT_FOUND, 'invalid_request_error')
_CONFLICT = _FaultGroup(HTTPStatus.CONFLICT, 'conflict_error')
_UNAVAILABLE = _FaultGroup(HTTPStatus.SERVICE_UNAVAILABLE, 'platform_error')
_NO_ANSWER = _FaultGroup(HTTPStatus.GATEWAY_TIMEOUT, 'platform_error')
_MALFORMED = _FaultGroup(HTTPStatus.INTERNAL_SERVER_ERROR, 'platform_error')

UNAUTHORISED = Fault(
    HTTPStatus.UNAUTHORIZED,
    'authentication_error',
    'unauthorised',
    'A valid operator token is needed.',
)
NO_PATH = invalid(
    HTTPStatus.NOT_FOUND, 'no_path', 'There is nothing at this path.'
)
BAD_METHOD = invalid(
    HTTPStatus.METHOD_NOT_ALLOWED,
    'bad_method',
    'The method is not allowed here.',
)
LENGTH_NEEDED = invalid(
    HTTPStatus.LENGTH_REQUIRED,
    'length_required',
    'The body needs a valid Content-Length.',
)
TOO_LARGE = invalid(
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'too_large', 'The body is too large.'
)
BODY_CUT = invalid(HTTPStatus.BAD_REQUEST, 'body_cut', 'The body ended early.')
BAD_BODY = invalid(
    HTTPStatus.BAD_REQUEST,
    'bad_body',
    'The body is not what this path takes.',
)
BAD_QUERY = invalid(
    HTTPStatus.BAD_REQUEST,
    'bad_query',
    'The query needs a positive whole number.',
)
INTERNAL = Fault(
    HTTPStatus.INTERNAL_SERVER_ERROR,
    'server_error',
    'internal_error',
    'The request failed; see event 4006 in the logs.',
)

_GROUPS_AND_CODES: dict[type[Exception], tuple[_FaultGroup, str]] = {
    exc_types.BundleFileError: (_INVALID, 'bundle_invalid'),
    rollout_errors.UnknownBundle: (_UNKNOWN, 'unknown_bundle'),
    rollout_errors.SignatureRefused: (_INVALID, 'signature_refused'),
    rollout_errors.BundleNotSigned: (_CONFLICT, 'not_signed'),
    rollout_errors.RaceLost: (_CONFLICT, 'race_lost'),
    rollout_errors.AlreadySuperseded: (_CONFLICT, 'already_superseded'),
    rollout_errors.StillRolling: (_CONFLICT, 'still_rolling'),
    rollout_errors.SpreadUnknown: (_CONFLICT, 'spread_unknown'),
    rollout_errors.StoreUnavailable: (_UNAVAILABLE, 'store_unavailable'),
    rollout_errors.RollOutcomeUnknown: (_NO_ANSWER, 'outcome_unknown'),
    rollout_errors.StoredDataMalformed: (_MALFORMED, 'stored_data_malformed'),
}


def fault_of(exc: Exception) -> Fault:
    """Return the fault that answers an error of an action.

    :param exc: the error.
    """
    group, code = _GROUPS_AND_CODES[type(exc)]
    return Fault(group.status, group.kind, code, str(exc))


@singledispatch
def details_of(exc: Exception) -> dict[str, Any]:
    """Return the fields of an answer besides the message of an error.

    :param exc: the error.
    """
    return {}


@details_of.register
def _(exc: exc_types.BundleFileError) -> dict[str, Any]:
    return {'faults': [fault._asdict() for fault in exc.faults]}


@details_of.register(rollout_errors.RaceLost)
@details_of.register(rollout_errors.AlreadySuperseded)
def _(
    exc: rollout_errors.RaceLost | rollout_errors.AlreadySuperseded,
) -> dict[str, Any]:
    return {'winner': exc.winner._asdict()}


@details_of.register
def _(exc: rollout_errors.StillRolling) -> dict[str, Any]:
    return {'data_centres': list(exc.data_centres)}
