"""Odd entries of the store and odd reports: they name nothing, others hold."""

import cbor2
import pytest
from odd_documents import (
    DEEP,
    HUGE_NUMBERS,
    SERVER,
    SOUND,
    encoded,
    with_number,
)

from wasabicross.gateway.changes import (
    OwnerRecordUpdate,
    ServerEntryUpdate,
    ServerRemoval,
)
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.messages import StoreUpdate, decode, encode
from wasabicross.gateway.store import StoredItem
from wasabicross.platform.documents import decode_report, decode_server
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.records import instance_key, owner_key

REPORT = {
    'models': [{'name': 'm0', 'adapters': ['a1@3']}],
    'busy': False,
    'seq': 2,
    'queued': 1,
    'running': 12,
    'pending': ['m0/a9@2'],
}

ODD_ADDRESSES = [
    '10.0.0.9:0',
    '10.0.0.9:65536',
    '10.0.0.9:99999',
    '10.0.0.9:-1',
    '10.0.0.9:+80',
    '10.0.0.9: 80',
    '10.0.0.9:80 ',
    '10.0.0.9:8_0',
    '10.0.0.9:٣',
    '10.0.0.9:',
    '10.0.0.9',
    f'10.0.0.9:{"8" * 5000}',
    ':8080',
    'localhost:8080',
    'server.example:8080',
    '10.0.0:8080',
    '10.0.0.256:8080',
    '0.0.0.0:8080',
    '224.0.0.1:8080',
    '::1:8080',
    '[fe80::1%\r\n]:8080',
    '10.0.0.9\0:8080',
    '\ud800:8080',
    '',
    None,
    [],
    {'10.0.0.9': 8080},
]

ODD_FIELDS = [
    {'service': ['llm']},
    {'service': '\ud800'},
    {'service': 'x' * 5000},
    {'zone': {}},
    {'zone': 'a\ud800b'},
    {'state': []},
    {'state': {}},
    {'slots': None},
    {'models': 'm0'},
    {'models': {'m0': 1}},
    {'models': [{'name': 'm0', 'adapters': 'a1'}]},
    {'models': [{'name': 'm0', 'adapters': [7]}]},
    {'models': [{'name': 'm0', 'adapters': ['a1@1_0']}]},
    {'models': [{'name': 'm0', 'adapters': ['a1@-1']}]},
    {'models': [{'name': 'm0', 'adapters': ['a1@٣']}]},
    {'models': [{'name': 'm0', 'adapters': [f'a1@{"9" * 5000}']}]},
    {'models': [{'name': '\ud800', 'adapters': []}]},
    {'models': [{'name': 'm0', 'adapters': ['\ud800']}]},
    {'models': None},
    {'born': 1e300},
]


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_an_entry_with_an_odd_address_names_no_server(address):
    with pytest.raises(DocumentUnreadable):
        decode_server('i-1', encoded({**SERVER, 'address': address}))


@pytest.mark.parametrize('name', ['slots', 'born'])
@pytest.mark.parametrize('literal', HUGE_NUMBERS)
def test_an_entry_with_an_odd_number_names_no_server(name, literal):
    with pytest.raises(DocumentUnreadable):
        decode_server('i-1', with_number(SERVER, name, literal))


@pytest.mark.parametrize('fields', ODD_FIELDS)
def test_an_entry_with_an_odd_field_names_no_server(fields):
    with pytest.raises(DocumentUnreadable):
        decode_server('i-1', encoded({**SERVER, **fields}))


@pytest.mark.parametrize(
    'server_id', ['', 'i 1', 'i\r\nx: y', 'i\x00', 'ü', '\ud800', 'i' * 5000]
)
def test_an_id_that_no_header_field_takes_names_no_server(server_id):
    with pytest.raises(DocumentUnreadable):
        decode_server(server_id, encoded(SERVER))


