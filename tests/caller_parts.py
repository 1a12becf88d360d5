"""Call a deployment and check its answers against the engines' logs."""

import http.client
import json
import random
import threading
from collections.abc import Callable
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any, NamedTuple

from emulator.completions import error_document
from emulator.deployment import HOST, TENANT_TOKEN
from emulator.tokens import (
    AnswerText,
    chunk_event,
    complete_answer,
    digest_of,
    sse_event,
)
from emulator.waiting import wait_until

COMPLETIONS = '/v1/chat/completions'
DEADLINE_EVENT = sse_event(
    error_document('deadline_exceeded', 'the deadline has passed')
)
ADAPTERS = tuple(f'adapter-{number}' for number in range(6))


class Answer(NamedTuple):
    """An answer as received; status 0 if the connection broke before a head."""

    request_id: str
    document: dict[str, Any]
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    min_bundle: int

    @property
    def outcome(self) -> str:
        return self.headers.get('X-Wasabicross-Outcome', '')

    @property
    def bundle(self) -> int:
        return int(self.headers['X-Wasabicross-Bundle'])

    @property
    def completed(self) -> bool:
        return (self.status, self.is_complete) == (200, True)


def model_document(adapter, stream=True, tokens=8, text='hello'):
    return {
        'model': adapter,
        'stream': stream,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': text}],
    }


def any_adapter(rng, tokens=(1, 12)):
    return model_document(
        rng.choice(ADAPTERS),
        stream=rng.random() < 0.7,
        tokens=rng.randint(*tokens),
        text=f'text {rng.randint(0, 10**9)}',
    )


def exchange(
    entry, document, request_id, min_bundle=0, *, path=COMPLETIONS,
    method='POST', headers=None, on_chunk: Callable[[int], bool] | None = None,
):  # fmt: skip
    """Send one request on a new connection and read its answer.

    :param on_chunk: called with the number of chunks read so far; the caller
        disconnects when it returns true.
    """
    conn = http.client.HTTPConnection(HOST, entry.port, timeout=30)
    status, fields, body, is_complete = 0, {}, b'', False
    try:
        conn.request(
            method,
            path,
            json.dumps(document),
            {
                'Authorization': f'Bearer {TENANT_TOKEN}',
                'Content-Type': 'application/json',
                'X-Request-Id': request_id,
                **(headers or {}),
            },
        )
        resp = conn.getresponse()
        status, fields = resp.status, dict(resp.headers)
        chunks = 0
        while True:
            chunk = resp.read1()
            if not chunk:
                ended = resp.chunked and resp.isclosed()
                is_complete = resp.length == 0 or ended
                break
            body += chunk
            chunks += 1
            if on_chunk is not None and on_chunk(chunks):
                break
    except (OSError, http.client.HTTPException):
        is_complete = False
    finally:
        conn.close()
    return Answer(
        request_id, document, status, fields, body, is_complete, min_bundle
    )


def expected_body(answer, logged):
    """Return the body that the engine should have sent, by its log entry."""
    document = answer.document
    answer_id = f'chatcmpl-{answer.request_id}'
    name = document['model']
    count = document['max_tokens']
    text = AnswerText(logged['produced_by'], document)
    if not document['stream']:
        prompt = len(str(document['messages'])) // 4
        usage = {
            'prompt_tokens': prompt,
            'completion_tokens': count,
            'total_tokens': prompt + count,
        }
        content = complete_answer(answer_id, name, text.full_text(count), usage)
        return json.dumps(content).encode()
    events = [
        chunk_event(
            answer_id,
            name,
            text.token(index),
            'length' if index + 1 == count else None,
        )
        for index in range(count)
    ]
    return b''.join((*events, b'data: [DONE]\n\n'))


def is_prefix(answer, logged):
    """Tell whether an answer is all or the beginning of what an engine sent."""
    body = answer.body
    if logged['outcome'] == 'deadline' and not answer.is_complete:
        body = body.removesuffix(DEADLINE_EVENT)
    return expected_body(answer, logged).startswith(body)


def check_answers(trial, answers):
    """Check each answer against the engines' logs; return the complete ones."""
    requests = trial.requests()
    completed = [each for each in answers if each.status == 200]
    for answer in completed:
        # The request may have run before at an engine whose answer was lost.
        logged = [
            entry
            for entry in requests.get(answer.request_id, [])
            if is_prefix(answer, entry)
            and entry['body_digest'] == digest_of(answer.document)
        ]
        assert logged, (
            f'{answer}: no engine produced it: '
            f'{requests.get(answer.request_id)}'
        )
        if answer.is_complete:
            assert answer.body == expected_body(answer, logged[-1]), answer
        adapter = answer.document['model']
        version = trial.versions[answer.bundle][adapter]
        assert answer.bundle >= answer.min_bundle, answer
        if answer.body:
            assert logged[-1]['produced_by'] == f'{adapter}@{version}', answer
    return [each for each in completed if each.is_complete]


class Traffic:
    """Callers in threads, each of which sends one request after another."""

    def __init__(self, trial, callers, make, seed, entries=None):
        self.answers: list[Answer] = []
        self._trial = trial
        self._make = make
        self._stop = threading.Event()
        places = entries or trial.dep.entries
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(
                    random.Random(f'{seed}/{number}'),
                    places[number % len(places)],
                ),
                daemon=True,
            )
            for number in range(callers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc):
        self._stop.set()
        for thread in self._threads:
            thread.join(40)

    def wait_for(self, count, timeout_s=20):
        """Wait until `count` more requests have been answered completely."""
        goal = self.completed() + count
        wait_until(lambda: self.completed() >= goal, timeout_s, 'more answers')

    def completed(self):
        return sum(each.completed for each in tuple(self.answers))

    def _run(self, rng, entry):
        while not self._stop.is_set():
            answer = self._trial.call(entry, self._make(rng))
            self.answers.append(answer)
            if answer.status != 200:
                self._stop.wait(0.05)


@contextmanager
def watched_entries(trial, seed):
    """Call each entry; no answer may name an earlier bundle than the last one.

    Each caller must get at least five answers, which are checked as well.
    """
    make = partial(any_adapter, tokens=(1, 3))
    by_entry = [
        Traffic(trial, 1, make, seed, [entry]) for entry in trial.dep.entries
    ]
    with ExitStack() as running:
        for traffic in by_entry:
            running.enter_context(traffic)
        yield by_entry
        for traffic in by_entry:
            traffic.wait_for(5)
    for traffic in by_entry:
        bundles = [
            each.bundle for each in traffic.answers if each.status == 200
        ]
        assert bundles == sorted(bundles)
        check_answers(trial, traffic.answers)
