"""The processes of a soak run: gateways, and the platform's stand-ins."""

from __future__ import annotations

import json
import pathlib
import time
from typing import Any, NamedTuple

import urllib3

from emulator.fleet import Program, Runner
from emulator.proxy import ProxyClient
from emulator.soak.engine_adapters import MODEL
from emulator.soak.store import encoded
from emulator.waiting import free_ports

HOST = '127.0.0.1'
CALLER_HOST = 'a.example'
ADAPTERS = tuple(f'a{number}' for number in range(1, 13))
ADAPTER_SLOTS = 4
ENGINE_SLOTS = 24

#: Least time between the orders of two machines to one engine.
HOLDER_GAP_S = 3.0

#: From SIGTERM until a gateway is killed.
GRACE_S = 8.0

#: Repeats that all gateways together may send to a service: a share of its
#: requests, and a number beyond that.
RETRY_RATIO = 0.2
RETRY_SLACK = 40

_DATA_CENTRES = ('north', 'south')
_DESKS = 2

#: Those of the store, the proxy's control, callers, readiness and peers.
_FIXED_PORTS = 5
_MS_IN_S = 1000


class Gateway(NamedTuple):
    """A gateway process and where it is met.

    :param host: IP number that it listens on.
    :param caller_port: port for callers.
    :param ready: port for readiness and metrics.
    :param store_link: port of the proxy that leads it to the store.
    """

    name: str
    host: str
    data_centre: str
    caller_port: int
    ready: int
    store_link: int


class Server(NamedTuple):
    """A backend server.

    :param port: its own port, for faults.
    :param link: port of the proxy that leads all gateways to it.
    """

    name: str
    service: str
    data_centre: str
    port: int
    link: int


