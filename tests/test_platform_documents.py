"""Decoding of the platform's documents, and of unreadable ones."""

import json

import pytest

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.changes import (
    AdapterVersionUpdate,
    InstanceEntry,
    OwnerRecordUpdate,
    ServerRemoval,
)
from wasabicross.gateway.configuration import RouteKind
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.store import StoredItem
from wasabicross.platform.documents import (
    decode_configuration,
    decode_report,
    decode_server,
)
from wasabicross.platform.records import (
    decode_change,
    encode_instance,
    encode_owner,
    instance_key,
    owner_key,
)

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'a.example',
            'pathPrefix': '/x/',
            'kind': 'streaming',
            'timeoutMs': 15000,
            'targetLatencyMs': 800,
            'targetGapMs': 250,
            'priority': 1,
            'maxAttempts': 2,
            'resumable': True,
            'trafficSplit': [
                {'service': 'llm', 'weight': 90},
                {'service': 'desk', 'weight': 10},
            ],
        },
        {
            'name': 'r2',
            'host': 'a.example',
            'pathPrefix': '/x/y/',
            'kind': 'unsafe',
            'timeoutMs': 800,
            'targetLatencyMs': 200,
            'priority': 2,
            'maxAttempts': 1,
            'service': 'desk',
        },
    ],
    'services': [
        {
            'name': 'llm',
            'healthPath': '/health',
            'maxConns': 360,
            'engine': {
                'adapterSlots': 21,
                'weightsMb': 45000,
                'models': [{'name': 'm0', 'weightsMb': 42700, 'adapterMb': 66}],
            },
        },
        {'name': 'desk', 'healthPath': '/health', 'maxConns': 100},
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}

SERVER = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'bilbao-hall',
    'slots': 64,
    'state': 'ready',
    'models': [{'name': 'm0', 'adapters': ['a1@3', 'a2']}],
    'seq': 4,
    'born': 1700000000123,
}

REPORT = {
    'phase': 'colocated',
    'models': [{'name': 'm0', 'adapters': ['a1@3']}],
    'busy': False,
    'seq': 2,
    'queued': 1,
    'running': 12,
    'pending': ['m0/a9@2'],
}


def encoded(document):
    return json.dumps(document).encode()


def test_configuration():
    cfg = decode_configuration(encoded(CONFIGURATION))
    first, second = cfg.routes
    assert first.kind is RouteKind.streaming
    assert (first.timeout_s, first.target_s, first.gap_s) == (15, 0.8, 0.25)
    assert first.is_idempotent
    assert not second.is_idempotent
    assert cfg.services['desk'].engine is None
    assert cfg.services['llm'].engine.adapter_capacity(frozenset(('m0',))) == 21
    assert cfg.limits.idle_timeout_s == 15


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/x/1', 'r1'),
        ('a.example', '/x/y/1', 'r2'),
        ('a.example', '/x', None),
        ('b.example', '/x/1', None),
    ],
)
def test_route_of_the_longest_prefix(host, path, name):
    cfg = decode_configuration(encoded(CONFIGURATION))
    route = cfg.route_for(host, path)
    assert (route.name if route else None) == name


def test_split_follows_the_weights():
    route = decode_configuration(encoded(CONFIGURATION)).routes[0]
    chosen = [route.service_for(f'id-{number}') for number in range(1000)]
    assert 50 < chosen.count('desk') < 160


@pytest.mark.parametrize(
    'broken',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        encoded({**CONFIGURATION, 'version': 'x'}),
        encoded({**CONFIGURATION, 'routes': [{}]}),
        encoded({**CONFIGURATION, 'limits': None}),
    ],
)
def test_configuration_that_cannot_be_read(broken):
    with pytest.raises(DocumentUnreadable):
        decode_configuration(broken)


def test_server():
    server = decode_server('i-1', encoded(SERVER))
    held = {AdapterKey('m0', 'a1'): 3, AdapterKey('m0', 'a2'): 1}
    assert server.held == held
    assert (server.host, server.port) == ('10.0.0.9', 8080)
    assert server.start_ms == 1700000000123
    assert not server.is_leaving
    leaving = decode_server('i-1', encoded({**SERVER, 'state': 'draining'}))
    assert leaving.is_leaving


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'resting'},
        {'state': None},
        {'address': 'nowhere'},
        {'address': 7},
        {'service': ''},
        {'slots': True},
        {'slots': '64'},
        {'models': [{'name': 'm0'}]},
        {'born': 'today'},
    ],
)
def test_entry_that_names_no_server(fields):
    with pytest.raises(DocumentUnreadable):
        decode_server('i-1', encoded({**SERVER, **fields}))


@pytest.mark.parametrize(
    ('fields', 'version'),
    [({}, ''), ({'version': 'v1'}, 'v1'), ({'version': 'v10'}, 'v10')],
)
def test_software_version_of_a_server(fields, version):
    document = json.dumps({**SERVER, **fields}).encode()
    assert decode_server('i-1', document).software_version == version


@pytest.mark.parametrize('version', [7, None, '', ['v1'], 'v' * 1025])
def test_entry_with_an_odd_software_version_names_no_server(version):
    document = json.dumps({**SERVER, 'version': version}).encode()
    with pytest.raises(DocumentUnreadable):
        decode_server('i-1', document)


def test_report():
    report = decode_report(encoded(REPORT))
    assert report.order_count == 2
    assert report.held == {AdapterKey('m0', 'a1'): 3}
    assert report.pending == {AdapterKey('m0', 'a9')}
    assert report.models == {'m0'}


VERSION = {'model': 'm0', 'adapter': 'a1', 'version': 4}


@pytest.mark.parametrize(
    ('item', 'change'),
    [
        (StoredItem('servers/i-1', 5, None), ServerRemoval('i-1')),
        (
            StoredItem('op/version/m0.a1', 5, encoded(VERSION)),
            AdapterVersionUpdate(AdapterKey('m0', 'a1'), 4),
        ),
        (
            StoredItem(
                owner_key('dc.0'), 5, encode_owner('front-1', '10.0.0.1')
            ),
            OwnerRecordUpdate('dc.0', 'front-1', '10.0.0.1', 5),
        ),
        (
            StoredItem(
                owner_key('dc.0'),
                6,
                encode_owner('front-1', '10.0.0.1', is_released=True),
            ),
            OwnerRecordUpdate(
                'dc.0', 'front-1', '10.0.0.1', 6, is_released=True
            ),
        ),
        (
            StoredItem(
                instance_key('front-1'),
                5,
                encode_instance('10.0.0.1', 'dc', 2.0),
            ),
            InstanceEntry('front-1', '10.0.0.1', 'dc', 2.0),
        ),
        (StoredItem('op/config', 5, None), None),
        (StoredItem('elsewhere/key', 5, b'\xff'), None),
    ],
)
def test_change(item, change):
    assert decode_change(item) == change


@pytest.mark.parametrize(
    'item',
    [
        StoredItem('op/version/m0.a1', 5, encoded({'model': 'm0'})),
        StoredItem(owner_key('dc.0'), 5, b'{}'),
        StoredItem(instance_key('front-1'), 5, b'not json'),
        StoredItem('servers/i-1', 5, b'[1]'),
    ],
)
def test_item_that_cannot_be_read(item):
    with pytest.raises(DocumentUnreadable):
        decode_change(item)
