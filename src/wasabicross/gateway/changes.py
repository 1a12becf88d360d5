"""Changes of the store's content, as types of this project."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.conviction_records import StoredConvictions
from wasabicross.gateway.stream_division_records import StoredDivision


class ConfigurationUpdate(NamedTuple):
    """The operator wrote a configuration."""

    configuration: Configuration


class AdapterVersionUpdate(NamedTuple):
    """The operator set the version of an adapter that is in force."""

    key: AdapterKey
    version: int


class ServerEntryUpdate(NamedTuple):
    """A server wrote or changed its entry."""

    server: BackendServer


class ServerRemoval(NamedTuple):
    """The entry of a server was removed, or doesn't name a usable server."""

    server_id: str


class OwnerRecordUpdate(NamedTuple):
    """The owner record of a server group was written.

    :param group: name of the group.
    :param instance: name of the machine that owns the group, empty if the
        record names none.
    :param host: IP address of that machine, empty if the record names none.
    :param revision: position of the write.
    :param is_released: whether the owner has stopped ordering loads.
    :param is_restored: whether its writer knew only of an earlier era, so that
        a later owner's record may be lost.
    """

    group: str
    instance: str
    host: str
    revision: int
    is_released: bool = False
    is_restored: bool = False


class InstanceEntry(NamedTuple):
    """A gateway wrote its entry.

    :param instance: name of its machine.
    :param host: IP address of its machine.
    :param data_centre: name of its data centre.
    :param fitness: ownership weight of its machine, 1 for a typical one.
    """

    instance: str
    host: str
    data_centre: str
    fitness: float = 1


class StreamDivisionUpdate(NamedTuple):
    """The record of the division of a service's streams was written.

    :param service: name of the service.
    :param stored: content of the record, None if it is unreadable or removed.
    :param revision: position of the write.
    :param is_removed: whether the record was removed.
    """

    service: str
    stored: StoredDivision | None
    revision: int
    is_removed: bool = False


class ConvictionUpdate(NamedTuple):
    """The record of what is convicted of crashing servers was written.

    :param stored: its content, None if it is unreadable or removed.
    :param revision: position of the write.
    :param is_removed: whether the record was removed.
    """

    stored: StoredConvictions | None
    revision: int
    is_removed: bool = False


StoreChange: TypeAlias = (
    ConfigurationUpdate
    | AdapterVersionUpdate
    | ServerEntryUpdate
    | ServerRemoval
    | OwnerRecordUpdate
    | InstanceEntry
    | StreamDivisionUpdate
    | ConvictionUpdate
)
