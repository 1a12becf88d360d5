"""Streams of the older path: none goes on at another server.

Guards against answers that hold events of two servers, which may run different
software; entries of that path's servers state no software version.
"""

from types import SimpleNamespace

import pytest
from expression import Ok
from test_model_calls import SendingAttempts, link_with_load, request

from wasabicross.callers.attempts import Attempts
from wasabicross.callers.model_calls import ModelCalls
from wasabicross.callers.service_calls import ServiceCalls
from wasabicross.dispatching.engines import Engine
from wasabicross.dispatching.errors import AnswerCut
from wasabicross.dispatching.services import PlainService
from wasabicross.messaging.messages import ServerInfo
from wasabicross.servers.retries import RetryBudget
from wasabicross.servers.suspects import Clearance

SERVERS = [
    ServerInfo(
        name, 'service', 'drafting', 'north', '127.0.0.1', port, 'live', ''
    )
    for port, name in enumerate(('s1', 's2'), start=1)
]
TAKE_UP = (('Last-Event-Id', '7'), ('Resumes', 'r0'))


class Watch:
    """Lets each request run on each server."""

    def group(self, kind, name):
        return SERVERS

    def usable(self, server_ids, now_s):
        return set(server_ids)

    def running_on(self, fingerprint):
        return None

    def outstanding(self, server_id):
        return 0

    def begin(self, fingerprint, server_id, now_s):
        return Clearance.go

    def end(self, *args):
        """Record nothing."""

    def fail(self, *args):
        """Record nothing."""


def cut_after(*pieces):
    """Yield the pieces of an answer that is cut then."""
    yield from pieces
    raise AnswerCut('connection reset')


@pytest.fixture
def sent(monkeypatch):
    """Return a function that has the servers give some answers.

    It returns the calls that the servers received.
    """

    def give(*answers):
        calls = []

        def receive(service, call):
            calls.append(call)
            pieces = answers[len(calls) - 1]
            return Ok(
                SimpleNamespace(
                    status=200, headers=(), chunks=lambda: iter_of(pieces)
                )
            )

        monkeypatch.setattr(PlainService, 'call', receive)
        return calls

    return give


def iter_of(pieces):
    yield from pieces


def run_service(headers=()):
    calls = ServiceCalls(Attempts(Watch(), RetryBudget()), None, 'north')
    req = request('drafts')
    route = req.route._replace(kind='service', idempotent_methods=('POST',))
    return calls.run(req._replace(route=route, headers=headers))


def test_stream_cut_after_its_first_event_goes_on_nowhere(sent):
    calls = sent(cut_after(b'id: 1\n\n'), [b'id: 2\n\n'])
    content = iter(run_service().content)
    assert next(content) == b'id: 1\n\n'
    with pytest.raises(AnswerCut):
        next(content)
    assert len(calls) == 1


def test_stream_cut_before_its_first_event_begins_anew(sent):
    calls = sent(cut_after(), [b'id: 1\n\n', b'id: 2\n\n'])
    assert b''.join(run_service().content) == b'id: 1\n\nid: 2\n\n'
    assert [call.headers for call in calls] == [
        (('X-Request-Id', 'r1'),),
        (('X-Request-Id', 'r1'),),
    ]


def test_take_up_of_a_caller_does_not_reach_an_engine(monkeypatch):
    calls = []
    monkeypatch.setattr(
        Engine, 'complete', lambda engine, call, priority: calls.append(call)
    )
    models = ModelCalls(link_with_load(), SendingAttempts(), 'north')
    reply = models.run(request('night')._replace(headers=TAKE_UP))
    assert reply.status == 200
    assert [name for name, _ in calls[0].headers] == [
        'Content-Type',
        'X-Request-Id',
    ]


def test_take_up_of_a_caller_reaches_a_plain_service_unchanged(sent):
    """That path offers no resuming; the service itself answers the field."""
    calls = sent([b'id: 8\n\n'])
    assert run_service(TAKE_UP).status == 200
    assert calls[0].headers == (*TAKE_UP, ('X-Request-Id', 'r1'))