@pytest.mark.parametrize('name', ['seq', 'queued', 'running', 'born'])
@pytest.mark.parametrize('literal', HUGE_NUMBERS)
def test_a_report_with_an_odd_number_is_unreadable(name, literal):
    with pytest.raises(DocumentUnreadable):
        decode_report(with_number(REPORT, name, literal))


@pytest.mark.parametrize(
    'document',
    [
        DEEP,
        b'"\xff"',
        b'',
        encoded({**REPORT, 'pending': 'm0/a9'}),
        encoded({**REPORT, 'pending': [7]}),
        encoded({**REPORT, 'models': [{'name': 'm0', 'adapters': 'a1'}]}),
    ],
)
def test_an_odd_report_is_unreadable(document):
    with pytest.raises(DocumentUnreadable):
        decode_report(document)


ODD_DOCUMENTS = [
    DEEP,
    b'{"a":' * 50_000,
    b'',
    b'\xff\xfe',
    b'null',
    b'7',
    b'9' * 5000,
    b'1e999',
    b'"x"',
    b'[]',
    b'{}',
]

ODD_KEYS = [
    'servers/odd',
    'servers/',
    'servers/\ud800',
    'op/config',
    'op/version/m0.a1',
    'op/version/',
    owner_key('dc.1'),
    owner_key(''),
    instance_key('odd'),
    instance_key(''),
]


def decode_items(*items):
    return PlatformStore(None).decode(items, 9)


@pytest.mark.parametrize('key', ODD_KEYS)
@pytest.mark.parametrize('document', ODD_DOCUMENTS)
def test_an_odd_entry_leaves_the_others(key, document):
    decoded = decode_items(StoredItem(key, 4, document), SOUND)
    assert [entry.key for entry in decoded.unreadable] == [key]
    assert isinstance(decoded.changes[-1], ServerEntryUpdate)
    assert decoded.changes[-1].server.server_id == 'i-1'


def test_a_server_whose_entry_turns_odd_is_gone_at_once():
    """A later complete read would not list it either."""
    decoded = decode_items(StoredItem('servers/i-1', 6, DEEP))
    assert decoded.changes == (ServerRemoval('i-1'),)


@pytest.mark.parametrize(
    'host', ['', 'front.example', '10.0.0', '0.0.0.0', '1.1.1.1:7', None, 7]
)
def test_an_odd_owner_record_names_no_owner_and_can_be_claimed(host):
    """Without its revision the group could never be claimed again."""
    record = encoded({'instance': 'front-1', 'host': host})
    decoded = decode_items(StoredItem(owner_key('dc.0'), 7, record))
    assert decoded.changes == (OwnerRecordUpdate('dc.0', '', '', 7),)
    assert [entry.revision for entry in decoded.unreadable] == [7]


@pytest.mark.parametrize(
    'fields',
    [
        {'host': 'front.example'},
        {'host': ''},
        {'data_centre': 7},
        {'data_centre': '\ud800'},
        {'fitness': 'inf'},
        {'fitness': 'nan'},
        {'fitness': -1},
        {'fitness': []},
        {'fitness': '1e999'},
        {'fitness': 1e300},
        {'fitness': '9' * 400},
    ],
)
def test_an_odd_entry_of_a_gateway_is_unreadable(fields):
    entry = {'host': '10.0.0.1', 'data_centre': 'dc', 'fitness': 1.0}
    document = encoded({**entry, **fields})
    decoded = decode_items(StoredItem(instance_key('front-9'), 7, document))
    assert not decoded.changes
    assert len(decoded.unreadable) == 1


@pytest.mark.parametrize('document', ODD_DOCUMENTS)
@pytest.mark.parametrize('key', ODD_KEYS[:2] + ODD_KEYS[3:])
def test_an_odd_entry_that_is_relayed_leaves_the_others(key, document):
    frame = encode(StoreUpdate(4, 9, (StoredItem(key, 6, document), SOUND)))
    (received,) = decode(frame)
    decoded = decode_items(*received.items)
    assert isinstance(decoded.changes[-1], ServerEntryUpdate)
    assert cbor2.dumps(received.items)
