"""The faults of a chaos run, chosen by its seed."""

import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from urllib3.exceptions import HTTPError

from emulator.backend_control import BackendControl
from emulator.chaos_callers import ADAPTERS
from emulator.deployment import Deployment
from emulator.link_table import HOST
from emulator.rolling import bundle_text, put_in_force
from emulator.shape import Endpoint
from emulator.single_request import post_json
from emulator.waiting import wait_until

UP_TIMEOUT_S = 20
POLICY = {'min_resident_s': 0.05}


class ChaosFaults:
    """The faults of one deployment, some of which last until the next one.

    `cuts` counts the cuts between instances.

    :param deployment: a started deployment.
    :param rng: chooses the faults.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.versions: dict[int, dict[str, str]] = {}
        self.broken: list[str] = []
        self.cuts = 0
        self.deployment = deployment
        self._runner = deployment.runner
        self._rng = rng
        self.starts: dict[str, list[int]] = {
            name: [] for name in self.programs()
        }
        self._lasting: list[Callable[[], None]] = []
        self._faults: list[Callable[[], str]] = [
            self._kill,
            self._kill_instance,
            self._stop,
            self._pause,
            self._depose,
            self._outage,
            self._slow_service,
            self._cut_off,
            self._cut_between,
            self._lose_swap_answers,
            self._lapse_leases,
            self._restart_engine,
            self._break_connections,
            self._fail_loads,
            self.roll,
            self.roll,
        ]

    def programs(self) -> list[str]:
        """Return the names of the programs that faults can affect."""
        deployment = self.deployment
        endpoints = (*deployment.controllers, *deployment.entries)
        return [endpoint.name for endpoint in endpoints]

    def roll(self) -> str:
        """Bring a bundle with new versions of some adapters into force."""
        number = len(self.versions) + 1
        before = self.versions.get(number - 1, dict.fromkeys(ADAPTERS, '1'))
        changed = self._rng.sample(ADAPTERS, 3)
        versions = {
            adapter: str(number) if adapter in changed else version
            for adapter, version in before.items()
        }
        self.versions[number] = versions
        put_in_force(self.deployment, bundle_text(versions, POLICY))
        return f'roll {number}'

    def inject(self) -> str:
        """Inject a fault, end the lasting ones and return a description of it."""
        previous = self._lasting
        self._lasting = []
        description = self._rng.choice(self._faults)()
        for heal in previous:
            heal()
        return description

    def heal(self) -> None:
        """End the faults that last."""
        for heal in self._lasting:
            heal()
        self._lasting = []

    def _restart(self, name: str) -> None:
        log = self._runner.log_path(name)
        self.starts[name].append(log.stat().st_size)
        self._runner.restart(name)

    def _kill(self) -> str:
        name = self._rng.choice(self.programs())
        self._runner.kill(name)
        self._restart(name)
        return f'kill {name}'

    def _kill_instance(self) -> str:
        controller = self._rng.choice(self.deployment.controllers).name
        names = [
            name
            for name in self.programs()
            if self.deployment.instance_of(name) == controller
        ]
        for name in names:
            self._runner.kill(name)
        if self._rng.choice((True, False)):
            self._set_kv(lapse_leases=True)
        time.sleep(self._rng.uniform(0, 2))
        for name in names:
            self._restart(name)
        return f'kill instance {controller}'

    def _stop(self) -> str:
        name = self._rng.choice(self.programs())
        exit_code = self._runner.stop(name)
        if exit_code:
            self.broken.append(f'{name} stopped with exit code {exit_code}')
        self._restart(name)
        return f'stop {name}'

    def _pause(self) -> str:
        name = self._rng.choice(self.programs())
        pause_s = self._rng.uniform(0.2, 4)
        self._runner.pause(name)
        time.sleep(pause_s)
        self._runner.resume(name)
        return f'pause {name} {pause_s:.1f} s'

    def _depose(self) -> str:
        """Pause a controller while its lease lapses."""
        name = self._rng.choice(self.deployment.controllers).name
        pause_s = self._rng.uniform(1, 5)
        self._runner.pause(name)
        self._set_kv(lapse_leases=True)
        time.sleep(pause_s)
        self._runner.resume(name)
        return f'depose {name} {pause_s:.1f} s'

    def _slow_service(self) -> str:
        slow_ms = self._rng.uniform(20, 400)
        self._set_kv(slow_ms=slow_ms)
        self._lasting.append(lambda: self._set_kv(slow_ms=0))
        return f'key-value calls delayed by {slow_ms:.0f} ms'

    def _cut_off(self) -> str:
        """Cut an instance off from the key-value service until the next fault."""
        name = self._rng.choice(self.deployment.controllers).name
        self._cut((name, self.deployment.kv.name))
        return f'cut {name} off from the key-value service'

    def _cut_between(self) -> str:
        """Cut all links between instances, or only one of them."""
        names = [endpoint.name for endpoint in self.deployment.controllers]
        pairs = [
            (source, target)
            for source in names
            for target in names
            if source != target
        ]
        if self._rng.choice((True, False)):
            pairs = [self._rng.choice(pairs)]
        self.cuts += 1
        self._cut(*pairs)
        return f'cut links {pairs}'

    def _cut(self, *pairs: tuple[str, str]) -> None:
        links = self.deployment.links
        links.cut(*pairs)
        self._lasting.append(partial(links.heal, *pairs))

    def _outage(self) -> str:
        self._set_kv(refuse=True)
        time.sleep(self._rng.uniform(0.5, 3))
        self._set_kv(refuse=False)
        return 'outage of the key-value service'

    def _lose_swap_answers(self) -> str:
        count = self._rng.randint(1, 4)
        self._set_kv(drop_swaps=count)
        return f'lose {count} answers to swaps'

    def _lapse_leases(self) -> str:
        self._set_kv(lapse_leases=True)
        return 'lapse leases'

    def _restart_engine(self) -> str:
        engine = self._rng.choice(self.deployment.engines)
        _set_server_fault(engine, 'restart_empty')
        return f'restart {engine.name} empty'

    def _break_connections(self) -> str:
        servers = [*self.deployment.engines, *self.deployment.services]
        server = self._rng.choice(servers)
        points = ('half_request', 'after_request', 'after_run', 'mid_body')
        point = self._rng.choice(points)
        _set_server_fault(
            server, 'die', point=point, count=self._rng.randint(1, 3)
        )
        return f'connections of {server.name} end at {point}'

    def _fail_loads(self) -> str:
        engine = self._rng.choice(self.deployment.engines)
        _set_server_fault(engine, 'fail_loads', count=2)
        return f'{engine.name} fails 2 loads'

    def _set_kv(self, **faults: object) -> None:
        url = f'http://{HOST}:{self.deployment.kv.port}/fault'
        post_json(url, faults)


def _set_server_fault(server: Endpoint, kind: str, **details: Any) -> None:
    """Set a fault of a backend server once it is up."""

    def is_set() -> bool:  # noqa: WPS430
        try:
            BackendControl(server.port).set_fault(kind, **details)
        except HTTPError:
            return False
        return True

    wait_until(is_set, UP_TIMEOUT_S, f'{server.name} up')
