"""A whole deployment on loopback: stand-ins and every program."""

import json
import pathlib
from typing import Any, NamedTuple

import yaml
from nacl.signing import SigningKey

from emulator.fleet import Program, Runner
from emulator.waiting import free_ports

HOST = '127.0.0.1'
TENANT_TOKEN = 'tenant-token-1'  # noqa: S105
OPERATOR_TOKEN = 'operator-token-1'  # noqa: S105
PEER_TOKEN = 'peer-token-1'  # noqa: S105
KEY_NAME = 'operator-key'
KEY_SEED = bytes(range(32))
BASE_MODEL = 'base-7b'


class Shape(NamedTuple):
    """What a deployment consists of.

    :param data_centres: their names.
    :param instances: entry instances in each data centre.
    :param entries: entry processes on each instance.
    :param engines: engines in each data centre.
    :param services: plain services in each data centre.
    :param engine_args: options of the stand-in engines.
    :param settings: sections that replace those of the settings files.
    """

    data_centres: tuple[str, ...] = ('north', 'south')
    instances: int = 1
    entries: int = 1
    engines: int = 1
    services: int = 1
    engine_args: tuple[str, ...] = ()
    settings: dict[str, Any] = {}


class Place(NamedTuple):
    """A process of the deployment and where it listens.

    :param name: its name in the runner, which is its id in the list.
    :param data_centre: where it stands.
    :param port: its main port.
    :param metrics_port: port of its metrics, 0 for stand-ins.
    """

    name: str
    data_centre: str
    port: int
    metrics_port: int = 0

    @property
    def url(self) -> str:
        """Base URL of its main port."""
        return f'http://{HOST}:{self.port}'


