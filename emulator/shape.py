"""What a deployment on loopback consists of, and where it listens."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from emulator.fleet import Program
from emulator.link_table import HOST


class Shape(NamedTuple):
    """What a deployment consists of.

    :param data_centres: their names.
    :param instances: entry instances in each data centre.
    :param entries: entry processes on each instance.
    :param engines: engines in each data centre.
    :param services: plain services in each data centre.
    :param admins: whether each instance runs its administration API.
    :param engine_args: options of the stand-in engines.
    :param further_args: further such options by data centre.
    :param weight_args: options of the stand-in weight store.
    :param proxied: what is reached through the proxy: `instance` (by other
        instances), `kv`, `engine` or `service`.
    :param settings: sections that replace those of the settings files.
    """

    data_centres: tuple[str, ...] = ('north', 'south')
    instances: int = 1
    entries: int = 1
    engines: int = 1
    services: int = 1
    admins: bool = True
    engine_args: tuple[str, ...] = ()
    further_args: Mapping[str, tuple[str, ...]] = MappingProxyType({})
    weight_args: tuple[str, ...] = ()
    proxied: tuple[str, ...] = ()
    settings: dict[str, Any] = {}


class Endpoint(NamedTuple):
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


def count_ports(shape: Shape) -> int:
    """Return a number of ports that suffices for a shape."""
    instances = len(shape.data_centres) * shape.instances
    servers = len(shape.data_centres) * (shape.engines + shape.services)
    programs = instances * (2 + shape.entries)
    links = instances * (instances + servers + 1)
    return 4 + servers + programs * 2 + links + instances


def ports_of(place: Endpoint) -> dict[str, int]:
    """Return the ports of a program as its settings name them."""
    return {'port': place.port, 'metrics_port': place.metrics_port}


def healthy(place: Endpoint) -> str:
    """Return the URL that answers once a program lives."""
    return f'http://{HOST}:{place.metrics_port}/healthz'


def program_of(place: Endpoint, module: str, *args: str) -> Program:
    """Return a program of wasabicross as a program to run.

    :param place: where it listens.
    :param module: the module of `wasabicross` that it runs.
    :param args: its arguments.
    """
    return Program(
        place.name, f'wasabicross.programs.{module}', args, healthy(place)
    )


def stand_in(place: Endpoint, module: str, *args: str) -> Program:
    """Return a stand-in as a program to run."""
    return Program(
        place.name,
        module,
        ('--port', str(place.port), *args),
        f'tcp://{HOST}:{place.port}',
    )


def server_entry(
    place: Endpoint, kind: str, group: str, base_model: str
) -> dict[str, Any]:
    """Return a backend server as the instance list shows it."""
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
