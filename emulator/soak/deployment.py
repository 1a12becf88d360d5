"""The processes of a soak run: gateways and stand-ins for the platform."""

from __future__ import annotations

import itertools
import json
import pathlib
import time
from typing import Any, NamedTuple

import urllib3

from emulator.fleet import Program, Runner
from emulator.proxy import ProxyClient
from emulator.soak.answer_parts import SOFTWARE
from emulator.soak.routes import ADAPTER_SLOTS, configuration
from emulator.soak.store import encode_value
from emulator.waiting import free_ports

HOST = '127.0.0.1'
ADAPTERS = tuple(f'a{number}' for number in range(1, 13))
ENGINE_SLOTS = 24

#: Minimum time between the orders of two owners to one engine.
MIN_OWNER_GAP_S = 3.0

#: Time from SIGTERM until a gateway is killed.
GRACE_PERIOD_S = 8.0

#: Retries that all gateways together may send to a service: a share of its
#: requests, and a fixed number in addition.
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 40

_DATA_CENTRES = ('north', 'south')
_PLAIN_SERVERS = 2

#: Ports of the store, the control of the proxy, callers and readiness, and two of
#: the gateways among themselves.
_SHARED_PORTS = 6
_MS_PER_S = 1000


class Gateway(NamedTuple):
    """A gateway process and its addresses.

    :param host: IP address that it listens on.
    :param caller_port: port for callers.
    :param ready_port: port for readiness and metrics.
    :param store_link_port: port of the proxy on its way to the store.
    """

    name: str
    host: str
    data_centre: str
    caller_port: int
    ready_port: int
    store_link_port: int


class Server(NamedTuple):
    """A backend server.

    :param port: its own port, which takes faults.
    :param link_port: port of the proxy between all gateways and this server.
    """

    name: str
    service: str
    data_centre: str
    port: int
    link_port: int


