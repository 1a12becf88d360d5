"""Decoding of the platform's JSON documents into the gateway's types."""

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
_DECODE_ERRORS = (KeyError, ValueError, TypeError, AttributeError, IndexError)


def decode_configuration(document: bytes) -> Configuration:
    """Decode the configuration that the operator wrote.

    :param document: JSON bytes.
    :raises DocumentUnreadable: the document isn't a valid configuration.
    """
    try:
        return _configuration(json.loads(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'configuration: {exc!r}') from exc


def decode_server(server_id: str, document: bytes) -> BackendServer:
    """Decode the registration of a server in the store.

    :param server_id: id of the server, from the key of the document.
    :param document: JSON bytes.
    :raises DocumentUnreadable: the document isn't a valid registration.
    """
    try:
        return _server(server_id, json.loads(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'server {server_id}: {exc!r}') from exc


def decode_version(document: bytes) -> tuple[AdapterKey, int]:
    """Decode an adapter and the version that the operator set for it.

    :param document: JSON bytes.
    :raises DocumentUnreadable: adapter or version is missing or invalid.
    """
    try:
        return _version(json.loads(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'version: {exc!r}') from exc


def decode_report(document: bytes) -> EngineReport:
    """Decode the status report of an engine.

    :param document: JSON bytes.
    :raises DocumentUnreadable: the document isn't a valid report.
    """
    try:
        return _report(json.loads(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'report: {exc!r}') from exc


def _configuration(wire: Any) -> Configuration:
    services = [_service(each) for each in wire['services']]
    return Configuration.from_parts(
        version=_integer(wire['version']),
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
        priority=_integer(wire['priority']),
        shares=_shares(wire),
        max_servers=_integer(wire['maxAttempts']),
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
        max_connections=_integer(wire['maxConns']),
        engine=_engine(engine) if engine else None,
    )


def _engine(wire: Any) -> EngineSpec:
    return EngineSpec(
        adapter_slots=_integer(wire['adapterSlots']),
        memory_mb=float(wire['weightsMb']),
        models=tuple(_model(each) for each in wire['models']),
    )


def _model(wire: Any) -> ModelSpec:
    # In the document, `weightsMb` of a model is the size of its weights, but
    # `weightsMb` of an engine is the memory of a server.
    return ModelSpec(
        name=_text(wire['name']),
        weights_mb=float(wire['weightsMb']),
        adapter_mb=float(wire.get('adapterMb', 0)),
    )


def _limits(wire: Any) -> CallerLimits:
    return CallerLimits(
        header_bytes=_integer(wire['maxHeaderBytes']),
        body_bytes=_integer(wire['maxBodyBytes']),
        header_timeout_s=_seconds(wire['headerTimeoutMs']),
        idle_timeout_s=_seconds(wire['idleTimeoutMs']),
    )


def _server(server_id: str, wire: Any) -> BackendServer:
    host, port = _address(wire['address'])
    held, models = _held_and_models(wire.get('models', []))
    return BackendServer(
        server_id=server_id,
        service=_text(wire['service']),
        host=host,
        port=port,
        data_centre=_text(wire['zone']),
        slots=_integer(wire['slots']),
        is_leaving=_STATES.index(wire['state']) > 0,
        held=held,
        models=models,
        start_ms=_integer(wire.get('born', 0)),
    )


def _version(wire: Any) -> tuple[AdapterKey, int]:
    key = AdapterKey(_text(wire['model']), _text(wire['adapter']))
    return key, _integer(wire['version'])


def _report(wire: Any) -> EngineReport:
    held, models = _held_and_models(wire['models'])
    pending = frozenset(
        _pending_key(_text(each)) for each in wire.get('pending', [])
    )
    return EngineReport(
        order_count=_integer(wire['seq']),
        is_busy=bool(wire['busy']),
        queued=_integer(wire['queued']),
        running=_integer(wire['running']),
        held=held,
        pending=pending,
        models=models,
        start_ms=_integer(wire.get('born', 0)),
    )


def _held_and_models(wire: Any) -> tuple[dict[AdapterKey, int], frozenset[str]]:
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
        raise ValueError(f'expected a non-empty string, got {wire!r}')
    return wire


def _integer(wire: Any) -> int:
    if isinstance(wire, bool) or not isinstance(wire, (int, float)):
        raise ValueError(f'expected a number, got {wire!r}')
    return int(wire)


def _seconds(wire: Any) -> float:
    return _integer(wire) / _MS_IN_S
