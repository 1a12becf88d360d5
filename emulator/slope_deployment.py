"""A deployment whose programs' resource usage is measured."""

import pathlib
import re
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import urllib3

from emulator.deployment import BASE_MODEL, Deployment
from emulator.fleet import Runner
from emulator.idle_peers import IdlePeers
from emulator.link_table import HOST
from emulator.processes import MachineLoad, Usage, usage_of
from emulator.rolling import bundle_text, put_in_force
from emulator.shape import Endpoint, Shape, server_entry
from wasabicross.runtime.settings import ServersSettings

LOCAL_DATA_CENTRE = 'north'
REMOTE_DATA_CENTRE = 'south'
POLL_S = 2.0
ADAPTERS = 8
USE_LEASE_S = ServersSettings().use_lease_s
_CALLS = re.compile(
    r'^wasabicross_key_value_calls_total\{operation="(\w+)"\} ([\d.]+)$',
    re.MULTILINE,
)

Figures = dict[str, Any]


class MeasuredDeployment(Deployment):
    """A deployment whose instance list also has idle peers and server aliases."""

    peers: IdlePeers | None = None
    aliases: int = 0

    def _fleet(self, source: str) -> dict[str, Any]:
        fleet = super()._fleet(source)
        fleet['servers'].extend(
            self._alias(f'{LOCAL_DATA_CENTRE}-alias-{at}', LOCAL_DATA_CENTRE)
            for at in range(self.aliases)
        )
        if self.peers is not None:
            fleet['instances'].extend(self.peers.instances())
            fleet['servers'].extend(
                self._alias(server_id, REMOTE_DATA_CENTRE)
                for server_id in self.peers.server_ids()
            )
        return fleet

    def _alias(self, server_id: str, data_centre: str) -> dict[str, Any]:
        """Return an entry of the one engine under another id."""
        endpoint = Endpoint(server_id, data_centre, self.engines[0].port)
        return server_entry(endpoint, 'engine', 'drafting', BASE_MODEL)


class UsageWindow:
    """Measures the resource usage of programs from its creation on.

    :param deployment: a running deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._machine_load = MachineLoad()
        self._initial_usage = self._usage_by_program()
        self._initial_calls = key_value_calls(deployment)

    def figures(self) -> Figures:
        """Return processor use in percent of a core, memory, and calls a second."""
        took_s = self._machine_load.seconds()
        figures: Figures = {'busy_cores': self._machine_load.busy_cores()}
        for kind, endpoints in self._kinds().items():
            used = [
                self._usage_by_program()[endpoint.name]
                for endpoint in endpoints
            ]
            before = [
                self._initial_usage[endpoint.name] for endpoint in endpoints
            ]
            cpu_s = sum(each.cpu_s for each in used)
            cpu_s -= sum(each.cpu_s for each in before)
            share = 100 * cpu_s / took_s / len(endpoints)
            resident = sum(each.resident_bytes for each in used) / len(
                endpoints
            )
            figures[f'{kind}_core_percent'] = round(share, 2)
            figures[f'{kind}_resident_mb'] = round(resident / 1e6, 1)
        calls = key_value_calls(self._deployment)
        calls.subtract(self._initial_calls)
        for operation, count in sorted(calls.items()):
            figures[f'{operation}_per_s'] = round(count / took_s, 2)
        figures['key_value_calls_per_s'] = round(calls.total() / took_s, 2)
        return figures

    def _kinds(self) -> dict[str, list[Endpoint]]:
        deployment = self._deployment
        return {
            'controller': deployment.controllers,
            'entry': deployment.entries,
            'key_value': [deployment.kv],
        }

    def _usage_by_program(self) -> dict[str, Usage]:
        runner = self._deployment.runner
        return {name: usage_of(runner.pid(name)) for name in runner.running()}


def key_value_calls(deployment: Deployment) -> Counter[str]:
    """Return the key-value calls of all controllers, by operation."""
    calls = Counter[str]()
    for endpoint in deployment.controllers:
        url = f'http://{HOST}:{endpoint.metrics_port}/metrics'
        text = urllib3.request('GET', url).data.decode()
        for operation, count in _CALLS.findall(text):
            calls[operation] += int(float(count))
    return calls


@contextmanager
def deployed(
    shape: Shape,
    peers: IdlePeers | None = None,
    aliases: int = 0,
    use_lease_s: float = USE_LEASE_S,
) -> Iterator[MeasuredDeployment]:
    """Run a deployment with a bundle in force for the length of the context.

    :param shape: numbers and options of its processes.
    :param peers: idle peers to include in the instance list.
    :param aliases: number of additional ids of the first engine.
    :param use_lease_s: lifetime of a grant of use, in seconds.
    """
    with tempfile.TemporaryDirectory(prefix='slopes-') as folder:
        root = pathlib.Path(folder)
        with Runner(root / 'logs') as runner:
            deployment = MeasuredDeployment(shape, runner, root)
            deployment.peers = peers
            deployment.aliases = aliases
            instance_list = next(iter(deployment.lists.values()))
            platform = {
                'kv': {'url': deployment.kv.url},
                'instance_list': {'url': instance_list.url, 'poll_s': POLL_S},
            }
            settings = {
                'data_centres': [LOCAL_DATA_CENTRE, REMOTE_DATA_CENTRE],
                'platform': platform,
                'servers': {'use_lease_s': use_lease_s},
            }
            deployment.shape = shape._replace(settings=settings)
            deployment.start_platform()
            versions = {f'adapter-{at}': '1' for at in range(ADAPTERS)}
            put_in_force(deployment, bundle_text(versions, {}))
            deployment.start_programs()
            yield deployment
