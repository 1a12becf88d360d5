"""Reading of the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib
from typing import Any, NamedTuple

from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.settings import Address, GatewaySettings
from wasabicross.platform.values import number, parse_json, port_number

#: Environment variable with the path of the settings file.
PATH_VARIABLE = 'WASABICROSS_NODE_FILE'

_MS_IN_S = 1000


def settings_path() -> pathlib.Path:
    """Return the path of the settings file.

    :raises DocumentUnreadable: the environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise DocumentUnreadable(f'{PATH_VARIABLE} is not set')
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> GatewaySettings:
    """Read and validate the settings file.

    :param path: path of the file.
    :raises DocumentUnreadable: the file is missing or invalid; the message
        names the first error.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as exc:
        raise DocumentUnreadable(f'{path}: {exc.strerror}') from exc


def decode_settings(document: bytes) -> GatewaySettings:
    """Decode the settings of a process.

    :param document: JSON bytes.
    :raises DocumentUnreadable: a field is missing or invalid.
    """
    try:
        fields = _Table(parse_json(document), '')
    except DocumentUnreadable as exc:
        raise DocumentUnreadable(f'settings: {exc}') from exc
    listen = fields.table('listen')
    bounds = fields.table('bounds')
    limits = fields.table('limits')
    ports = fields.value('portRange', list)
    if len(ports) != 2 or not all(isinstance(each, int) for each in ports):
        raise DocumentUnreadable('settings: portRange: two ports expected')
    return GatewaySettings(
        instance=fields.value('nodeName', str),
        host=fields.value('ip', str),
        data_centre=fields.value('zone', str),
        data_centres=tuple(fields.value('zones', dict)),
        callers=listen.address('front'),
        ready=listen.address('ready'),
        peer_port=ports[0],
        store=fields.table('platform').address('address'),
        retry_ratio=bounds.number('retryRatio'),
        retry_slack=bounds.value('retrySlack', int),
        grace_s=bounds.number('graceS'),
        holder_gap_s=bounds.value('leaseMs', int) / _MS_IN_S,
        seeds=fields.hosts('seeds'),
        cores=limits.number('cpuShare') * limits.number('cores'),
        link_mbps=limits.number('linkMbps'),
        forwarding_port=ports[1] if ports[1] != ports[0] else 0,
        is_first_start=fields.flag('bootstrap'),
    )


class _Table(NamedTuple):
    """A table of the settings.

    :param content: the decoded table.
    :param path: path of the table, with a final dot; empty for the root.
    """

    content: Any
    path: str

    def value(self, name: str, kind: Any) -> Any:
        field_path = f'{self.path}{name}'
        if not isinstance(self.content, dict) or name not in self.content:
            raise DocumentUnreadable(f'settings: {field_path}: missing')
        found = self.content[name]
        if isinstance(found, bool) or not isinstance(found, kind):
            raise DocumentUnreadable(f'settings: {field_path}: wrong type')
        return found

    def flag(self, name: str) -> bool:
        """Return a boolean value, false if it is missing."""
        found = self.content.get(name, False)
        if not isinstance(found, bool):
            raise DocumentUnreadable(f'settings: {self.path}{name}: wrong type')
        return found

    def hosts(self, name: str) -> tuple[str, ...]:
        """Return the hosts of a list of addresses, empty if it is missing."""
        if name not in self.content:
            return ()
        addresses = self.value(name, list)
        return tuple(str(each).rpartition(':')[0] for each in addresses)

    def number(self, name: str) -> float:
        found = self.value(name, (int, float))
        try:
            return float(number(found))
        except ValueError as exc:
            raise DocumentUnreadable(
                f'settings: {self.path}{name}: {exc}'
            ) from exc

    def table(self, name: str) -> _Table:
        return _Table(self.value(name, dict), f'{self.path}{name}.')

    def address(self, name: str) -> Address:
        host, _, port_text = self.value(name, str).rpartition(':')
        try:
            port = port_number(port_text if host else '')
        except ValueError as exc:
            raise DocumentUnreadable(
                f'settings: {self.path}{name}: not HOST:PORT',
            ) from exc
        return Address(host, port)
