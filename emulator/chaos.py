"""Seeded runs of mixed faults under traffic, checked from the logs.

`python -m emulator.chaos --seed 1 --runs 10 --jobs 2` prints a line for each
run and the seeds that failed, and exits 1 if any did.
"""

import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import click

from emulator.backend_control import BackendControl
from emulator.chaos_callers import ADAPTERS, Callers
from emulator.chaos_checks import Evidence, completed, violations
from emulator.deployment import Deployment
from emulator.fleet import Runner
from emulator.link_table import HOST
from emulator.rolling import bundle_text, put_in_force
from emulator.shape import Place, Shape
from emulator.single_request import post_json
from emulator.waiting import wait_until

FAULTS_A_RUN = 6
ANSWERS_AFTER = 10
RECOVERY_S = 40
POLICY = {'min_resident_s': 0.05}


class Verdict(NamedTuple):
    """How one run ended.

    :param seed: what it was made from.
    :param faults: the faults, in order.
    :param sent: requests sent.
    :param whole: requests answered whole.
    :param broken: promises that were broken.
    """

    seed: int
    faults: list[str]
    sent: int
    whole: int
    broken: list[str]


class ChaosRun:
    """One deployment under traffic and faults.

    :param deployment: the deployment, started.
    :param rng: chooses the faults.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.versions: dict[int, dict[str, str]] = {}
        self._deployment = deployment
        self._runner = deployment.runner
        self._rng = rng
        self._faults: list[Callable[[], str]] = [
            self._kill,
            self._pause,
            self._outage,
            self._lose_swaps,
            self._lapse_leases,
            self._restart_engine,
            self._break_connections,
            self._fail_loads,
            self.roll,
            self.roll,
        ]

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
        put_in_force(self._deployment, bundle_text(versions, POLICY))
        return f'roll {number}'

    def inject(self) -> str:
        """Have one fault and heal it; return what it was."""
        return self._rng.choice(self._faults)()

    def _programs(self) -> list[Place]:
        return [*self._deployment.controllers, *self._deployment.entries]

    def _kill(self) -> str:
        name = self._rng.choice(self._programs()).name
        self._runner.kill(name)
        self._runner.restart(name)
        return f'kill {name}'

    def _pause(self) -> str:
        name = self._rng.choice(self._programs()).name
        pause_s = self._rng.uniform(0.2, 4)
        self._runner.pause(name)
        time.sleep(pause_s)
        self._runner.resume(name)
        return f'pause {name} {pause_s:.1f} s'

    def _outage(self) -> str:
        self._set_kv(refuse=True)
        time.sleep(self._rng.uniform(0.5, 3))
        self._set_kv(refuse=False)
        return 'outage'

    def _lose_swaps(self) -> str:
        count = self._rng.randint(1, 4)
        self._set_kv(drop_swaps=count)
        return f'lose {count} swap answers'

    def _lapse_leases(self) -> str:
        self._set_kv(lapse_leases=True)
        return 'lapse leases'

    def _restart_engine(self) -> str:
        engine = self._rng.choice(self._deployment.engines)
        BackendControl(engine.port).set_fault('restart_empty')
        return f'restart {engine.name} empty'

    def _break_connections(self) -> str:
        servers = [*self._deployment.engines, *self._deployment.services]
        server = self._rng.choice(servers)
        points = ('half_request', 'after_request', 'after_run', 'mid_body')
        point = self._rng.choice(points)
        BackendControl(server.port).die_at(point, self._rng.randint(1, 3))
        return f'{server.name} dies {point}'

    def _fail_loads(self) -> str:
        engine = self._rng.choice(self._deployment.engines)
        BackendControl(engine.port).set_fault('fail_loads', count=2)
        return f'{engine.name} fails loads'

    def _set_kv(self, **faults: object) -> None:
        url = f'http://{HOST}:{self._deployment.kv.port}/fault'
        post_json(url, faults)


def shape_of(rng: random.Random) -> Shape:
    """Return the small deployment of a run.

    :param rng: chooses what varies, such as fencing engines.
    """
    fencing = rng.choice(('--fencing', '--no-fencing'))
    return Shape(
        admins=False,
        engine_args=(
            '--token-ms',
            '3',
            '--first-token-ms',
            '5',
            '--slots',
            '3',
            fencing,
        ),
        weight_args=('--loads-per-s', '1000', '--load-ms', '20'),
        settings={
            'servers': {'max_request_s': 3, 'use_lease_s': 2},
            'weight_store': {'loads_per_s': 100, 'in_flight': 8},
        },
    )


def run_seed(seed: int) -> Verdict:
    """Run one seed and check what it left behind.

    :param seed: of all random choices.
    """
    rng = random.Random(seed)  # noqa: S311
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Runner(folder / 'logs') as runner:
            deployment = Deployment(shape_of(rng), runner, folder / 'settings')
            deployment.start()
            return _run_deployment(seed, deployment, rng)


def _run_deployment(
    seed: int, deployment: Deployment, rng: random.Random
) -> Verdict:
    run = ChaosRun(deployment, rng)
    run.roll()
    callers = Callers(deployment.entries, seed, streams=6, orders=2)
    callers.start()
    faults = []
    for _ in range(FAULTS_A_RUN):
        time.sleep(rng.uniform(0.1, 0.6))
        faults.append(run.inject())
    recovered = _recovers(callers)
    got = callers.stop()
    evidence = Evidence(
        got,
        {
            engine.name: BackendControl(engine.port).describe()
            for engine in deployment.engines
        },
        {
            service.name: BackendControl(service.port).describe()
            for service in deployment.services
        },
        run.versions,
    )
    broken = violations(evidence)
    if not recovered:
        broken.append(f'no {ANSWERS_AFTER} answers {RECOVERY_S} s after')
    return Verdict(seed, faults, len(got), len(completed(got)), broken)


def _recovers(callers: Callers) -> bool:
    """Tell whether requests are answered again once all faults are healed."""
    before = len(completed(callers.got))

    def enough() -> bool:  # noqa: WPS430
        return len(completed(callers.got)) >= before + ANSWERS_AFTER

    try:
        return wait_until(enough, RECOVERY_S, 'answers')
    except TimeoutError:
        return False


@click.command()
@click.option('--seed', default=1, show_default=True, help='First seed.')
@click.option('--runs', default=10, show_default=True, help='How many seeds.')
@click.option('--jobs', default=2, show_default=True, help='Runs at a time.')
def main(seed: int, runs: int, jobs: int) -> None:
    """Run seeds and print those that broke a promise."""
    failed = []
    with ThreadPoolExecutor(jobs) as pool:
        for verdict in pool.map(run_seed, range(seed, seed + runs)):
            click.echo(
                f'seed {verdict.seed}: {verdict.whole} of {verdict.sent} '
                f'answered whole; {"; ".join(verdict.faults)}',
            )
            for broken in verdict.broken:
                click.echo(f'  BROKEN {broken}')
            if verdict.broken:
                failed.append(verdict.seed)
    click.echo(f'{runs} runs, {len(failed)} failed: {failed}')
    if failed:
        sys.exit(1)


if __name__ == '__main__':
    main()
