"""Settings of one instance, read from YAML files, merged and validated."""

from collections.abc import Iterator, Mapping, Sequence
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal

import pydantic
from expression import Error, Ok, Result

from wasabicross.runtime.documents import (
    Section,
    read_document,
    schema_faults,
    walk,
)
from wasabicross.runtime.errors import DocumentFault, SettingsError

_KEY_BYTES = 32
_MAX_PORT = 65535
_MIN_TOKEN_CHARS = 8


def _ip_address(text: str) -> str:
    ip_address(text)
    return text


def _hex_key(text: str) -> str:
    if len(bytes.fromhex(text)) != _KEY_BYTES:
        raise ValueError('must be 32 bytes in hexadecimal')
    return text.lower()


Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.\-]{0,63}$'),
]
Port = Annotated[int, pydantic.Field(strict=True, ge=1, le=_MAX_PORT)]
Seconds = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(strict=True, ge=1)]
Weight = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
Url = Annotated[str, pydantic.StringConstraints(pattern=r'^https?://[^/\s]+')]
Token = Annotated[
    str,
    pydantic.StringConstraints(
        min_length=_MIN_TOKEN_CHARS,
        pattern=r'^[!-~]+$',
    ),
]
HexKey = Annotated[str, pydantic.AfterValidator(_hex_key)]
IpAddress = Annotated[str, pydantic.AfterValidator(_ip_address)]


class InstanceSettings(Section):
    """Identity of the instance, and the IP address that its programs bind."""

    instance_id: Name
    data_centre: Name
    host: IpAddress


class ControllerSettings(Section):
    """Ports of the controller: for links of peers and entries, and metrics."""

    port: Port
    metrics_port: Port


class EntrySettings(Section):
    """One entry process: its ports and its limit of concurrent requests."""

    name: Name
    port: Port
    metrics_port: Port
    max_requests: Count = 96


class AdminSettings(Section):
    """Ports of the administration API."""

    port: Port
    metrics_port: Port


class KeyValueSettings(Section):
    """URL of the key-value service, and the timeout of a call."""

    url: Url
    timeout_s: Seconds = 2.0


class InstanceListSettings(Section):
    """URL of the list of instances, timeout of a call and poll interval."""

    url: Url
    timeout_s: Seconds = 2.0
    poll_s: Seconds = 2.0


class PlatformSettings(Section):
    """The services of the platform."""

    kv: KeyValueSettings
    instance_list: InstanceListSettings


class TenantSettings(Section):
    """One tenant: its bearer token and its weight when capacity is short."""

    name: Name
    token: Token
    weight: Weight = 1.0


class OperatorSettings(Section):
    """One operator and its bearer token for the administration API."""

    name: Name
    token: Token


class ServersSettings(Section):
    """Properties of the backend servers, and time limits of their use.

    `fencing` names the servers that refuse orders with an old term; only
    these are sent terms. `max_request_s` limits the duration of a request.
    `use_lease_s` limits how long the servers of another data centre may be
    used after the last renewal by their owner.
    """

    fencing: tuple[Name, ...] = ()
    max_request_s: Seconds = 60.0
    use_lease_s: Seconds = 6.0


class ClaimsSettings(Section):
    """Number of key ranges of the claims, and retention time of a claim."""

    ranges: Count = 4
    horizon_s: Seconds = 900.0


class WeightStoreSettings(Section):
    """Load limits of the weight store, shared by all data centres."""

    loads_per_s: Weight = 3.0
    in_flight: Count = 8


class LogSettings(Section):
    """Format and lowest level of the logs."""

    format: Literal['json', 'human'] = 'json'
    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Settings(Section):
    """All settings of one instance, shared by its programs."""

    instance: InstanceSettings
    controller: ControllerSettings
    entries: Annotated[
        tuple[EntrySettings, ...],
        pydantic.Field(min_length=1),
    ]
    admin: AdminSettings
    platform: PlatformSettings
    trusted_keys: Annotated[
        dict[Name, HexKey],
        pydantic.Field(min_length=1),
    ]
    tenants: tuple[TenantSettings, ...] = ()
    operators: tuple[OperatorSettings, ...] = ()
    peer_token: Token
    servers: ServersSettings = ServersSettings()
    claims: ClaimsSettings = ClaimsSettings()
    weight_store: WeightStoreSettings = WeightStoreSettings()
    data_centres: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]
    logs: LogSettings = LogSettings()

    def entry(self, name: str | None) -> EntrySettings | None:
        """Return the entry with this name, or without a name the only entry.

        :param name: name in the section ``entries``, if any.
        """
        if name is None:
            return self.entries[0] if len(self.entries) == 1 else None
        named = (entry for entry in self.entries if entry.name == name)
        return next(named, None)


# By kind of value: the paths among which each value must be unique.
_UNIQUE: Mapping[str, tuple[str, ...]] = {
    'port': (
        'controller.port',
        'controller.metrics_port',
        'entries.*.port',
        'entries.*.metrics_port',
        'admin.port',
        'admin.metrics_port',
    ),
    'entry name': ('entries.*.name',),
    'tenant name': ('tenants.*.name',),
    'operator name': ('operators.*.name',),
    'token': ('tenants.*.token', 'operators.*.token', 'peer_token'),
    'data centre': ('data_centres.*',),
    'public key': ('trusted_keys.*',),
}


def load_settings(
    paths: Sequence[str | Path],
) -> Result[Settings, SettingsError]:
    """Read and merge YAML files, whose later sections replace earlier ones.

    :param paths: the files, at least one.
    """
    merged: dict[str, Any] = {}
    faults: list[DocumentFault] = []
    for path in paths:
        sections, file_faults = _read_file(Path(path))
        merged.update(sections)
        faults.extend(file_faults)
    if not paths:
        faults.append(DocumentFault('', 'no settings file was given'))
    if not merged and faults:
        return Error(SettingsError(tuple(faults)))
    return _validate(merged, faults)


def _read_file(path: Path) -> tuple[dict[str, Any], list[DocumentFault]]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return {}, [DocumentFault(str(path), f'not readable: {exc}')]
    document = read_document(text)
    faults = [
        DocumentFault(f'{path}: {fault.path}'.rstrip(': '), fault.message)
        for fault in document.faults
    ]
    if isinstance(document.root, dict):
        return document.root, faults
    return {}, [
        *faults,
        DocumentFault(str(path), 'must be a mapping of sections'),
    ]


def _validate(
    merged: dict[str, Any],
    faults: list[DocumentFault],
) -> Result[Settings, SettingsError]:
    cfg = None
    try:
        cfg = Settings.model_validate(merged)
    except pydantic.ValidationError as exc:
        faults.extend(schema_faults(exc))
    faults.extend(_repeated_values(merged))
    faults.extend(_unknown_data_centre(merged))
    if faults or cfg is None:
        return Error(SettingsError(tuple(faults)))
    return Ok(cfg)


def _repeated_values(merged: dict[str, Any]) -> Iterator[DocumentFault]:
    for kind, patterns in _UNIQUE.items():
        first_paths: dict[str, str] = {}
        for pattern in patterns:
            for path, value in walk(merged, pattern):
                first_path = first_paths.setdefault(str(value), path)
                if first_path != path:
                    yield DocumentFault(
                        path, f'{kind} is already used by {first_path}'
                    )


def _unknown_data_centre(merged: dict[str, Any]) -> Iterator[DocumentFault]:
    known = {value for _, value in walk(merged, 'data_centres.*')}
    for path, value in walk(merged, 'instance.data_centre'):
        if known and value not in known:
            yield DocumentFault(path, 'is not one of data_centres')
