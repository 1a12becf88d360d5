"""Client of the platform's list of live and leaving instances."""

import json
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from wasabicross.stores.errors import (
    InstanceListError,
    InstanceListMalformed,
    InstanceListUnavailable,
)
from wasabicross.stores.single_call import (
    AnswerLost,
    NotSent,
    ServiceSettings,
    SingleAttemptClient,
)

LIVE = 'live'
LEAVING = 'leaving'
STATES = frozenset((LIVE, LEAVING))
KINDS = frozenset(('engine', 'service'))
MAX_PORT = 65535
STATUS_OK = 200


class Instance(NamedTuple):
    """An instance that runs wasabicross.

    :param instance_id: its id, unique in all data centres.
    :param data_centre: name of its data centre.
    :param host: its IP address.
    :param port: port on which its controller accepts links.
    :param state: ``live`` or ``leaving``.
    """

    instance_id: str
    data_centre: str
    host: str
    port: int
    state: str


class BackendServer(NamedTuple):
    """A backend server.

    :param server_id: its id, unique in all data centres.
    :param kind: ``engine`` or ``service``.
    :param group: name of its group, whose servers are interchangeable.
    :param data_centre: name of its data centre.
    :param host: its IP address.
    :param port: its HTTP port.
    :param state: ``live`` or ``leaving``.
    :param base_model: base model of an engine, empty for a service.
    """

    server_id: str
    kind: str
    group: str
    data_centre: str
    host: str
    port: int
    state: str
    base_model: str


class Fleet(NamedTuple):
    """The instance list as it was read; it lags behind the actual state."""

    instances: tuple[Instance, ...]
    servers: tuple[BackendServer, ...]


class _CachedList(NamedTuple):
    data: bytes
    fleet: Fleet


class InstanceList:
    """Client that reads the platform's list of instances and backend servers.

    :param url: base URL of the list.
    :param timeout_s: time-out in seconds for the connection and for each read.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = SingleAttemptClient(url, timeout_s)
        self._cached: _CachedList | None = None

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> 'InstanceList':
        """Create a client from the settings of the list."""
        return cls(cfg.url, cfg.timeout_s)

    def fetch(self) -> Result[Fleet, InstanceListError]:
        """Read the list.

        :returns: the fleet, the same object while the list does not change, or
            :class:`InstanceListUnavailable` or :class:`InstanceListMalformed`.
        """
        try:
            resp = self._client.send('GET', '/v1/fleet')
        except (NotSent, AnswerLost) as exc:
            return Error(InstanceListUnavailable(str(exc)))
        if resp.status != STATUS_OK:
            return Error(InstanceListUnavailable(f'status {resp.status}'))
        try:
            return Ok(self._parse(resp.data))
        except (KeyError, TypeError, ValueError) as exc:
            return Error(InstanceListMalformed(repr(exc)))

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def _parse(self, data: bytes) -> Fleet:
        cached = self._cached
        if cached is None or cached.data != data:
            cached = _CachedList(data, parse_fleet(data))
            self._cached = cached
        return cached.fleet


def parse_fleet(data: bytes) -> Fleet:
    """Parse a fleet from JSON.

    A single malformed entry makes the whole list invalid, since a list without
    it would state that the instance is gone.

    :param data: JSON object with ``instances`` and ``servers``.
    :raises KeyError: a field is missing.
    :raises TypeError: an entry is not an object.
    :raises ValueError: a field has an invalid value, or an id is not unique.
    """
    document = json.loads(data)
    fleet = Fleet(
        tuple(_instance(entry) for entry in document['instances']),
        tuple(_server(entry) for entry in document['servers']),
    )
    _check_unique([instance.instance_id for instance in fleet.instances])
    _check_unique([server.server_id for server in fleet.servers])
    return fleet


def _instance(entry: dict[str, Any]) -> Instance:
    return Instance(
        _text(entry, 'instance_id'),
        _text(entry, 'data_centre'),
        _text(entry, 'host'),
        _port(entry),
        _choice(entry, 'state', STATES),
    )


def _server(entry: dict[str, Any]) -> BackendServer:
    return BackendServer(
        _text(entry, 'server_id'),
        _choice(entry, 'kind', KINDS),
        _text(entry, 'group'),
        _text(entry, 'data_centre'),
        _text(entry, 'host'),
        _port(entry),
        _choice(entry, 'state', STATES),
        entry.get('base_model', ''),
    )


def _text(entry: dict[str, Any], name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f'{name}: {value!r}')
    return value


def _choice(entry: dict[str, Any], name: str, choices: frozenset[str]) -> str:
    value = _text(entry, name)
    if value not in choices:
        raise ValueError(f'{name}: {value!r}')
    return value


def _port(entry: dict[str, Any]) -> int:
    value = entry['port']
    if not isinstance(value, int) or not 0 < value <= MAX_PORT:
        raise ValueError(f'port: {value!r}')
    return value


def _check_unique(names: list[str]) -> None:
    if len(set(names)) != len(names):
        raise ValueError('two entries have the same id')
