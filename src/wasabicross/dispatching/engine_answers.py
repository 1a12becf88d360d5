"""Conversion of engines' answers to results and errors."""

from http import HTTPStatus
from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from wasabicross.dispatching.answers import Answer
from wasabicross.dispatching.dispatch import read_retry_after
from wasabicross.dispatching.engine_documents import ErrorBody, ErrorDocument
from wasabicross.dispatching.errors import (
    AdapterInUse,
    AdapterNotLoaded,
    AnswerCut,
    DispatchError,
    EngineAnswerMalformed,
    EngineUnreachable,
    LoadFailed,
    NotRun,
    OrderError,
    OrderOutcomeUnknown,
    OrderRefused,
    OutcomeUnknown,
    ServerRefused,
    SlotsFull,
)

#: Last bytes of a complete stream of server-sent events.
STREAM_END_MARK = b'data: [DONE]\n\n'

#: Statuses with which an engine refuses work for now.
_REFUSALS = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

#: Codes for orders whose effect is already in place.
_ALREADY_DONE_CODES = frozenset(('already_loaded', 'not_loaded'))

_Document = TypeVar('_Document', bound=BaseModel)


def check_call_answer(answer: Answer) -> Result[Answer, DispatchError]:
    """Return the answer, or an error if its status says the call was not run.

    After a gateway time-out the outcome is unknown: the call may have run.
    """
    if answer.status == HTTPStatus.NOT_FOUND:
        return Error(AdapterNotLoaded(_read_error_body(answer).message))
    if answer.status in _REFUSALS:
        return Error(
            ServerRefused(
                _read_error_body(answer).message,
                read_retry_after(answer),
            ),
        )
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        return Error(OutcomeUnknown(_read_error_body(answer).message))
    content_type = answer.header('Content-Type') or ''
    if content_type.startswith('text/event-stream'):
        answer.require_end_mark(STREAM_END_MARK)
    return Ok(answer)


def check_order_answer(answer: Answer) -> Result[None, OrderError]:
    """Return `None` if the order is in effect, otherwise the error."""
    try:
        body = answer.read()
    except AnswerCut as exc:
        return Error(OrderOutcomeUnknown(exc.reason))
    error = _parse_error(body)
    if answer.status == HTTPStatus.OK or error.code in _ALREADY_DONE_CODES:
        return Ok(None)
    if answer.status in _REFUSALS:
        return Error(EngineUnreachable(error.message, read_retry_after(answer)))
    return Error(_order_error_for_code(error))


def _order_error_for_code(error: ErrorBody) -> OrderError:
    match error.code:
        case 'stale_fencing_term':
            return OrderRefused(error.highest_term)
        case 'slots_full':
            return SlotsFull(error.message)
        case 'adapter_in_use':
            return AdapterInUse(error.message)
        case _:
            return LoadFailed(error.message)


def order_error_from(exc: DispatchError) -> OrderError:
    """Convert an error of the request into an error of its order."""
    if isinstance(exc, NotRun):
        return EngineUnreachable(exc.reason, exc.retry_after_s)
    return OrderOutcomeUnknown(exc.reason)


def _read_error_body(answer: Answer) -> ErrorBody:
    try:
        return _parse_error(answer.read())
    except AnswerCut:
        return ErrorBody()


def _parse_error(body: bytes) -> ErrorBody:
    try:
        return ErrorDocument.model_validate_json(body).error
    except ValidationError:
        return ErrorBody()


def read_document(
    answer: Answer,
    document_type: type[_Document],
) -> Result[_Document, OrderError]:
    """Read an answer as a document of the given type.

    Errors: OrderOutcomeUnknown, EngineAnswerMalformed.

    :param answer: the answer.
    :param document_type: pydantic model of the document.
    """
    try:
        return Ok(document_type.model_validate_json(answer.read()))
    except AnswerCut as exc:
        return Error(OrderOutcomeUnknown(exc.reason))
    except ValidationError as exc:
        return Error(EngineAnswerMalformed(str(exc)))
