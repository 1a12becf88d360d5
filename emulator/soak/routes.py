"""The routes of a soak run, and the configurations that hold them."""

from __future__ import annotations

from typing import Any, NamedTuple

from emulator.soak.answer_parts import SLOW
from emulator.soak.engine_adapters import MODEL

CALLER_HOST = 'a.example'
ADAPTER_SLOTS = 4

_MS_PER_S = 1000


class RouteSpec(NamedTuple):
    """A route, whose name is the first part of its path.

    :param kind: request kind in the terms of the platform, which decides what
        may be retried.
    :param service: name of the service that runs its requests.
    :param timeout_s: time limit of a request in seconds.
    :param max_servers: maximum number of servers that one request is sent to.
    :param priority: priority of its requests, 0 is the highest.
    """

    name: str
    kind: str
    service: str
    timeout_s: float
    max_servers: int
    is_resumable: bool
    priority: int


ROUTES = (
    RouteSpec('stream', 'streaming', 'llm', 4, 1, False, 1),
    RouteSpec('resumable', 'streaming', 'llm', 4, 2, True, 2),
    RouteSpec('safe', 'safe', 'desk', 1.5, 2, False, 3),
    RouteSpec('unsafe', 'unsafe', 'desk', 1.5, 1, False, 3),
)

#: Streams whose events come slowly, so that more of them are interrupted.
SLOW_ROUTE = RouteSpec(SLOW, 'streaming', 'llm', 8, 2, True, 2)
ALL_ROUTES = (*ROUTES, SLOW_ROUTE)
RESUMABLE_ROUTES = tuple(each for each in ALL_ROUTES if each.is_resumable)


def configuration(version: int) -> dict[str, Any]:
    """Return the configuration of a version.

    :param version: its version.
    """
    return {
        'version': version,
        'routes': [
            _route(each)
            for each in (*ALL_ROUTES, *_routes_of_versions(version))
        ],
        'services': [
            {
                'name': 'llm',
                'healthPath': '/health',
                'maxConns': 500,
                'engine': {
                    'adapterSlots': ADAPTER_SLOTS,
                    'weightsMb': 50,
                    'models': [
                        {'name': MODEL, 'weightsMb': 40, 'adapterMb': 1}
                    ],
                },
            },
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 500},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 2000,
            'idleTimeoutMs': 10000,
        },
    }


def route_added_by(version: int) -> str:
    """Return the name of the route that a configuration adds.

    :param version: version of the configuration.
    """
    return f'since-{version}'


def _routes_of_versions(version: int) -> list[RouteSpec]:
    """Return the safe routes that all configurations up to a version add."""
    safe = next(each for each in ROUTES if each.kind == 'safe')
    return [
        safe._replace(name=route_added_by(each))
        for each in range(1, version + 1)
    ]


def _route(spec: RouteSpec) -> dict[str, Any]:
    return {
        'name': spec.name,
        'host': CALLER_HOST,
        'pathPrefix': f'/{spec.name}/',
        'kind': spec.kind,
        'timeoutMs': int(spec.timeout_s * _MS_PER_S),
        'targetLatencyMs': 400,
        'targetGapMs': 250,
        'priority': spec.priority,
        'maxAttempts': spec.max_servers,
        'resumable': spec.is_resumable,
        'service': spec.service,
    }
