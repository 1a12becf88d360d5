"""Model calls: metrics, load requests, deadlines and names of adapters."""

import time
from types import SimpleNamespace

import pytest
from prometheus_client import REGISTRY

from wasabicross.bundles.bundles import AdapterVersion, Route
from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.model_calls import ModelCalls
from wasabicross.callers.replies import CRASHES_SERVERS, Reply, refuse
from wasabicross.dispatching.engines import Engine
from wasabicross.loads.load_table import LoadTable
from wasabicross.messaging.messages import ServerInfo
from wasabicross.servers.routing import Holder

LOAD = 'quote@1#engine-1:3:1'
ANSWERED = (b'{"model": "', LOAD.encode(), b'"}\n')
SERVER = ServerInfo(
    'engine-1', 'engine', 'drafting', 'north', '127.0.0.1', 1, 'live', 'base'
)


class RefusingAttempts:
    """Refuses each request just before it would be sent."""

    def __init__(self, running, batch_size, others=()):
        holder = Holder('engine-1', 'north', LOAD, running, 0, 0, batch_size, 9)
        self.watch = SimpleNamespace(
            group=lambda kind, name: [SERVER],
            server=lambda server_id: SERVER,
            usable=lambda server_ids, now_s: set(server_ids),
            holder=lambda server, load_name, now_s: holder,
            engines=lambda group, now_s: [holder, *others],
            running_on=lambda fingerprint: None,
        )

    def count_request(self):
        """Count nothing."""

    def clear(self, req, server_id, tried, now_s):
        return refuse(CRASHES_SERVERS)


def request(request_class):
    route = Route('/v1', 'engine', 'drafting', request_class, ())
    bundle = SimpleNamespace(
        adapter=lambda name: AdapterVersion(name, '1', 'base'),
        number=1,
        policy={},
        priority_of={'night': 7}.get,
    )
    now_s = time.monotonic()
    body = b'{"model": "quote"}'
    return CallerRequest(
        'r1', 'tenant', 'POST', '/v1', (), body, bundle, route, '', b'',
        now_s, now_s + 5,
    )  # fmt: skip


def link_with_load():
    loads = LoadTable(60, time.monotonic())
    loads.open_loads([LOAD])
    return SimpleNamespace(
        loads=loads,
        send=lambda message: True,
        finish_request=loads.finish_request,
    )


@pytest.mark.parametrize(
    ('running', 'batch_size', 'fill'),
    [(0, 16, 0), (4, 16, 0.25), (16, 16, 1), (40, 16, 1)],
)
def test_batch_fill_is_observed(running, batch_size, fill):
    link = link_with_load()
    request_class = f'fill-{running}'
    calls = ModelCalls(link, RefusingAttempts(running, batch_size), 'north')
    assert calls.run(request(request_class)).status == CRASHES_SERVERS.status
    name = 'wasabicross_batch_fill_ratio'
    labels = {'request_class': request_class}
    assert REGISTRY.get_sample_value(f'{name}_count', labels) == 1
    assert REGISTRY.get_sample_value(f'{name}_sum', labels) == fill
    assert link.loads.running() == []


@pytest.mark.parametrize(
    ('running', 'elsewhere', 'waited_s', 'wants'),
    [
        # The queue of the holder takes longer than a load on the other engine.
        (40, 3, 0, [('quote', 1, ['engine-1'])]),
        (40, 3, 3, []),
        (40, 16, 0, []),
        (3, 3, 0, []),
    ],
)
def test_a_load_elsewhere_is_requested_where_there_is_room(
    running, elsewhere, waited_s, wants
):
    now_s = time.monotonic()
    loads = LoadTable(60, now_s)
    loads.open_loads([LOAD])
    sent = []
    link = SimpleNamespace(
        loads=loads,
        send=sent.append,
        finish_request=loads.finish_request,
    )
    other = Holder('engine-2', 'north', '', elsewhere, 0, 0, 16, 9)
    calls = ModelCalls(link, RefusingAttempts(running, 16, [other]), 'north')
    req = request('c')._replace(
        accepted_s=now_s - waited_s, deadline_s=now_s + 0.2
    )
    reply = calls.run(req)
    sent_requests = [
        (each.adapter, each.waiting, each.excluded) for each in sent
    ]
    # If all engines are full a copy may be requested, with nothing waiting.
    assert [each for each in sent_requests if each[1]] == wants
    assert reply.status == (503 if wants else CRASHES_SERVERS.status)


@pytest.mark.parametrize(
    ('elsewhere', 'policy', 'full', 'in_turn'),
    [
        ((3, 16), {}, ['engine-1', 'engine-3'], False),
        ((3, 3), {'batch_weight': 4}, ['engine-1'], True),
        ((16, 30), {'stall_weight': 4}, ['engine-1', *'23'], False),
    ],
)
def test_a_load_request_names_the_full_engines(
    elsewhere, policy, full, in_turn
):
    now_s = time.monotonic()
    sent = []
    link = SimpleNamespace(loads=LoadTable(60, now_s), send=sent.append)
    others = [
        Holder(f'engine-{number}', 'north', '', running, 0, 0, 16, 9)
        for number, running in enumerate(elsewhere, start=2)
    ]
    calls = ModelCalls(link, RefusingAttempts(16, 16, others), 'north')
    req = request('c')._replace(deadline_s=now_s + 0.1)
    req.bundle.policy = policy
    assert calls.run(req).status == 503
    named = [each[-1] for each in sent[0].full]
    assert named == [each[-1] for each in full]
    assert sent[0].fills_in_turn is in_turn


class SendingAttempts(RefusingAttempts):
    """Sends each request once, without counting it."""

    def __init__(self):
        super().__init__(0, 1)

    def clear(self, req, server_id, tried, now_s):
        self.cleared_s = time.monotonic()
        return True

    def exchange(self, req, server_id, start, named, adapt, load_name):
        start()
        return Reply(200, named, adapt(piece for piece in ANSWERED))


def test_time_spent_waiting_for_a_trial_counts(monkeypatch):
    sent = []
    monkeypatch.setattr(
        Engine, 'complete', lambda engine, call, priority: sent.append(call)
    )
    attempts, req = SendingAttempts(), request('night')
    calls = ModelCalls(link_with_load(), attempts, 'north')
    assert calls.run(req).status == 200
    assert sent[0].deadline_s <= req.deadline_s - attempts.cleared_s


def test_priority_of_the_class_goes_to_the_engine(monkeypatch):
    sent = []
    monkeypatch.setattr(
        Engine, 'complete', lambda engine, call, priority: sent.append(priority)
    )
    calls = ModelCalls(link_with_load(), SendingAttempts(), 'north')
    assert calls.run(request('night')).status == 200
    assert sent == [7]


def test_answer_names_the_adapter_that_was_asked_for(monkeypatch):
    monkeypatch.setattr(Engine, 'complete', lambda *args: None)
    calls = ModelCalls(link_with_load(), SendingAttempts(), 'north')
    reply = calls.run(request('night'))
    assert b''.join(reply.content) == b'{"model": "quote"}\n'
