"""The client of the instance list, and the lag and faults of its stand-in."""

import json
from types import SimpleNamespace

import pytest
import urllib3

from emulator.fleet import Program
from emulator.http_server import Reply, StandInServer
from emulator.instances import Entry, Faults, LaggingList
from emulator.waiting import free_ports, wait_until
from wasabicross.stores import errors
from wasabicross.stores.instances import (
    BackendServer,
    Fleet,
    Instance,
    InstanceList,
)

INSTANCE = Instance('node-1', 'ltn', '127.0.0.1', 7000, 'live')
ENGINE = BackendServer(
    'engine-1', 'engine', 'letters', 'ltn', '127.0.0.1', 8000, 'live', 'base'
)
UNAVAILABLE = errors.InstanceListUnavailable
MALFORMED = errors.InstanceListMalformed


def make_list(port, timeout_s=5.0):
    cfg = SimpleNamespace(url=f'http://127.0.0.1:{port}', timeout_s=timeout_s)
    return InstanceList.from_config(cfg)


@pytest.fixture(scope='module')
def port(runner, tmp_path_factory):
    path = tmp_path_factory.mktemp('fleet') / 'fleet.json'
    path.write_text(json.dumps({'instances': [INSTANCE._asdict()]}))
    (free,) = free_ports(1)
    args = ('--port', str(free), '--fleet', str(path))
    url = f'http://127.0.0.1:{free}/stats'
    runner.run(Program('instances', 'emulator.instances', args, url))
    return free


def post(port, path, **document):
    url = f'http://127.0.0.1:{port}/{path}'
    return urllib3.request('POST', url, json=document).status


def test_list_follows_changes(port):
    fleet = make_list(port)
    assert fleet.fetch().ok == Fleet((INSTANCE,), ())
    assert post(port, 'add', server=ENGINE._asdict()) == 200
    assert fleet.fetch().ok.servers == (ENGINE,)
    assert post(port, 'state', id='engine-1', state='leaving') == 200
    assert fleet.fetch().ok.servers == (ENGINE._replace(state='leaving'),)
    assert post(port, 'remove', id='engine-1') == 200
    assert fleet.fetch().ok.servers == ()


def test_list_is_one_object_until_it_changes(port):
    fleet = make_list(port)
    first = fleet.fetch().ok
    assert fleet.fetch().ok is first
    post(port, 'add', server=ENGINE._asdict())
    changed = fleet.fetch().ok
    assert changed.servers == (ENGINE,)
    assert fleet.fetch().ok is changed
    post(port, 'remove', id='engine-1')


def test_list_lags(port):
    fleet = make_list(port)
    post(port, 'fault', lag_s=0.2)
    post(port, 'add', server=ENGINE._asdict())
    assert fleet.fetch().ok.servers == ()
    wait_until(lambda: fleet.fetch().ok.servers, 5, 'lagging entry')
    post(port, 'fault', lag_s=0)
    post(port, 'remove', id='engine-1')


@pytest.mark.parametrize(
    ('path', 'document'),
    [
        ('remove', {'id': 'nobody'}),
        ('state', {'id': 'nobody', 'state': 'live'}),
        ('add', {'planet': {}}),
        ('fault', {'unheard': 1}),
    ],
)
def test_wrong_change_is_refused(port, path, document):
    assert post(port, path, **document) == 400


def test_outage_is_unavailable(port):
    post(port, 'fault', refuse=True)
    assert type(make_list(port).fetch().error) is UNAVAILABLE
    post(port, 'fault', refuse=False)
    assert make_list(port).fetch().is_ok()


def test_slow_list_is_unavailable(port):
    post(port, 'fault', slow_ms=200)
    assert type(make_list(port, 0.05).fetch().error) is UNAVAILABLE
    post(port, 'fault', slow_ms=0)


def test_refused_connection_is_unavailable():
    (free,) = free_ports(1)
    assert type(make_list(free).fetch().error) is UNAVAILABLE


def document(instances=(), servers=()):
    entries = {
        'instances': [entry._asdict() for entry in instances],
        'servers': [entry._asdict() for entry in servers],
    }
    return json.dumps(entries).encode()


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'[]',
        b'{"instances": []}',
        b'{"instances": 3, "servers": []}',
        b'{"instances": ["node"], "servers": []}',
        b'\xff\xfe{}',
        document(servers=[ENGINE._replace(state='gone')]),
        document(servers=[ENGINE._replace(kind='teapot')]),
        document(servers=[ENGINE._replace(port=0)]),
        document(servers=[ENGINE._replace(port='80')]),
        document(servers=[ENGINE._replace(port=65536)]),
        document(servers=[ENGINE._replace(server_id='')]),
        document(servers=[ENGINE._replace(group=None)]),
        document(instances=[INSTANCE, INSTANCE]),
        document(servers=[ENGINE, ENGINE]),
    ],
)
def test_malformed_list_is_not_used(answer):
    server = StandInServer(0, lambda _req: Reply(body=answer))
    server.start()
    error = make_list(server.server_address[1]).fetch().error
    server.shutdown()
    server.server_close()
    assert type(error) is MALFORMED


def names(fleet, now_s):
    return [entry['server_id'] for entry in fleet.shown(now_s)['servers']]


@pytest.mark.parametrize(
    ('now_s', 'gone_s', 'shown'),
    [
        (1.9, None, True),
        (2, None, False),
        (2.5, None, True),
        (3, None, False),
        (3.5, None, True),
        (2.1, 0.2, False),
        (2.2, 0.2, True),
        (3.1, 0.2, False),
        (3.2, 0.2, True),
    ],
)
def test_flap_shows_gone_and_back(now_s, gone_s, shown):
    fleet = LaggingList([Entry('server', ENGINE._asdict())])
    fleet.faults = Faults(lag_s=1)
    fleet.flap('engine-1', 2, 1, now_s=1, gone_s=gone_s)
    assert names(fleet, now_s) == (['engine-1'] if shown else [])


def test_changes_of_one_entry_show_in_order():
    fleet = LaggingList([])
    fleet.faults = Faults(lag_s=5)
    fleet.put(Entry('server', ENGINE._asdict()), now_s=0)
    fleet.faults = Faults(lag_s=0)
    fleet.remove('engine-1', now_s=1)
    assert names(fleet, 1) == []
    assert names(fleet, 5) == []
