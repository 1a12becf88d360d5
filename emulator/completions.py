"""Running and answering one chat completion of the stand-in engine."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from emulator.batch import Batch, Job
from emulator.faults import FaultPoint
from emulator.stream_server import ConnectionDied, Responder
from emulator.tokens import (
    AnswerText,
    chunk_event,
    complete_answer,
    digest_of,
    sse_event,
)

#: Exit code of an engine that was crashed by a request.
CRASH_EXIT_CODE = 13

_RETRY_HEADERS = (('Retry-After', '1'),)


class CompletionRequest(NamedTuple):
    """What a caller requests.

    :param load_name: load that the request runs on.
    :param produced_by: ``adapter@version`` of the weights to run.
    :param document: JSON body of the request.
    :param token_count: number of tokens of the answer.
    :param priority: requests with lower numbers start first.
    :param deadline_s: seconds until the engine ends the request.
    :param first_token_s: seconds from start to the first token.
    :param crash: called with the request's id at the first token to end the
        process; ``None`` for a request that does not crash it.
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
    """A completion that runs in the batch and answers its caller.

    :param request: what was requested.
    :param request_id: id given by the caller.
    :param responder: sends the answer to the caller.
    :param batch: batch in which it runs.
    """

    def __init__(
        self,
        request: CompletionRequest,
        request_id: str,
        responder: Responder,
        batch: Batch,
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._responder = responder
        self._batch = batch
        self._text = AnswerText(request.produced_by, request.document)
        self._ends_mid_stream = False
        self._resets_after_run = responder.die_at is FaultPoint.AFTER_RUN
        if request.is_streamed and responder.die_at is FaultPoint.MID_BODY:
            self._ends_mid_stream = True
            responder.die_at = None
        self.job = Job(
            request.load_name,
            request.priority,
            request.token_count,
            request.first_token_s,
            self._on_token,
        )

    async def run(self) -> None:
        """Run until the completion has ended, and answer it."""
        job = self.job
        self._responder.set_close_callback(
            lambda: self._batch.end(job, 'cancelled'),
        )
        timer = self._set_deadline()
        try:
            self._batch.submit(job)
            self._send_answer(await job.ended)
        finally:
            self._responder.set_close_callback(None)
            if timer is not None:
                timer.cancel()

    def log_entry(self) -> dict[str, Any]:
        """Return the request's entry for the engine's log."""
        job = self.job
        return {
            'event': 'request',
            'request_id': self._request_id,
            'load_name': job.load_name,
            'produced_by': self._request.produced_by,
            'outcome': job.ended.result() if job.ended.done() else 'running',
            'tokens': job.tokens,
            'body_digest': digest_of(self._request.document),
            'priority': job.priority,
            'accepted_at': job.accepted_at,
            'started_at': job.started_at,
            'first_token_at': job.first_token_at,
            'ended_at': time.monotonic(),
        }

    def _set_deadline(self) -> asyncio.TimerHandle | None:
        if self._request.deadline_s is None:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(
            self._request.deadline_s,
            self._batch.end,
            self.job,
            'deadline',
        )

    def _on_token(self, index: int) -> None:
        if self._request.crash is not None:
            self._request.crash(self._request_id)
        if not self._request.is_streamed or self._resets_after_run:
            return
        try:
            self._send_token(index)
        except ConnectionDied:
            self._batch.end(self.job, 'died')

    def _send_token(self, index: int) -> None:
        if index == 0:
            self._responder.start_stream('text/event-stream; charset=utf-8')
        if self._ends_mid_stream and index == self._request.token_count // 2:
            self._responder.die_at = FaultPoint.MID_BODY
        is_last = index + 1 == self._request.token_count
        event = chunk_event(
            self._answer_id,
            self._request.load_name,
            self._text.token(index),
            'length' if is_last else None,
        )
        self._responder.send_chunk(event)

    def _send_answer(self, outcome: str) -> None:
        match outcome:
            case 'completed' if self._resets_after_run:
                self._responder.reset()
            case 'completed' if self._request.is_streamed:
                self._end_stream()
            case 'completed':
                self._send_complete()
            case 'deadline':
                self._send_deadline()
            case _:
                self._responder.reset()

    def _end_stream(self) -> None:
        options = self._request.document.get('stream_options') or {}
        if options.get('include_usage'):
            event = {
                'id': self._answer_id,
                'object': 'chat.completion.chunk',
                'created': 0,
                'model': self._request.load_name,
                'choices': [],
                'usage': self._usage(),
            }
            self._responder.send_chunk(sse_event(event))
        self._responder.send_chunk(b'data: [DONE]\n\n')
        self._responder.end_stream()

    def _send_complete(self) -> None:
        document = complete_answer(
            self._answer_id,
            self._request.load_name,
            self._text.full_text(self._request.token_count),
            self._usage(),
        )
        self._responder.send_json(200, document)

    def _send_deadline(self) -> None:
        error = error_document('deadline_exceeded', 'the deadline has passed')
        if self.job.started_at is None:
            self._responder.send_json(503, error, _RETRY_HEADERS)
        elif self.job.tokens and self._request.is_streamed:
            self._responder.send_chunk(sse_event(error))
            self._responder.end_stream()
        else:
            self._responder.send_json(504, error)

    @property
    def _answer_id(self) -> str:
        return f'chatcmpl-{self._request_id}'

    def _usage(self) -> dict[str, int]:
        prompt_tokens = (
            len(str(self._request.document.get('messages', ''))) // 4
        )
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self._request.token_count,
            'total_tokens': prompt_tokens + self._request.token_count,
        }


def error_document(
    code: str,
    message: str,
    **more: Any,
) -> dict[str, Any]:
    """Return an error document in the format of inference APIs."""
    return {
        'error': {
            'message': message,
            'type': 'invalid_request_error',
            'code': code,
            **more,
        },
    }