class RouteSpec(NamedTuple):
    """A kind of request, whose path is its name.

    :param kind: what may be repeated, as the platform spells it.
    :param service: name of the service that runs it.
    :param timeout_s: longest time until its final answer, in seconds.
    :param max_servers: servers that one request may be sent to.
    :param priority: its rank, 0 is the most urgent.
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


class SoakDeployment:
    """Gateways in two data centres, engines, plain servers, store and proxy.

    :param runner: runs the processes.
    :param folder: where settings files go.
    :param gateways: how many.
    :param engines: how many.
    """

    def __init__(
        self, runner: Runner, folder: pathlib.Path, gateways: int, engines: int
    ) -> None:
        self.runner = runner
        self._folder = folder
        services = [
            'llm' if number < engines else 'desk'
            for number in range(engines + _DESKS)
        ]
        count = _FIXED_PORTS + gateways + 2 * len(services)
        ports = iter(free_ports(count))
        self._store_port = next(ports)
        self._control_port = next(ports)
        callers = next(ports)
        ready = next(ports)
        self._peer_port = next(ports)
        self.gateways = [
            Gateway(
                f'gateway-{number}',
                f'127.0.0.{10 + number}',
                _data_centre(number),
                callers,
                ready,
                next(ports),
            )
            for number in range(gateways)
        ]
        self.servers = [
            Server(
                f'{service}-{number}',
                service,
                _data_centre(number),
                next(ports),
                next(ports),
            )
            for number, service in enumerate(services)
        ]
        self.proxy = ProxyClient(self._control_port)
        # A server that starts again may not listen yet.
        retries = urllib3.Retry(total=6, backoff_factor=0.1)
        self._http = urllib3.PoolManager(retries=retries, timeout=5)
        #: The newest configuration that the store has acknowledged.
        self.acknowledged_configuration = 0
        self._configuration = 0

    def start(self) -> None:
        """Start everything; return once all gateways are ready.

        :raises ProgramFailed: a process ended instead.
        :raises TimeoutError: one wasn't ready in time.
        """
        self.runner.run(self._store(), self._proxy())
        self.runner.start(*map(self._server, self.servers))
        self.configure()
        self.runner.run(*map(self._gateway, self.gateways))

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._configuration += 1
        version = self._configuration
        self.put('op/config', _configuration(version))
        self.acknowledged_configuration = version

    def put(self, key: str, document: dict[str, Any]) -> float:
        """Write an item as the operator.

        :param key: its key.
        :param document: its value.
        :return: when it was acknowledged, monotonic seconds.
        :raises urllib3.exceptions.HTTPError: the store can't be reached.
        """
        text = encoded(json.dumps(document).encode())
        url = f'http://{HOST}:{self._store_port}/debug/put'
        self._http.request('POST', url, json={'key': key, 'text': text})
        return time.monotonic()

    def fault_store(self, kind: str, value: Any = True) -> None:
        """Have the store fail.

        :param kind: one of those that its module lists.
        :param value: what that kind takes.
        :raises urllib3.exceptions.HTTPError: the store can't be reached.
        """
        self._fault(self._store_port, {'kind': kind, 'value': value})

    def fault_server(self, server: Server, **fault: Any) -> None:
        """Have a server fail.

        :param server: which one.
        :param fault: the document that its module lists.
        :raises urllib3.exceptions.HTTPError: the server can't be reached.
        """
        self._fault(server.port, fault)

    def _fault(self, port: int, document: dict[str, Any]) -> None:
        headers = {'Connection': 'close'}
        url = f'http://{HOST}:{port}/fault'
        self._http.request('POST', url, json=document, headers=headers)

    def _store(self) -> Program:
        ready = f'tcp://{HOST}:{self._store_port}'
        args = ('--port', str(self._store_port))
        return Program('store', 'emulator.soak.store', args, ready)

    def _proxy(self) -> Program:
        args = ['--control', str(self._control_port)]
        links = [
            *((each.store_link, self._store_port) for each in self.gateways),
            *((each.link, each.port) for each in self.servers),
        ]
        for listen, target in links:
            args.extend(('--listen', str(listen)))
            args.extend(('--target', f'{HOST}:{target}'))
        ready = f'tcp://{HOST}:{self._control_port}'
        return Program('proxy', 'emulator.proxy', tuple(args), ready)

    def _server(self, server: Server) -> Program:
        is_engine = server.service == 'llm'
        options = {
            'port': server.port,
            'server-id': server.name,
            'service': server.service,
            'address': f'{HOST}:{server.link}',
            'data-centre': server.data_centre,
            'store-port': self._store_port,
            'slots': ENGINE_SLOTS,
            'adapter-slots': ADAPTER_SLOTS if is_engine else 0,
        }
        args = tuple(
            word
            for name, value in options.items()
            for word in (f'--{name}', str(value))
        )
        return Program(server.name, 'emulator.soak.backend', args)

    def _gateway(self, gateway: Gateway) -> Program:
        path = self._folder / f'{gateway.name}.json'
        path.write_text(json.dumps(self._settings(gateway)))
        return Program(
            gateway.name,
            'wasabicross.programs.run_gateway',
            ready=f'http://{gateway.host}:{gateway.ready}/-/ready',
            env=(('WASABICROSS_NODE_FILE', str(path)),),
        )

    def _settings(self, gateway: Gateway) -> dict[str, Any]:
        seeds = [f'{each.host}:1' for each in self.gateways[:3]]
        return {
            'nodeName': gateway.name,
            'ip': gateway.host,
            'zone': gateway.data_centre,
            'zones': dict.fromkeys(_DATA_CENTRES, 'region'),
            'listen': {
                'front': f'{gateway.host}:{gateway.caller_port}',
                'ready': f'{gateway.host}:{gateway.ready}',
            },
            'portRange': [self._peer_port, self._peer_port + 1],
            'platform': {'address': f'{HOST}:{gateway.store_link}'},
            'bounds': {
                'retryRatio': RETRY_RATIO,
                'retrySlack': RETRY_SLACK,
                'graceS': GRACE_S,
                'leaseMs': int(HOLDER_GAP_S * _MS_IN_S),
            },
            'seeds': seeds,
            'limits': {'cpuShare': 1.0, 'cores': 1, 'linkMbps': 1000.0},
        }


def _data_centre(number: int) -> str:
    return _DATA_CENTRES[number % len(_DATA_CENTRES)]


def _configuration(version: int) -> dict[str, Any]:
    return {
        'version': version,
        'routes': [_route(each) for each in (*ROUTES, *_added_by(version))],
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


def since_route(version: int) -> str:
    """Return the name of the route that a configuration has added.

    :param version: number of the configuration.
    """
    return f'since-{version}'


def _added_by(version: int) -> list[RouteSpec]:
    """Return a safe route for each configuration up to one."""
    safe = next(each for each in ROUTES if each.kind == 'safe')
    return [
        safe._replace(name=since_route(each)) for each in range(1, version + 1)
    ]


def _route(spec: RouteSpec) -> dict[str, Any]:
    return {
        'name': spec.name,
        'host': CALLER_HOST,
        'pathPrefix': f'/{spec.name}/',
        'kind': spec.kind,
        'timeoutMs': int(spec.timeout_s * _MS_IN_S),
        'targetLatencyMs': 400,
        'targetGapMs': 250,
        'priority': spec.priority,
        'maxAttempts': spec.max_servers,
        'resumable': spec.is_resumable,
        'service': spec.service,
    }
