"""A complete deployment on loopback, with stand-ins and all programs."""

import json
import pathlib
from typing import Any

import yaml
from nacl.signing import SigningKey

from emulator.fleet import Program, Runner
from emulator.link_table import HOST, LinkTable
from emulator.shape import (
    Endpoint,
    Shape,
    count_ports,
    ports_of,
    program_of,
    server_entry,
    stand_in,
)
from emulator.waiting import free_ports

TENANT_TOKEN = 'tenant-token-1'  # noqa: S105
OPERATOR_TOKEN = 'operator-token-1'  # noqa: S105
PEER_TOKEN = 'peer-token-1'  # noqa: S105
KEY_NAME = 'operator-key'
KEY_SEED = bytes(range(32))
BASE_MODEL = 'base-7b'


class Deployment:
    """The stand-ins and programs of a shape, started by a runner.

    :param shape: numbers and options of the processes.
    :param runner: starts and stops the processes.
    :param folder: folder for the settings files.
    """

    def __init__(
        self, shape: Shape, runner: Runner, folder: pathlib.Path
    ) -> None:
        self.shape = shape
        self.runner = runner
        self.signing_key = SigningKey(KEY_SEED)
        self._folder = folder
        self._ports = iter(free_ports(count_ports(shape)))
        self.kv = self._endpoint('kv', '')
        self.weights = self._endpoint('weights', '')
        self.engines = self._endpoints('engine', shape.engines)
        self.services = self._endpoints('service', shape.services)
        self.controllers = self._program_endpoints('instance', shape.instances)
        self.admins = [
            self._program_endpoint(
                f'{controller.name}-admin', controller.data_centre
            )
            for controller in self.controllers
        ]
        self.entries = [
            self._program_endpoint(
                f'{controller.name}-entry-{number}', controller.data_centre
            )
            for controller in self.controllers
            for number in range(shape.entries)
        ]
        self.links = self._link_table()
        self.lists = self._instance_lists()

    def start(self) -> None:
        """Start the stand-ins and the programs."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        self.start_programs()

    def start_platform(self) -> None:
        """Start the stand-ins."""
        self.runner.run(*self._platform_programs())

    def start_programs(self) -> None:
        """Start the programs of every instance."""
        for controller in self.controllers:
            self._write_settings(controller)
            self.runner.start(*self.instance_programs(controller.name))
        started = [*self.controllers, *self.entries]
        self.runner.wait_ready(*(endpoint.name for endpoint in started))

    def instance_programs(self, instance_id: str) -> list[Program]:
        """Return the programs of an instance, its controller first."""
        config = ('--config', str(self._settings_path(instance_id)))
        controller = self._find_endpoint(self.controllers, instance_id)
        admin = self._find_endpoint(self.admins, f'{instance_id}-admin')
        programs = [program_of(controller, 'controller', *config)]
        if self.shape.admins:
            programs.append(program_of(admin, 'admin', *config))
        programs.extend(
            program_of(endpoint, 'entry', *config, '--name', endpoint.name)
            for endpoint in self.entries
            if endpoint.name.startswith(f'{instance_id}-entry-')
        )
        return programs

    def programs(self) -> list[Endpoint]:
        """Return the programs of all instances, entries first."""
        return [*self.entries, *self.admins, *self.controllers]

    def entry_of(self, data_centre: str) -> Endpoint:
        """Return the first entry of a data centre."""
        return next(
            endpoint
            for endpoint in self.entries
            if endpoint.data_centre == data_centre
        )

    def instance_of(self, name: str) -> str:
        """Return the instance on which a program runs."""
        return next(
            controller.name
            for controller in self.controllers
            if name == controller.name or name.startswith(f'{controller.name}-')
        )

    def _link_table(self) -> LinkTable:
        kinds = {
            'instance': self.controllers,
            'kv': [self.kv],
            'engine': self.engines,
            'service': self.services,
        }
        targets = {
            endpoint.name: endpoint.port
            for kind in self.shape.proxied
            for endpoint in kinds[kind]
        }
        sources = [controller.name for controller in self.controllers]
        return LinkTable(sources, targets, self._ports)

    def _instance_lists(self) -> dict[str, Endpoint]:
        """Return each instance's instance list.

        It has one of its own if links are proxied, as the ports of the links
        differ between instances.
        """
        names = [controller.name for controller in self.controllers]
        if self.shape.proxied:
            return {name: self._endpoint(f'list-{name}', '') for name in names}
        return dict.fromkeys(names, self._endpoint('list', ''))

    def _endpoint(self, name: str, data_centre: str) -> Endpoint:
        return Endpoint(name, data_centre, next(self._ports))

    def _program_endpoint(self, name: str, data_centre: str) -> Endpoint:
        return Endpoint(name, data_centre, next(self._ports), next(self._ports))

    def _endpoints(self, kind: str, count: int) -> list[Endpoint]:
        return [
            self._endpoint(f'{data_centre}-{kind}-{number}', data_centre)
            for data_centre in self.shape.data_centres
            for number in range(count)
        ]

    def _program_endpoints(self, kind: str, count: int) -> list[Endpoint]:
        return [
            self._program_endpoint(
                f'{data_centre}-{kind}-{number}', data_centre
            )
            for data_centre in self.shape.data_centres
            for number in range(count)
        ]

    def _find_endpoint(self, endpoints: list[Endpoint], name: str) -> Endpoint:
        return next(endpoint for endpoint in endpoints if endpoint.name == name)

    def _platform_programs(self) -> list[Program]:
        programs = [
            stand_in(self.kv, 'emulator.kv'),
            stand_in(self.weights, 'emulator.weights', *self.shape.weight_args),
            *self._list_programs(),
        ]
        if self.shape.proxied:
            programs.append(self.links.program())
        engine_args = (
            '--weights',
            self.weights.url,
            '--base-model',
            BASE_MODEL,
        )
        programs.extend(
            stand_in(
                endpoint,
                'emulator.engine',
                *engine_args,
                *self._engine_args(endpoint),
            )
            for endpoint in self.engines
        )
        programs.extend(
            stand_in(endpoint, 'emulator.service') for endpoint in self.services
        )
        return programs

    def _fencing(self) -> list[str]:
        """Return the names of the engines that check fencing terms."""
        return [
            endpoint.name
            for endpoint in self.engines
            if '--no-fencing' not in self._engine_args(endpoint)
        ]

    def _engine_args(self, endpoint: Endpoint) -> tuple[str, ...]:
        extra_args = self.shape.further_args.get(endpoint.data_centre, ())
        return (*self.shape.engine_args, *extra_args)

    def _list_programs(self) -> list[Program]:
        programs = {}
        for source, endpoint in self.lists.items():
            path = self._folder / f'{endpoint.name}.json'
            path.write_text(json.dumps(self._fleet(source)))
            programs[endpoint.name] = stand_in(
                endpoint, 'emulator.instances', '--fleet', str(path)
            )
        return list(programs.values())

    def _proxied_endpoint(self, source: str, endpoint: Endpoint) -> Endpoint:
        port = self.links.port(source, endpoint.name, endpoint.port)
        return endpoint._replace(port=port)

    def _fleet(self, source: str) -> dict[str, Any]:
        engines = [
            server_entry(
                self._proxied_endpoint(source, endpoint),
                'engine',
                'drafting',
                BASE_MODEL,
            )
            for endpoint in self.engines
        ]
        services = [
            server_entry(
                self._proxied_endpoint(source, endpoint),
                'service',
                'order-desk',
                '',
            )
            for endpoint in self.services
        ]
        return {
            'instances': [
                {
                    'instance_id': endpoint.name,
                    'data_centre': endpoint.data_centre,
                    'host': HOST,
                    'port': self._proxied_endpoint(source, endpoint).port,
                    'state': 'live',
                }
                for endpoint in self.controllers
            ],
            'servers': [*engines, *services],
        }

    def _settings_path(self, instance_id: str) -> pathlib.Path:
        return self._folder / f'{instance_id}.yaml'

    def _write_settings(self, controller: Endpoint) -> None:
        instance_id = controller.name
        admin = self._find_endpoint(self.admins, f'{instance_id}-admin')
        public_key = self.signing_key.verify_key.encode().hex()
        document = {
            'instance': {
                'instance_id': instance_id,
                'data_centre': controller.data_centre,
                'host': HOST,
            },
            'controller': ports_of(controller),
            'admin': ports_of(admin),
            'entries': [
                {'name': endpoint.name, **ports_of(endpoint)}
                for endpoint in self.entries
                if endpoint.name.startswith(f'{instance_id}-entry-')
            ],
            'platform': {
                'kv': {'url': self._proxied_endpoint(instance_id, self.kv).url},
                'instance_list': {
                    'url': self.lists[instance_id].url,
                    'poll_s': 0.5,
                },
            },
            'trusted_keys': {KEY_NAME: public_key},
            'tenants': [{'name': 'agents', 'token': TENANT_TOKEN}],
            'operators': [{'name': 'operator', 'token': OPERATOR_TOKEN}],
            'peer_token': PEER_TOKEN,
            'data_centres': list(self.shape.data_centres),
            **self.shape.settings,
            'servers': {
                'fencing': self._fencing(),
                **self.shape.settings.get('servers', {}),
            },
        }
        self._settings_path(instance_id).write_text(yaml.safe_dump(document))