class Deployment:
    """The stand-ins and programs of a shape, started by a runner.

    :param shape: what it consists of.
    :param runner: starts and ends the processes.
    :param folder: where settings files are written.
    """

    def __init__(
        self, shape: Shape, runner: Runner, folder: pathlib.Path
    ) -> None:
        self.shape = shape
        self.runner = runner
        self.signing_key = SigningKey(KEY_SEED)
        self._folder = folder
        self._ports = iter(free_ports(_count_ports(shape)))
        self.kv = self._place('kv', '')
        self.instance_list = self._place('list', '')
        self.weights = self._place('weights', '')
        self.engines = self._places('engine', shape.engines)
        self.services = self._places('service', shape.services)
        self.controllers = self._programs('instance', shape.instances)
        self.admins = [
            self._program(f'{owner.name}-admin', owner.data_centre)
            for owner in self.controllers
        ]
        self.entries = [
            self._program(f'{owner.name}-entry-{number}', owner.data_centre)
            for owner in self.controllers
            for number in range(shape.entries)
        ]

    def start(self) -> None:
        """Start the stand-ins and the programs; the list shows them all."""
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
        self.runner.wait_ready(*(place.name for place in started))

    def instance_programs(self, instance_id: str) -> list[Program]:
        """Return the programs of an instance, its controller first."""
        config = ('--config', str(self._settings_path(instance_id)))
        controller = self._find(self.controllers, instance_id)
        admin = self._find(self.admins, f'{instance_id}-admin')
        programs = [
            Program(
                controller.name,
                'wasabicross.controller',
                config,
                _healthy(controller),
            ),
            Program(admin.name, 'wasabicross.admin', config, _healthy(admin)),
        ]
        entries = [
            place
            for place in self.entries
            if place.name.startswith(f'{instance_id}-entry-')
        ]
        programs.extend(
            Program(
                place.name,
                'wasabicross.entry',
                (*config, '--name', place.name),
                _healthy(place),
            )
            for place in entries
        )
        return programs

    def entry_of(self, data_centre: str) -> Place:
        """Return the first entry of a data centre."""
        return next(
            place for place in self.entries if place.data_centre == data_centre
        )

    def _place(self, name: str, data_centre: str) -> Place:
        return Place(name, data_centre, next(self._ports))

    def _program(self, name: str, data_centre: str) -> Place:
        return Place(name, data_centre, next(self._ports), next(self._ports))

    def _places(self, kind: str, count: int) -> list[Place]:
        return [
            self._place(f'{data_centre}-{kind}-{number}', data_centre)
            for data_centre in self.shape.data_centres
            for number in range(count)
        ]

    def _programs(self, kind: str, count: int) -> list[Place]:
        return [
            self._program(f'{data_centre}-{kind}-{number}', data_centre)
            for data_centre in self.shape.data_centres
            for number in range(count)
        ]

    def _find(self, places: list[Place], name: str) -> Place:
        return next(place for place in places if place.name == name)

    def _platform_programs(self) -> list[Program]:
        fleet_path = self._folder / 'fleet.json'
        fleet_path.write_text(json.dumps(self._fleet()))
        programs = [
            _stand_in(self.kv, 'emulator.kv'),
            _stand_in(
                self.instance_list,
                'emulator.instances',
                '--fleet',
                str(fleet_path),
            ),
            _stand_in(self.weights, 'emulator.weights'),
        ]
        engine_args = (
            '--weights',
            self.weights.url,
            '--base-model',
            BASE_MODEL,
            *self.shape.engine_args,
        )
        programs.extend(
            _stand_in(place, 'emulator.engine', *engine_args)
            for place in self.engines
        )
        programs.extend(
            _stand_in(place, 'emulator.service') for place in self.services
        )
        return programs

    def _fleet(self) -> dict[str, Any]:
        engines = [
            _server(place, 'engine', 'drafting', BASE_MODEL)
            for place in self.engines
        ]
        services = [
            _server(place, 'service', 'order-desk', '')
            for place in self.services
        ]
        return {
            'instances': [
                {
                    'instance_id': place.name,
                    'data_centre': place.data_centre,
                    'host': HOST,
                    'port': place.port,
                    'state': 'live',
                }
                for place in self.controllers
            ],
            'servers': [*engines, *services],
        }

    def _settings_path(self, instance_id: str) -> pathlib.Path:
        return self._folder / f'{instance_id}.yaml'

    def _write_settings(self, controller: Place) -> None:
        instance_id = controller.name
        admin = self._find(self.admins, f'{instance_id}-admin')
        public_key = self.signing_key.verify_key.encode().hex()
        document = {
            'instance': {
                'instance_id': instance_id,
                'data_centre': controller.data_centre,
                'host': HOST,
            },
            'controller': _ports_of(controller),
            'admin': _ports_of(admin),
            'entries': [
                {'name': place.name, **_ports_of(place)}
                for place in self.entries
                if place.name.startswith(f'{instance_id}-entry-')
            ],
            'platform': {
                'kv': {'url': self.kv.url},
                'instance_list': {
                    'url': self.instance_list.url,
                    'poll_s': 0.5,
                },
            },
            'trusted_keys': {KEY_NAME: public_key},
            'tenants': [{'name': 'agents', 'token': TENANT_TOKEN}],
            'operators': [{'name': 'operator', 'token': OPERATOR_TOKEN}],
            'peer_token': PEER_TOKEN,
            'data_centres': list(self.shape.data_centres),
            **self.shape.settings,
        }
        self._settings_path(instance_id).write_text(yaml.safe_dump(document))


def _count_ports(shape: Shape) -> int:
    places = shape.engines + shape.services
    programs = shape.instances * (2 + shape.entries)
    return 3 + len(shape.data_centres) * (places + programs * 2)


def _ports_of(place: Place) -> dict[str, int]:
    return {'port': place.port, 'metrics_port': place.metrics_port}


def _healthy(place: Place) -> str:
    return f'http://{HOST}:{place.metrics_port}/healthz'


def _stand_in(place: Place, module: str, *args: str) -> Program:
    return Program(
        place.name,
        module,
        ('--port', str(place.port), *args),
        f'tcp://{HOST}:{place.port}',
    )


def _server(
    place: Place, kind: str, group: str, base_model: str
) -> dict[str, Any]:
    return {
        'server_id': place.name,
        'kind': kind,
        'group': group,
        'data_centre': place.data_centre,
        'host': HOST,
        'port': place.port,
        'state': 'live',
        'base_model': base_model,
    }
