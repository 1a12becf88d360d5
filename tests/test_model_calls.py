"""Model calls: what is observed when a request goes to an engine."""

import time
from types import SimpleNamespace

import pytest
from prometheus_client import REGISTRY

from wasabicross.bundles import AdapterVersion, Route
from wasabicross.caller_request import CallerRequest
from wasabicross.load_table import LoadTable
from wasabicross.messages import ServerInfo
from wasabicross.model_calls import ModelCalls
from wasabicross.replies import CRASHES_SERVERS, refuse
from wasabicross.routing import Holder

LOAD = 'quote@1#engine-1:3:1'
SERVER = ServerInfo(
    'engine-1', 'engine', 'drafting', 'north', '127.0.0.1', 1, 'live', 'base'
)


class Attempts:
    """Refuses each request when it is about to be sent."""

    def __init__(self, running, batch_size, others=()):
        holder = Holder('engine-1', 'north', LOAD, running, 0, 0, batch_size, 9)
        self.watch = SimpleNamespace(
            group=lambda kind, name: [SERVER],
            usable=lambda server_ids, now_s: set(server_ids),
            holder=lambda server, load_name, now_s: holder,
            engines=lambda group, now_s: [holder, *others],
        )

    def accepted(self):
        """Count nothing."""

    def clear(self, req, server_id, tried, now_s):
        return refuse(CRASHES_SERVERS)


def request(request_class):
    route = Route('/v1', 'engine', 'drafting', request_class, ())
    bundle = SimpleNamespace(
        adapter=lambda name: AdapterVersion(name, '1', 'base'), policy={}
    )
    now_s = time.monotonic()
    body = b'{"model": "quote"}'
    return CallerRequest(
        'r1', 'tenant', 'POST', '/v1', (), body, bundle, route, '', b'',
        now_s, now_s + 5,
    )  # fmt: skip


@pytest.mark.parametrize(
    ('running', 'batch_size', 'fill'),
    [(0, 16, 0), (4, 16, 0.25), (16, 16, 1), (40, 16, 1)],
)
def test_batch_fill_is_observed(running, batch_size, fill):
    now_s = time.monotonic()
    loads = LoadTable(60, now_s)
    loads.open_loads([LOAD])
    link = SimpleNamespace(
        loads=loads,
        send=lambda message: True,
        finish_request=loads.finish_request,
    )
    request_class = f'fill-{running}'
    calls = ModelCalls(link, Attempts(running, batch_size), 'north')
    assert calls.run(request(request_class)).status == CRASHES_SERVERS.status
    name = 'wasabicross_batch_fill_ratio'
    labels = {'request_class': request_class}
    assert REGISTRY.get_sample_value(f'{name}_count', labels) == 1
    assert REGISTRY.get_sample_value(f'{name}_sum', labels) == fill
    assert loads.running() == []


@pytest.mark.parametrize(
    ('running', 'elsewhere', 'waited_s', 'wants'),
    [
        # A holder whose queue outlasts a load, and room where it isn't held.
        (40, 3, 0, [('quote', 1, ['engine-1'])]),
        (40, 3, 3, []),
        (40, 16, 0, []),
        (3, 3, 0, []),
    ],
)
def test_a_load_elsewhere_is_wanted_where_there_is_room(
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
    calls = ModelCalls(link, Attempts(running, 16, [other]), 'north')
    req = request('c')._replace(
        accepted_s=now_s - waited_s, deadline_s=now_s + 0.2
    )
    reply = calls.run(req)
    told = [(want.adapter, want.waiting, want.tried) for want in sent]
    # Where all is full a copy may be wanted, for which nothing waits.
    assert [want for want in told if want[1]] == wants
    assert reply.status == (503 if wants else CRASHES_SERVERS.status)
