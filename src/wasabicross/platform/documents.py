"""The platform's JSON documents, decoded into the project's types."""

from __future__ import annotations

import json
from typing import Any

from wasabicross.gateway.backend import (
    AdapterKey,
    BackendServer,
    EngineReport,
)
from wasabicross.gateway.configuration import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from wasabicross.gateway.errors import DocumentUnreadable

_MS_IN_S = 1000
_STATES = ('ready', 'draining')
_FAULTS = (KeyError, ValueError, TypeError, AttributeError, IndexError)


def decode_configuration(document: bytes) -> Configuration:
    """Decode the configuration that the operator wrote.

    :param document: JSON bytes.
    :raises DocumentUnreadable: it isn't a configuration.
    """
    try:
        return _configuration(json.loads(document))
    except _FAULTS as exc:
        raise DocumentUnreadable(f'configuration: {exc!r}') from exc


def decode_server(server_id: str, document: bytes) -> BackendServer:
    """Decode what a server says of itself in the store.

    :param server_id: the id that its key names.
    :param document: JSON bytes.
    :raises DocumentUnreadable: it names no server to use.
    """
    try:
        return _server(server_id, json.loads(document))
    except _FAULTS as exc:
        raise DocumentUnreadable(f'server {server_id}: {exc!r}') from exc


def decode_version(document: bytes) -> tuple[AdapterKey, int]:
    """Decode the version of an adapter that the operator named.

    :param document: JSON bytes.
    :raises DocumentUnreadable: it names no adapter and version.
    """
    try:
        return _version(json.loads(document))
    except _FAULTS as exc:
        raise DocumentUnreadable(f'version: {exc!r}') from exc


def decode_report(document: bytes) -> EngineReport:
    """Decode the report of an engine.

    :param document: JSON bytes.
    :raises DocumentUnreadable: it isn't a report.
    """
    try:
        return _report(json.loads(document))
    except _FAULTS as exc:
        raise DocumentUnreadable(f'report: {exc!r}') from exc


def _configuration(wire: Any) -> Configuration:
    services = [_service(each) for each in wire['services']]
    return Configuration.from_parts(
        version=_whole(wire['version']),
        routes=tuple(_route(each) for each in wire['routes']),
        services={service.name: service for service in services},
        limits=_limits(wire['limits']),
    )


def _route(wire: Any) -> Route:
    return Route(
        name=wire['name'],
        host=wire['host'],
        prefix=wire['pathPrefix'],
        kind=RouteKind(wire['kind']),
        timeout_s=_seconds(wire['timeoutMs']),
        target_s=_seconds(wire['targetLatencyMs']),
        gap_s=_seconds(wire.get('targetGapMs', 0)),
        priority=_whole(wire['priority']),
        shares=_shares(wire),
        max_servers=_whole(wire['maxAttempts']),
        is_resumable=bool(wire.get('resumable', False)),
    )


def _shares(wire: Any) -> tuple[ServiceShare, ...]:
    split = wire.get('trafficSplit')
    if split is None:
        return (ServiceShare(wire['service'], 1),)
    return tuple(
        ServiceShare(each['service'], float(each['weight'])) for each in split
    )


def _service(wire: Any) -> Service:
    engine = wire.get('engine')
    return Service(
        name=wire['name'],
        health_path=wire['healthPath'],
        max_connections=_whole(wire['maxConns']),
        engine=_engine(engine) if engine else None,
    )


def _engine(wire: Any) -> EngineSpec:
    return EngineSpec(
        adapter_slots=_whole(wire['adapterSlots']),
        memory_mb=float(wire['weightsMb']),
        models=tuple(_model(each) for each in wire['models']),
    )


def _model(wire: Any) -> ModelSpec:
    # The same name holds a model's size here and a server's memory above.
    return ModelSpec(
        name=_text(wire['name']),
        weights_mb=float(wire['weightsMb']),
        adapter_mb=float(wire.get('adapterMb', 0)),
    )


def _limits(wire: Any) -> CallerLimits:
    return CallerLimits(
        header_bytes=_whole(wire['maxHeaderBytes']),
        body_bytes=_whole(wire['maxBodyBytes']),
        header_timeout_s=_seconds(wire['headerTimeoutMs']),
        idle_timeout_s=_seconds(wire['idleTimeoutMs']),
    )


def _server(server_id: str, wire: Any) -> BackendServer:
    host, port = _address(wire['address'])
    held, models = _holdings(wire.get('models', []))
    return BackendServer(
        server_id=server_id,
        service=_text(wire['service']),
        host=host,
        port=port,
        data_centre=_text(wire['zone']),
        slots=_whole(wire['slots']),
        is_leaving=_STATES.index(wire['state']) > 0,
        held=held,
        models=models,
        start_ms=_whole(wire.get('born', 0)),
    )


def _version(wire: Any) -> tuple[AdapterKey, int]:
    key = AdapterKey(_text(wire['model']), _text(wire['adapter']))
    return key, _whole(wire['version'])


def _report(wire: Any) -> EngineReport:
    held, models = _holdings(wire['models'])
    pending = frozenset(
        _pending_key(_text(each)) for each in wire.get('pending', [])
    )
    return EngineReport(
        order_count=_whole(wire['seq']),
        is_busy=bool(wire['busy']),
        queued=_whole(wire['queued']),
        running=_whole(wire['running']),
        held=held,
        pending=pending,
        models=models,
        start_ms=_whole(wire.get('born', 0)),
    )


def _holdings(wire: Any) -> tuple[dict[AdapterKey, int], frozenset[str]]:
    held = {}
    models = set()
    for model in wire:
        name = _text(model['name'])
        models.add(name)
        for listed in model['adapters']:
            adapter, _, version = listed.partition('@')
            held[AdapterKey(name, adapter)] = int(version or 1)
    return held, frozenset(models)


def _pending_key(listed: str) -> AdapterKey:
    model, _, adapter = listed.partition('/')
    return AdapterKey(model, adapter.partition('@')[0])


def _address(wire: str) -> tuple[str, int]:
    host, _, port = wire.rpartition(':')
    return host, int(port)


def _text(wire: Any) -> str:
    if not isinstance(wire, str) or not wire:
        raise ValueError(f'{wire!r} is no text')
    return wire


def _whole(wire: Any) -> int:
    if isinstance(wire, bool) or not isinstance(wire, (int, float)):
        raise ValueError(f'{wire!r} is no number')
    return int(wire)


def _seconds(wire: Any) -> float:
    return _whole(wire) / _MS_IN_S
