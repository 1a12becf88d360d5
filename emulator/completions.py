"""One chat completion on its way through the stand-in engine."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from emulator.batch import Batch, Job
from emulator.faults import Point
from emulator.stream_server import ConnectionDied, Responder
from emulator.tokens import (
    AnswerText,
    chunk_event,
    complete_answer,
    digest_of,
    sse_event,
)

#: Exit code of an engine that a request has crashed.
CRASH_EXIT_CODE = 13

_RETRY_SOON = (('Retry-After', '1'),)


class CompletionOrder(NamedTuple):
    """What a caller asks for.

    :param produced_by: ``adapter@version`` of the weights to run.
    :param token_count: length of the answer.
    :param deadline_s: seconds until the engine ends the request.
    :param crash: ends the process at the first token, given the request's id;
        None for a request that does no harm.
    """

    load_name: str
    produced_by: str
    document: dict[str, Any]
    token_count: int
    priority: int
    deadline_s: float | None
    first_token_s: float
    crash: Callable[[str], None] | None = None

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is a stream of events."""
        return bool(self.document.get('stream'))


class Completion:
    """A running completion and its way back.

    :param order: what was asked for.
    :param request_id: as given by the caller.
    :param responder: to the caller.
    :param batch: that it runs in.
    """

    def __init__(
        self,
        order: CompletionOrder,
        request_id: str,
        responder: Responder,
        batch: Batch,
    ) -> None:
        self._order = order
        self._request_id = request_id
        self._responder = responder
        self._batch = batch
        self._text = AnswerText(order.produced_by, order.document)
        self._dies_mid_stream = False
        self._is_silent = responder.die_at is Point.AFTER_RUN
        if order.is_streamed and responder.die_at is Point.MID_BODY:
            self._dies_mid_stream = True
            responder.die_at = None
        self.job = Job(
            order.load_name,
            order.priority,
            order.token_count,
            order.first_token_s,
            self._emit,
        )

    async def run(self) -> None:
        """Run to the end and answer."""
        job = self.job
        self._responder.call_when_gone(
            lambda: self._batch.end(job, 'cancelled'),
        )
        timer = self._set_deadline()
        try:
            self._batch.submit(job)
            self._answer(await job.ended)
        finally:
            self._responder.call_when_gone(None)
            if timer is not None:
                timer.cancel()

    def log_entry(self) -> dict[str, Any]:
        """Return what happened to the request."""
        job = self.job
        return {
            'event': 'request',
            'request_id': self._request_id,
            'load_name': job.load_name,
            'produced_by': self._order.produced_by,
            'outcome': job.ended.result() if job.ended.done() else 'running',
            'tokens': job.tokens,
            'body_digest': digest_of(self._order.document),
            'priority': job.priority,
            'accepted_at': job.accepted_at,
            'started_at': job.started_at,
            'first_token_at': job.first_token_at,
            'ended_at': time.monotonic(),
        }

    def _set_deadline(self) -> asyncio.TimerHandle | None:
        if self._order.deadline_s is None:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(
            self._order.deadline_s,
            self._batch.end,
            self.job,
            'deadline',
        )

    def _emit(self, index: int) -> None:
        if self._order.crash is not None:
            self._order.crash(self._request_id)
        if not self._order.is_streamed or self._is_silent:
            return
        try:
            self._send_token(index)
        except ConnectionDied:
            self._batch.end(self.job, 'died')

    def _send_token(self, index: int) -> None:
        if index == 0:
            self._responder.start_stream('text/event-stream; charset=utf-8')
        if self._dies_mid_stream and index == self._order.token_count // 2:
            self._responder.die_at = Point.MID_BODY
        is_last = index + 1 == self._order.token_count
        event = chunk_event(
            self._answer_id,
            self._order.load_name,
            self._text.token(index),
            'length' if is_last else None,
        )
        self._responder.send_chunk(event)

    def _answer(self, outcome: str) -> None:
        match outcome:
            case 'completed' if self._is_silent:
                self._responder.reset()
            case 'completed' if self._order.is_streamed:
                self._end_stream()
            case 'completed':
                self._send_whole()
            case 'deadline':
                self._send_deadline()
            case _:
                self._responder.reset()

    def _end_stream(self) -> None:
        options = self._order.document.get('stream_options') or {}
        if options.get('include_usage'):
            event = {
                'id': self._answer_id,
                'object': 'chat.completion.chunk',
                'created': 0,
                'model': self._order.load_name,
                'choices': [],
                'usage': self._usage(),
            }
            self._responder.send_chunk(sse_event(event))
        self._responder.send_chunk(b'data: [DONE]\n\n')
        self._responder.end_stream()

    def _send_whole(self) -> None:
        document = complete_answer(
            self._answer_id,
            self._order.load_name,
            self._text.full_text(self._order.token_count),
            self._usage(),
        )
        self._responder.send_json(200, document)

    def _send_deadline(self) -> None:
        error = error_document('deadline_exceeded', 'the deadline has passed')
        if self.job.started_at is None:
            self._responder.send_json(503, error, _RETRY_SOON)
        elif self.job.tokens and self._order.is_streamed:
            self._responder.send_chunk(sse_event(error))
            self._responder.end_stream()
        else:
            self._responder.send_json(504, error)

    @property
    def _answer_id(self) -> str:
        return f'chatcmpl-{self._request_id}'

    def _usage(self) -> dict[str, int]:
        prompt_tokens = len(str(self._order.document.get('messages', ''))) // 4
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self._order.token_count,
            'total_tokens': prompt_tokens + self._order.token_count,
        }


def error_document(
    code: str,
    message: str,
    **more: Any,
) -> dict[str, Any]:
    """Return an error in the shape that inference clients know."""
    return {
        'error': {
            'message': message,
            'type': 'invalid_request_error',
            'code': code,
            **more,
        },
    }
