"""Decoding of the platform's JSON documents into the gateway's types."""

from __future__ import annotations

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
from wasabicross.platform.values import (
    digits,
    host_and_port,
    identifier,
    integer,
    number,
    parse_json,
    rows,
    text,
)

_MS_IN_S = 1000
_STATES = ('ready', 'draining')
_DECODE_ERRORS = (
    DocumentUnreadable,
    KeyError,
    ValueError,
    TypeError,
    AttributeError,
    IndexError,
)


def decode_configuration(document: bytes) -> Configuration:
    """Decode the configuration that the operator wrote.

    :param document: JSON bytes.
    :raises DocumentUnreadable: the document isn't a valid configuration.
    """
    try:
        return _configuration(parse_json(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'configuration: {exc!r}') from exc


def decode_server(server_id: str, document: bytes) -> BackendServer:
    """Decode the registration of a server in the store.

    :param server_id: id of the server, from the key of the document.
    :param document: JSON bytes.
    :raises DocumentUnreadable: the document isn't a valid registration.
    """
    try:
        return _server(server_id, parse_json(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'server {server_id}: {exc!r}') from exc


def decode_version(document: bytes) -> tuple[AdapterKey, int]:
    """Decode an adapter and the version that the operator set for it.

    :param document: JSON bytes.
    :raises DocumentUnreadable: adapter or version is missing or invalid.
    """
    try:
        return _version(parse_json(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'version: {exc!r}') from exc


def decode_report(document: bytes) -> EngineReport:
    """Decode the status report of an engine.

    :param document: JSON bytes.
    :raises DocumentUnreadable: the document isn't a valid report.
    """
    try:
        return _report(parse_json(document))
    except _DECODE_ERRORS as exc:
        raise DocumentUnreadable(f'report: {exc!r}') from exc


def _configuration(wire: Any) -> Configuration:
    services = [_service(each) for each in rows(wire['services'])]
    return Configuration.from_parts(
        version=integer(wire['version']),
        routes=tuple(_route(each) for each in rows(wire['routes'])),
        services={service.name: service for service in services},
        limits=_limits(wire['limits']),
    )


def _route(wire: Any) -> Route:
    return Route(
        name=text(wire['name']),
        host=text(wire['host']),
        prefix=text(wire['pathPrefix']),
        kind=RouteKind(wire['kind']),
        timeout_s=_seconds(wire['timeoutMs']),
        target_s=_seconds(wire['targetLatencyMs']),
        gap_s=_seconds(wire.get('targetGapMs', 0)),
        priority=integer(wire['priority']),
        shares=_shares(wire),
        max_servers=integer(wire['maxAttempts']),
        is_resumable=bool(wire.get('resumable', False)),
    )


def _shares(wire: Any) -> tuple[ServiceShare, ...]:
    split = wire.get('trafficSplit')
    if split is None:
        return (ServiceShare(text(wire['service']), 1),)
    shares = tuple(
        ServiceShare(text(each['service']), number(each['weight']))
        for each in rows(split)
    )
    if not sum(share.weight for share in shares):
        raise ValueError('a split without any weight')
    return shares


def _service(wire: Any) -> Service:
    engine = wire.get('engine')
    return Service(
        name=text(wire['name']),
        health_path=identifier(wire['healthPath']),
        max_connections=integer(wire['maxConns']),
        engine=_engine(engine) if engine else None,
    )


def _engine(wire: Any) -> EngineSpec:
    return EngineSpec(
        adapter_slots=integer(wire['adapterSlots']),
        memory_mb=number(wire['weightsMb']),
        models=tuple(_model(each) for each in rows(wire['models'])),
    )


def _model(wire: Any) -> ModelSpec:
    # In the document, `weightsMb` of a model is the size of its weights, but
    # `weightsMb` of an engine is the memory of a server.
    return ModelSpec(
        name=text(wire['name']),
        weights_mb=number(wire['weightsMb']),
        adapter_mb=number(wire.get('adapterMb', 0)),
    )


def _limits(wire: Any) -> CallerLimits:
    return CallerLimits(
        header_bytes=integer(wire['maxHeaderBytes']),
        body_bytes=integer(wire['maxBodyBytes']),
        header_timeout_s=_seconds(wire['headerTimeoutMs']),
        idle_timeout_s=_seconds(wire['idleTimeoutMs']),
    )


def _server(server_id: str, wire: Any) -> BackendServer:
    host, port = host_and_port(wire['address'])
    held, models = _held_and_models(wire.get('models', []))
    return BackendServer(
        server_id=identifier(server_id),
        service=text(wire['service']),
        host=host,
        port=port,
        data_centre=text(wire['zone']),
        slots=integer(wire['slots']),
        is_leaving=_STATES.index(wire['state']) > 0,
        held=held,
        models=models,
        start_ms=integer(wire.get('born', 0)),
        software_version=text(wire['version']) if 'version' in wire else '',
    )


def _version(wire: Any) -> tuple[AdapterKey, int]:
    key = AdapterKey(text(wire['model']), text(wire['adapter']))
    return key, integer(wire['version'])


def _report(wire: Any) -> EngineReport:
    held, models = _held_and_models(wire['models'])
    pending = frozenset(
        _pending_key(text(each)) for each in rows(wire.get('pending', []))
    )
    return EngineReport(
        order_count=integer(wire['seq']),
        is_busy=bool(wire['busy']),
        queued=integer(wire['queued']),
        running=integer(wire['running']),
        held=held,
        pending=pending,
        models=models,
        start_ms=integer(wire.get('born', 0)),
    )


def _held_and_models(wire: Any) -> tuple[dict[AdapterKey, int], frozenset[str]]:
    held = {}
    models = set()
    for model in rows(wire):
        name = text(model['name'])
        models.add(name)
        for listed in rows(model['adapters']):
            adapter, _, version = text(listed).partition('@')
            held[AdapterKey(name, text(adapter))] = digits(version or '1')
    return held, frozenset(models)


def _pending_key(listed: str) -> AdapterKey:
    model, _, adapter = listed.partition('/')
    return AdapterKey(model, adapter.partition('@')[0])


def _seconds(wire: Any) -> float:
    return integer(wire) / _MS_IN_S
