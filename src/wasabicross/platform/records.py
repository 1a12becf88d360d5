"""Keys of the store; encoding and decoding of the values under them."""

from __future__ import annotations

import json
from typing import Any

from wasabicross.gateway.changes import (
    AdapterVersionUpdate,
    ConfigurationUpdate,
    ConvictionUpdate,
    InstanceEntry,
    OwnerRecordUpdate,
    ServerEntryUpdate,
    ServerRemoval,
    StoreChange,
    StreamDivisionUpdate,
)
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_position import era_of
from wasabicross.platform.conviction_records import (
    CONVICTIONS_KEY,
    decode_convictions,
)
from wasabicross.platform.division_records import (
    DIVISIONS_PREFIX,
    decode_division,
)
from wasabicross.platform.documents import (
    decode_configuration,
    decode_server,
    decode_version,
)
from wasabicross.platform.store import (
    CONFIGURATION_KEY,
    SERVERS_PREFIX,
    VERSIONS_PREFIX,
)
from wasabicross.platform.values import (
    digits,
    ip_address,
    number,
    parse_json,
    text,
)

#: Prefix of the keys that the gateways write.
OWN_PREFIX = 'wasabicross/'

_RECORD_ERRORS = (KeyError, ValueError, TypeError, AttributeError)

_OWNERS_PREFIX = 'wasabicross/owner/'
_INSTANCES_PREFIX = 'wasabicross/instance/'


def owner_key(group: str) -> str:
    """Return the key of the owner record of a group.

    :param group: name of the group.
    """
    return f'{_OWNERS_PREFIX}{group}'


def instance_key(instance: str) -> str:
    """Return the key under which a gateway registers.

    :param instance: name of the gateway's machine.
    """
    return f'{_INSTANCES_PREFIX}{instance}'


def encode_owner(
    instance: str, host: str, era: int = 0, *, is_released: bool = False
) -> bytes:
    """Encode the owner record of a group.

    :param instance: name of the owner's machine.
    :param host: IP address of the owner's machine.
    :param era: era of the store as its writer knows it.
    :param is_released: whether the owner has stopped ordering loads.
    """
    record = {'instance': instance, 'host': host}
    if era:
        record['era'] = str(era)
    if is_released:
        record['released'] = 'yes'
    return json.dumps(record).encode()


def encode_instance(host: str, data_centre: str, fitness: float) -> bytes:
    """Encode the registration of a gateway.

    :param host: IP address of the gateway's machine.
    :param data_centre: data centre of the machine.
    :param fitness: ownership weight of the machine.
    """
    record = {'host': host, 'data_centre': data_centre, 'fitness': fitness}
    return json.dumps(record).encode()


def decode_change(item: StoredItem) -> StoreChange | None:
    """Decode an item; return None if the gateway doesn't use it.

    :param item: an item as read or watched.
    :raises DocumentUnreadable: the gateway needs the item and can't decode it.
    """
    key, document = item.key, item.document
    if key.startswith(SERVERS_PREFIX):
        return _server_change(key.removeprefix(SERVERS_PREFIX), document)
    if document is None:
        return _removal(item)
    if key == CONFIGURATION_KEY:
        return ConfigurationUpdate(decode_configuration(document))
    if key.startswith(VERSIONS_PREFIX):
        return AdapterVersionUpdate(*decode_version(document))
    return _gateway_change(item, document)


def unreadable_change(item: StoredItem) -> StoreChange | None:
    """Return what an item that can't be decoded says about its key, if any.

    It names no server and no owner. The revision of a gateways' record is kept,
    since it is needed to write the record.

    :param item: an item that `decode_change` can't decode.
    """
    if item.key.startswith(SERVERS_PREFIX):
        return ServerRemoval(item.key.removeprefix(SERVERS_PREFIX))
    if item.key.startswith(_OWNERS_PREFIX):
        group = item.key.removeprefix(_OWNERS_PREFIX)
        return OwnerRecordUpdate(group, '', '', item.revision)
    if item.key.startswith(DIVISIONS_PREFIX):
        service = item.key.removeprefix(DIVISIONS_PREFIX)
        return StreamDivisionUpdate(service, None, item.revision)
    if item.key == CONVICTIONS_KEY:
        return ConvictionUpdate(None, item.revision)
    return None


def _server_change(server_id: str, document: bytes | None) -> StoreChange:
    if document is None:
        return ServerRemoval(server_id)
    return ServerEntryUpdate(decode_server(server_id, document))


def _removal(item: StoredItem) -> StoreChange | None:
    if item.key == CONVICTIONS_KEY:
        return ConvictionUpdate(None, item.revision, is_removed=True)
    if item.key.startswith(DIVISIONS_PREFIX):
        service = item.key.removeprefix(DIVISIONS_PREFIX)
        return StreamDivisionUpdate(
            service, None, item.revision, is_removed=True
        )
    return None


def _gateway_change(item: StoredItem, document: bytes) -> StoreChange | None:
    try:
        if item.key.startswith(_OWNERS_PREFIX):
            return _owner_record(item, parse_json(document))
        if item.key.startswith(_INSTANCES_PREFIX):
            return _instance_entry(item, parse_json(document))
        if item.key.startswith(DIVISIONS_PREFIX):
            return _division_update(item, parse_json(document))
        if item.key == CONVICTIONS_KEY:
            stored = decode_convictions(parse_json(document))
            return ConvictionUpdate(stored, item.revision)
    except _RECORD_ERRORS as exc:
        raise DocumentUnreadable(f'record: {exc!r}') from exc
    return None


def _owner_record(item: StoredItem, wire: Any) -> OwnerRecordUpdate:
    return OwnerRecordUpdate(
        text(item.key.removeprefix(_OWNERS_PREFIX)),
        text(wire['instance']),
        ip_address(wire['host']),
        item.revision,
        'released' in wire,
        digits(wire.get('era', '0')) < era_of(item.revision),
    )


def _instance_entry(item: StoredItem, wire: Any) -> InstanceEntry:
    return InstanceEntry(
        text(item.key.removeprefix(_INSTANCES_PREFIX)),
        ip_address(wire['host']),
        text(wire['data_centre']),
        number(wire.get('fitness', 1)),
    )


def _division_update(item: StoredItem, wire: Any) -> StreamDivisionUpdate:
    service, stored = decode_division(item.key, wire)
    return StreamDivisionUpdate(service, stored, item.revision)
