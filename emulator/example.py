"""A deployment that is started from a folder under `examples/`."""

import json
import pathlib
from typing import Any, NamedTuple

import yaml
from nacl.signing import SigningKey

from emulator.deployment import KEY_NAME, KEY_SEED
from emulator.fleet import Program, Runner
from emulator.link_table import HOST
from emulator.shape import Endpoint, program_of, stand_in
from wasabicross.runtime.settings import Settings, load_settings

READY_TIMEOUT_S = 60


class StandInOptions(NamedTuple):
    """Options of the stand-ins of an example.

    :param weights_port: port of the weight store.
    :param weight_options: options of the weight store.
    :param engine_options: options of each engine.
    :param service_options: options of each plain service.
    """

    weights_port: int
    weight_options: tuple[str, ...]
    engine_options: tuple[str, ...]
    service_options: tuple[str, ...]

    @classmethod
    def from_file(cls, path: pathlib.Path) -> 'StandInOptions':
        """Read the file `stand-ins.yaml` of an example."""
        return cls(**yaml.safe_load(path.read_text()))


class ExampleDeployment:
    """The stand-ins and programs of an example, all on this machine.

    :param folder: folder of the example.
    :param runner: starts and stops the processes.
    :raises ValueError: the settings are not valid.
    """

    def __init__(self, folder: pathlib.Path, runner: Runner) -> None:
        self.signing_key = SigningKey(KEY_SEED)
        self.key_name = KEY_NAME
        self.instances = {
            path: _settings(folder / 'common.yaml', path)
            for path in sorted((folder / 'instances').glob('*.yaml'))
        }
        self.settings = next(iter(self.instances.values()))
        self.operator_token = self.settings.operators[0].token
        self.tenant_token = self.settings.tenants[0].token
        self.admins = [
            Endpoint(
                f'{cfg.instance.instance_id}-admin',
                cfg.instance.data_centre,
                cfg.admin.port,
                cfg.admin.metrics_port,
            )
            for cfg in self.instances.values()
        ]
        self.entries = [
            Endpoint(
                entry.name,
                cfg.instance.data_centre,
                entry.port,
                entry.metrics_port,
            )
            for cfg in self.instances.values()
            for entry in cfg.entries
        ]
        self._folder = folder
        self._runner = runner
        self._stand_ins = StandInOptions.from_file(folder / 'stand-ins.yaml')
        self._programs: list[Program] = []

    def start(self) -> None:
        """Start the stand-ins, then every program, and wait for them."""
        stand_ins = [*self._platform_programs(), *self._server_programs()]
        self._runner.start(*stand_ins)
        self._wait_ready(stand_ins)
        self._programs = [
            program
            for path, cfg in self.instances.items()
            for program in self._instance_programs(path, cfg)
        ]
        self._runner.start(*self._programs)
        self._wait_ready(self._programs)

    def program_names(self) -> list[str]:
        """Return the names of the programs in the order of stopping them."""
        return [program.name for program in reversed(self._programs)]

    def entry_of(self, data_centre: str) -> Endpoint:
        """Return the first entry of a data centre."""
        return next(
            endpoint
            for endpoint in self.entries
            if endpoint.data_centre == data_centre
        )

    def _wait_ready(self, programs: list[Program]) -> None:
        names = [program.name for program in programs]
        self._runner.wait_ready(*names, timeout_s=READY_TIMEOUT_S)

    def _platform_programs(self) -> list[Program]:
        platform = self.settings.platform
        weights = Endpoint('weights', '', self._stand_ins.weights_port)
        fleet = str(self._folder / 'fleet.json')
        return [
            stand_in(_endpoint_at('kv', platform.kv.url), 'emulator.kv'),
            stand_in(
                _endpoint_at('list', platform.instance_list.url),
                'emulator.instances',
                '--fleet',
                fleet,
            ),
            stand_in(
                weights, 'emulator.weights', *self._stand_ins.weight_options
            ),
        ]

    def _server_programs(self) -> list[Program]:
        fleet = json.loads((self._folder / 'fleet.json').read_text())
        return [self._server_program(fields) for fields in fleet['servers']]

    def _server_program(self, fields: dict[str, Any]) -> Program:
        server_id = fields['server_id']
        endpoint = Endpoint(server_id, fields['data_centre'], fields['port'])
        if fields['kind'] == 'service':
            return stand_in(
                endpoint, 'emulator.service', *self._stand_ins.service_options
            )
        fencing = server_id in self.settings.servers.fencing
        return stand_in(
            endpoint,
            'emulator.engine',
            '--weights',
            f'http://{HOST}:{self._stand_ins.weights_port}',
            '--base-model',
            fields['base_model'],
            '--fencing' if fencing else '--no-fencing',
            *self._stand_ins.engine_options,
        )

    def _instance_programs(
        self, path: pathlib.Path, cfg: Settings
    ) -> list[Program]:
        instance_id = cfg.instance.instance_id
        config = (
            '--config',
            str(self._folder / 'common.yaml'),
            '--config',
            str(path),
        )
        controller = Endpoint(
            instance_id,
            cfg.instance.data_centre,
            cfg.controller.port,
            cfg.controller.metrics_port,
        )
        admin = next(
            endpoint
            for endpoint in self.admins
            if endpoint.name == f'{instance_id}-admin'
        )
        programs = [
            program_of(controller, 'controller', *config),
            program_of(admin, 'admin', *config),
        ]
        programs.extend(
            program_of(endpoint, 'entry', *config, '--name', endpoint.name)
            for endpoint in self.entries
            if cfg.entry(endpoint.name) is not None
        )
        return programs


def _settings(*paths: pathlib.Path) -> Settings:
    loaded = load_settings(paths)
    if loaded.is_error():
        raise ValueError('; '.join(str(fault) for fault in loaded.error.faults))
    return loaded.ok


def _endpoint_at(name: str, url: str) -> Endpoint:
    return Endpoint(name, '', int(url.rpartition(':')[2]))
