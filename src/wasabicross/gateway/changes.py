"""Changes of what the platform's store tells, as the project's types."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.configuration import Configuration


class ConfigurationUpdate(NamedTuple):
    """The operator wrote a configuration."""

    configuration: Configuration


class AdapterVersionUpdate(NamedTuple):
    """The operator named a version of an adapter."""

    key: AdapterKey
    version: int


class ServerEntryUpdate(NamedTuple):
    """A server registered or changed its entry."""

    server: BackendServer


class ServerRemoval(NamedTuple):
    """The entry of a server has gone, or names no server to use."""

    server_id: str


class OwnerRecordUpdate(NamedTuple):
    """A gateway wrote to the record of a group of servers.

    :param revision: number of that write.
    :param is_released: whether the owner orders nothing any more.
    """

    group: str
    instance: str
    host: str
    revision: int
    is_released: bool = False


class InstanceEntry(NamedTuple):
    """A gateway told where it is.

    :param fitness: how well its machine can own servers, 1 is usual.
    """

    instance: str
    host: str
    data_centre: str
    fitness: float = 1


StoreChange: TypeAlias = (
    ConfigurationUpdate
    | AdapterVersionUpdate
    | ServerEntryUpdate
    | ServerRemoval
    | OwnerRecordUpdate
    | InstanceEntry
)
