"""Keys of the store; encoding and decoding of the values under them."""

from __future__ import annotations

import json

from wasabicross.gateway.changes import (
    AdapterVersionUpdate,
    ConfigurationUpdate,
    InstanceEntry,
    OwnerRecordUpdate,
    ServerEntryUpdate,
    ServerRemoval,
    StoreChange,
)
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_position import era_of
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

#: Prefix of the keys that the gateways write.
OWN_PREFIX = 'wasabicross/'

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
        return None
    if key == CONFIGURATION_KEY:
        return ConfigurationUpdate(decode_configuration(document))
    if key.startswith(VERSIONS_PREFIX):
        return AdapterVersionUpdate(*decode_version(document))
    return _gateway_change(item, document)


def _server_change(server_id: str, document: bytes | None) -> StoreChange:
    if document is None:
        return ServerRemoval(server_id)
    return ServerEntryUpdate(decode_server(server_id, document))


def _gateway_change(item: StoredItem, document: bytes) -> StoreChange | None:
    if item.key.startswith(_OWNERS_PREFIX):
        record = _gateway_record(document)
        group = item.key.removeprefix(_OWNERS_PREFIX)
        return OwnerRecordUpdate(
            group,
            record['instance'],
            record['host'],
            item.revision,
            'released' in record,
            _number('era', record['era']) < era_of(item.revision),
        )
    if item.key.startswith(_INSTANCES_PREFIX):
        record = _gateway_record(document)
        name = item.key.removeprefix(_INSTANCES_PREFIX)
        return InstanceEntry(
            name,
            record['host'],
            record['data_centre'],
            _number('fitness', record['fitness']),
        )
    return None


def _number(name: str, text: str) -> float:
    try:
        return float(text)
    except ValueError as exc:
        raise DocumentUnreadable(
            f'{name}: expected a number, got {text!r}'
        ) from exc


def _gateway_record(document: bytes) -> dict[str, str]:
    try:
        record = json.loads(document)
    except ValueError as exc:
        raise DocumentUnreadable(f'record: not JSON: {exc}') from exc
    required = {'host'}
    if not isinstance(record, dict) or not required <= record.keys():
        raise DocumentUnreadable('record: expected an object with a host')
    texts = {name: str(value) for name, value in record.items()}
    absent = {'instance': '', 'data_centre': '', 'fitness': '1', 'era': '0'}
    return {**absent, **texts}
