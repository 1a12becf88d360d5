"""A deployment whose programs' spending is measured."""

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

HERE = 'north'
ELSEWHERE = 'south'
POLL_S = 2.0
ADAPTERS = 8
USE_LEASE_S = ServersSettings().use_lease_s
_CALLS = re.compile(
    r'^wasabicross_key_value_calls_total\{operation="(\w+)"\} ([\d.]+)$',
    re.MULTILINE,
)

Figures = dict[str, Any]


class MeasuredDeployment(Deployment):
    """A deployment whose list shows further servers and idle peers."""

    peers: IdlePeers | None = None
    aliases: int = 0

    def _fleet(self, source: str) -> dict[str, Any]:
        fleet = super()._fleet(source)
        fleet['servers'].extend(
            self._alias(f'{HERE}-alias-{at}', HERE)
            for at in range(self.aliases)
        )
        if self.peers is not None:
            fleet['instances'].extend(self.peers.instances())
            fleet['servers'].extend(
                self._alias(server_id, ELSEWHERE)
                for server_id in self.peers.server_ids()
            )
        return fleet

    def _alias(self, server_id: str, data_centre: str) -> dict[str, Any]:
        """Return a further name of the one engine."""
        place = Endpoint(server_id, data_centre, self.engines[0].port)
        return server_entry(place, 'engine', 'drafting', BASE_MODEL)


class Window:
    """What the programs of a deployment spend from now on.

    :param deployment: running.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._load = MachineLoad()
        self._usage = self._use()
        self._calls = key_value_calls(deployment)

    def figures(self) -> Figures:
        """Return shares of a core, memory, and calls a second."""
        took_s = self._load.seconds()
        told: Figures = {'busy_cores': self._load.busy_cores()}
        for kind, places in self._kinds().items():
            used = [self._use()[place.name] for place in places]
            before = [self._usage[place.name] for place in places]
            spent_s = sum(each.cpu_s for each in used)
            spent_s -= sum(each.cpu_s for each in before)
            share = 100 * spent_s / took_s / len(places)
            resident = sum(each.resident_bytes for each in used) / len(places)
            told[f'{kind}_core_percent'] = round(share, 2)
            told[f'{kind}_resident_mb'] = round(resident / 1e6, 1)
        calls = key_value_calls(self._deployment)
        calls.subtract(self._calls)
        for operation, count in sorted(calls.items()):
            told[f'{operation}_per_s'] = round(count / took_s, 2)
        told['key_value_calls_per_s'] = round(calls.total() / took_s, 2)
        return told

    def _kinds(self) -> dict[str, list[Endpoint]]:
        deployment = self._deployment
        return {
            'controller': deployment.controllers,
            'entry': deployment.entries,
            'key_value': [deployment.kv],
        }

    def _use(self) -> dict[str, Usage]:
        runner = self._deployment.runner
        return {name: usage_of(runner.pid(name)) for name in runner.running()}


def key_value_calls(deployment: Deployment) -> Counter[str]:
    """Return the calls that all controllers have made, by operation."""
    calls = Counter[str]()
    for place in deployment.controllers:
        url = f'http://{HOST}:{place.metrics_port}/metrics'
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
    """Start a deployment with a bundle in force; end it at the end.

    :param shape: what it consists of.
    :param peers: idle peers, which the list shows.
    :param aliases: further names of the first engine.
    :param use_lease_s: how long a grant of use lasts.
    """
    with tempfile.TemporaryDirectory(prefix='slopes-') as folder:
        root = pathlib.Path(folder)
        with Runner(root / 'logs') as runner:
            deployment = MeasuredDeployment(shape, runner, root)
            deployment.peers = peers
            deployment.aliases = aliases
            listed = next(iter(deployment.lists.values()))
            platform = {
                'kv': {'url': deployment.kv.url},
                'instance_list': {'url': listed.url, 'poll_s': POLL_S},
            }
            settings = {
                'data_centres': [HERE, ELSEWHERE],
                'platform': platform,
                'servers': {'use_lease_s': use_lease_s},
            }
            deployment.shape = shape._replace(settings=settings)
            deployment.start_platform()
            versions = {f'adapter-{at}': '1' for at in range(ADAPTERS)}
            put_in_force(deployment, bundle_text(versions, {}))
            deployment.start_programs()
            yield deployment
