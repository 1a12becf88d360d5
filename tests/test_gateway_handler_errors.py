"""Requests whose handling fails with an unforeseen error are answered."""

import pytest
from gateway_parts import CONFIGURATION, LIMITS, OK, run_request
from raw_caller import request, status_of
from scripted_server import STREAM_END, STREAM_HEAD, chunk, events

from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.retrying_placer import RetryingPlacer
from wasabicross.gateway.server_attempts import ServerAttempt

ERRORS = (
    OverflowError('port must be 0-65535'),
    UnicodeError('label too long'),
    RecursionError('maximum recursion depth exceeded'),
    KeyError('i-1'),
)


def failing(error):
    """Return a method that raises an error instead of doing its work."""

    async def fail(*_args, **_options):
        raise error

    return fail


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
@pytest.mark.parametrize('error', ERRORS, ids=repr)
@pytest.mark.parametrize(
    ('owner', 'method', 'status', 'sends'),
    [
        (RetryingPlacer, 'place', 503, 0),
        (ServerAttempt, 'run', 503, 0),
        (ServerAttempt, '_forward_answer', 502, 1),
    ],
)
def test_an_error_ends_in_a_true_answer(
    monkeypatch, owner, method, status, sends, error, path
):
    monkeypatch.setattr(owner, method, failing(error))
    received, (server,), took_s = run_request([[[OK]]], request(path, b'x'))
    assert received
    assert status_of(received) == status
    assert (b'retry-after' in received.lower()) == (status == 503)
    assert b'r1' in received
    assert len(server.seen) == sends
    assert took_s < 0.5


def test_an_error_in_the_middle_of_an_answer_cuts_it(monkeypatch):
    monkeypatch.setattr(AnswerWriter, 'end', failing(KeyError('i-1')))
    script = [STREAM_HEAD, chunk(events(1, 2)), STREAM_END]
    sent = request('/streaming/x', b'x', Model='m0/a1')
    received, _, took_s = run_request([[script]], sent, service='llm')
    assert status_of(received) == 200
    assert not received.endswith(STREAM_END)
    assert took_s < 0.5


@pytest.mark.parametrize(
    'fields',
    [
        {'Token_Count': '9' * 4301},
        {'Prompt_Prefix': f'a1:{"9" * 4301},b2:1'},
    ],
)
def test_counts_that_are_too_long_are_ignored(fields):
    cfg = Configuration.from_parts(
        CONFIGURATION.version,
        CONFIGURATION.routes,
        CONFIGURATION.services,
        LIMITS._replace(header_bytes=16384),
    )
    sent = request('/safe/x', **fields)
    received, _, _ = run_request([[[OK]]], sent, cfg=cfg)
    assert received
    assert status_of(received) == 200
