"""The processes of a deployment on loopback and their ports."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from emulator.fleet import Program
from emulator.link_table import HOST


class Shape(NamedTuple):
    """The processes of a deployment and their options.

    :param data_centres: names of the data centres.
    :param instances: instances in each data centre.
    :param entries: entry processes on each instance.
    :param engines: engines in each data centre.
    :param services: plain services in each data centre.
    :param admins: whether each instance runs its administration API.
    :param engine_args: options of the stand-in engines.
    :param further_args: additional options of the engines, by data centre.
    :param weight_args: options of the stand-in weight store.
    :param proxied: kinds of processes that are reached through the proxy:
        `instance` (from other instances), `kv`, `engine` or `service`.
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
    """A process of the deployment and its ports.

    :param name: its name in the runner and its id in the instance list.
    :param data_centre: its data centre, empty for stand-ins of the platform.
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
    """Return a number of ports that is sufficient for a shape."""
    instances = len(shape.data_centres) * shape.instances
    servers = len(shape.data_centres) * (shape.engines + shape.services)
    programs = instances * (2 + shape.entries)
    links = instances * (instances + servers + 1)
    return 4 + servers + programs * 2 + links + instances


def ports_of(endpoint: Endpoint) -> dict[str, int]:
    """Return the ports of a program as a section of its settings."""
    return {'port': endpoint.port, 'metrics_port': endpoint.metrics_port}


def health_url(endpoint: Endpoint) -> str:
    """Return the URL that answers once a program runs."""
    return f'http://{HOST}:{endpoint.metrics_port}/healthz'


def program_of(endpoint: Endpoint, module: str, *args: str) -> Program:
    """Return a program of wasabicross as a program to run.

    :param endpoint: its name and ports.
    :param module: the module of `wasabicross.programs` that it runs.
    :param args: its arguments.
    """
    return Program(
        endpoint.name,
        f'wasabicross.programs.{module}',
        args,
        health_url(endpoint),
    )


def stand_in(endpoint: Endpoint, module: str, *args: str) -> Program:
    """Return a stand-in as a program to run."""
    return Program(
        endpoint.name,
        module,
        ('--port', str(endpoint.port), *args),
        f'tcp://{HOST}:{endpoint.port}',
    )


def server_entry(
    endpoint: Endpoint, kind: str, group: str, base_model: str
) -> dict[str, Any]:
    """Return the entry of a backend server in the instance list."""
    return {
        'server_id': endpoint.name,
        'kind': kind,
        'group': group,
        'data_centre': endpoint.data_centre,
        'host': HOST,
        'port': endpoint.port,
        'state': 'live',
        'base_model': base_model,
    }
