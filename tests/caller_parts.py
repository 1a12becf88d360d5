"""Callers of a deployment, and what the engines say of their answers."""

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
    """What a caller got; status 0 when the connection broke before a head."""

    request_id: str
    document: dict[str, Any]
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    at_least: int

    @property
    def outcome(self) -> str:
        return self.headers.get('X-Wasabicross-Outcome', '')

    @property
    def bundle(self) -> int:
        return int(self.headers['X-Wasabicross-Bundle'])

    @property
    def completed(self) -> bool:
        return (self.status, self.is_whole) == (200, True)


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
    entry, document, request_id, at_least=0, *, path=COMPLETIONS, method='POST',
    headers=None, pause: Callable[[int], bool] | None = None,
):  # fmt: skip
    """Make one call on a connection of its own.

    :param pause: called with the count of pieces read so far; the caller
        goes away when it returns true.
    """
    conn = http.client.HTTPConnection(HOST, entry.port, timeout=30)
    status, got, body, is_whole = 0, {}, b'', False
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
        status, got = resp.status, dict(resp.headers)
        pieces = 0
        while True:
            piece = resp.read1()
            if not piece:
                ended = resp.chunked and resp.isclosed()
                is_whole = resp.length == 0 or ended
                break
            body += piece
            pieces += 1
            if pause is not None and pause(pieces):
                break
    except (OSError, http.client.HTTPException):
        is_whole = False
    finally:
        conn.close()
    return Answer(request_id, document, status, got, body, is_whole, at_least)


def expected_body(answer, logged):
    """Return the bytes that answer a request, as the engine logged it."""
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
        whole = complete_answer(answer_id, name, text.full_text(count), usage)
        return json.dumps(whole).encode()
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


def is_part(answer, logged):
    """Tell whether an answer is what an engine produced, or a part of it."""
    body = answer.body
    if logged['outcome'] == 'deadline' and not answer.is_whole:
        body = body.removesuffix(DEADLINE_EVENT)
    return expected_body(answer, logged).startswith(body)


def check_answers(trial, answers):
    """Check each answer against the engines' logs; return the completed."""
    requests = trial.requests()
    completed = [each for each in answers if each.status == 200]
    for answer in completed:
        # An engine may have run it before and lost the answer.
        logged = [
            entry
            for entry in requests.get(answer.request_id, [])
            if is_part(answer, entry)
            and entry['body_digest'] == digest_of(answer.document)
        ]
        assert logged, (
            f'{answer}: no engine produced it: {requests.get(answer.request_id)}'
        )
        if answer.is_whole:
            assert answer.body == expected_body(answer, logged[-1]), answer
        adapter = answer.document['model']
        version = trial.versions[answer.bundle][adapter]
        assert answer.bundle >= answer.at_least, answer
        if answer.body:
            assert logged[-1]['produced_by'] == f'{adapter}@{version}', answer
    return [each for each in completed if each.is_whole]


class Traffic:
    """Callers in threads, each sending one request after the other."""

    def __init__(self, trial, callers, make, seed, entries=None):
        self.answers: list[Answer] = []
        self._trial = trial
        self._make = make
        self._stop = threading.Event()
        places = entries or trial.dep.entries
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(random.Random(f'{seed}/{n}'), places[n % len(places)]),
                daemon=True,
            )
            for n in range(callers)
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
        """Wait until so many more requests have been answered whole."""
        goal = self.completed() + count
        wait_until(lambda: self.completed() >= goal, timeout_s, 'traffic')

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
    """Run a caller of each entry; none may see a bundle after a later one.

    Their answers are checked as well, of which each must have some.
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
        named = [each.bundle for each in traffic.answers if each.status == 200]
        assert named == sorted(named)
        check_answers(trial, traffic.answers)