class SoakDeployment:
    """Gateways in two data centres, engines, plain servers, store and proxy.

    :param runner: runs the processes.
    :param folder: folder for the settings files.
    :param gateways: number of gateways.
    :param engines: number of engines.
    :param has_links: whether the proxy is on the way to servers; without it they
        are spared its work in large deployments, and their links take no faults.
    """

    def __init__(
        self,
        runner: Runner,
        folder: pathlib.Path,
        gateways: int,
        engines: int,
        *,
        has_links: bool = True,
    ) -> None:
        self.runner = runner
        self._folder = folder
        self._has_links = has_links
        services = [
            'llm' if number < engines else 'desk'
            for number in range(engines + _PLAIN_SERVERS)
        ]
        count = _SHARED_PORTS + gateways + 2 * len(services)
        ports = iter(free_ports(count))
        self._store_port = next(ports)
        self._control_port = next(ports)
        callers = next(ports)
        ready = next(ports)
        self._peer_ports = list(itertools.islice(ports, 2))
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
        # A server may end or not listen yet when a fault is sent to it.
        retries = urllib3.Retry(
            total=6, backoff_factor=0.1, allowed_methods=None
        )
        self._http = urllib3.PoolManager(retries=retries, timeout=5)
        #: Version of the newest configuration that the store has acknowledged.
        self.acknowledged_configuration = 0
        #: Parts of paths of requests that crash servers, which callers send now.
        self.deadly: list[str] = []
        self._configuration = 0
        self._is_first_start = True

    def start(self) -> None:
        """Start all processes; return when all gateways are ready.

        :raises ProgramFailed: a process ended before it was ready.
        :raises TimeoutError: a process wasn't ready in time.
        """
        self.runner.run(self._store(), self._proxy())
        self.runner.start(*map(self._server, self.servers))
        self.configure()
        self.runner.run(*map(self._gateway, self.gateways))
        self._is_first_start = False
        for gateway in self.gateways:
            self._write_settings(gateway)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._configuration += 1
        version = self._configuration
        self.put('op/config', configuration(version))
        self.acknowledged_configuration = version

    def put(self, key: str, document: dict[str, Any]) -> float:
        """Write an item to the store as the operator.

        :param key: key of the item.
        :param document: value of the item.
        :return: when the store acknowledged it, monotonic seconds.
        :raises urllib3.exceptions.HTTPError: the store can't be reached.
        """
        text = encode_value(json.dumps(document).encode())
        url = f'http://{HOST}:{self._store_port}/debug/put'
        self._http.request('POST', url, json={'key': key, 'text': text})
        return time.monotonic()

    def fault_store(self, kind: str, value: Any = True) -> None:
        """Set a fault of the store.

        :param kind: one of the kinds that `emulator.soak.store` lists.
        :param value: value of the fault, as listed there.
        :raises urllib3.exceptions.HTTPError: the store can't be reached.
        """
        self._post_fault(self._store_port, {'kind': kind, 'value': value})

    def fault_server(self, server: Server, **fault: Any) -> None:
        """Set a fault of a server.

        :param server: the server.
        :param fault: its fields, as `emulator.soak.backend` lists them.
        :raises urllib3.exceptions.HTTPError: the server can't be reached.
        """
        self._post_fault(server.port, fault)

    def _post_fault(self, port: int, document: dict[str, Any]) -> None:
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
            *(
                (each.store_link_port, self._store_port)
                for each in self.gateways
            ),
            *((each.link_port, each.port) for each in self._linked_servers()),
        ]
        for listen, target in links:
            args.extend(('--listen', str(listen)))
            args.extend(('--target', f'{HOST}:{target}'))
        ready = f'tcp://{HOST}:{self._control_port}'
        return Program('proxy', 'emulator.proxy', tuple(args), ready)

    def _linked_servers(self) -> list[Server]:
        return self.servers if self._has_links else []

    def _address_port(self, server: Server) -> int:
        return server.link_port if self._has_links else server.port

    def _server(self, server: Server) -> Program:
        is_engine = server.service == 'llm'
        options = {
            'port': server.port,
            'server-id': server.name,
            'service': server.service,
            'address': f'{HOST}:{self._address_port(server)}',
            'data-centre': server.data_centre,
            'store-port': self._store_port,
            'slots': ENGINE_SLOTS,
            'adapter-slots': ADAPTER_SLOTS if is_engine else 0,
            'software': SOFTWARE[0] if is_engine else '',
        }
        args = tuple(
            word
            for name, value in options.items()
            for word in (f'--{name}', str(value))
        )
        return Program(server.name, 'emulator.soak.backend', args)

    def _gateway(self, gateway: Gateway) -> Program:
        path = self._write_settings(gateway)
        return Program(
            gateway.name,
            'wasabicross.programs.start_gateway',
            ready=f'http://{gateway.host}:{gateway.ready_port}/-/ready',
            env=(('WASABICROSS_NODE_FILE', str(path)),),
        )

    def _write_settings(self, gateway: Gateway) -> pathlib.Path:
        path = self._folder / f'{gateway.name}.json'
        path.write_text(json.dumps(self._settings(gateway)))
        return path

    def _settings(self, gateway: Gateway) -> dict[str, Any]:
        seeds = [f'{each.host}:1' for each in self.gateways[:3]]
        return {
            'nodeName': gateway.name,
            'ip': gateway.host,
            'zone': gateway.data_centre,
            'zones': dict.fromkeys(_DATA_CENTRES, 'region'),
            'bootstrap': self._is_first_start,
            'listen': {
                'front': f'{gateway.host}:{gateway.caller_port}',
                'ready': f'{gateway.host}:{gateway.ready_port}',
            },
            'portRange': self._peer_ports,
            'platform': {'address': f'{HOST}:{gateway.store_link_port}'},
            'bounds': {
                'retryRatio': RETRY_RATIO,
                'retrySlack': RETRY_ALLOWANCE,
                'graceS': GRACE_PERIOD_S,
                'leaseMs': int(MIN_OWNER_GAP_S * _MS_PER_S),
            },
            'seeds': seeds,
            'limits': {'cpuShare': 1.0, 'cores': 1, 'linkMbps': 1000.0},
        }


def _data_centre(number: int) -> str:
    return _DATA_CENTRES[number % len(_DATA_CENTRES)]
