"""Seeded runs of mixed faults under traffic, checked from the logs.

`python -m emulator.chaos --seed 1 --runs 10 --jobs 2` prints a line for each
run and the seeds that failed, and exits 1 if any did.
"""

import json
import pathlib
import random
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from itertools import pairwise
from typing import NamedTuple

import click

from emulator.backend_control import BackendControl
from emulator.chaos_callers import Callers, CallResult
from emulator.chaos_checks import (
    Evidence,
    beside_crashes,
    completed,
    violations,
)
from emulator.chaos_crashers import (
    FOUND_S,
    MARKER,
    Crash,
    Crasher,
    Restarter,
)
from emulator.chaos_faults import ChaosFaults
from emulator.deployment import Deployment
from emulator.fleet import ProgramFailed, Runner
from emulator.shape import Shape
from emulator.waiting import wait_until

FAULTS_A_RUN = 6
START_ATTEMPTS = 3
ANSWERS_AFTER = 10
RECOVERY_S = 40


class Crashes(NamedTuple):
    """What a request that crashes engines has cost.

    :param lost: engines that it crashed.
    :param allowed: how many it may.
    :param beside: what other requests that it hit were told, in a word each.
    """

    lost: int
    allowed: int
    beside: Counter[str]


class Verdict(NamedTuple):
    """How one run ended.

    :param seed: what it was made from.
    :param faults: the faults, in order.
    :param sent: requests sent.
    :param whole: requests answered whole.
    :param crashes: what the crasher cost.
    :param broken: promises that were broken.
    """

    seed: int
    faults: list[str]
    sent: int
    whole: int
    crashes: Crashes
    broken: list[str]


def shape_of(rng: random.Random) -> Shape:
    """Return the small deployment of a run.

    :param rng: chooses what varies, such as fencing engines.
    """
    fencing = rng.choice(('--fencing', '--no-fencing'))
    return Shape(
        admins=False,
        engines=2,
        engine_args=(
            '--token-ms',
            '3',
            '--first-token-ms',
            '5',
            '--slots',
            '3',
            fencing,
            '--crash-marker',
            MARKER,
        ),
        proxied=('instance', 'kv'),
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
    shape = shape_of(rng)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Runner(folder / 'logs') as runner:
            deployment = _started(shape, runner, folder)
            return _run_deployment(seed, deployment, rng)


def _started(shape: Shape, runner: Runner, folder: pathlib.Path) -> Deployment:
    """Return a deployment that runs; others may take its ports meanwhile."""
    for _ in range(START_ATTEMPTS):
        deployment = Deployment(shape, runner, folder / 'settings')
        try:
            deployment.start()
        except ProgramFailed:
            runner.close()
        else:
            return deployment
    raise ProgramFailed(f'no start in {START_ATTEMPTS} attempts')


def _run_deployment(
    seed: int, deployment: Deployment, rng: random.Random
) -> Verdict:
    run = ChaosFaults(deployment, rng)
    run.roll()
    callers = Callers(deployment.entries, seed, streams=6, orders=2)
    # Choices of its own, so that they change none of the others.
    crash_rng = random.Random(f'{seed}/crash')  # noqa: S311
    crasher = Crasher(deployment, crash_rng)
    restarter = Restarter(deployment, crash_rng)
    restarter.start()
    callers.start()
    crash_step = crash_rng.randrange(FAULTS_A_RUN)
    faults = []
    for step in range(FAULTS_A_RUN):
        time.sleep(rng.uniform(0.1, 0.6))
        if step == crash_step:
            faults.append(crasher.start())
        faults.append(run.inject())
    run.heal()
    broken = run.broken
    if not crasher.stop():
        broken.append(f'crasher not found {FOUND_S} s after')
    if not _recovers(callers):
        broken.append(f'no {ANSWERS_AFTER} answers {RECOVERY_S} s after')
    evidence = _evidence(run, callers.stop(), crasher.got, restarter.stop())
    broken.extend(violations(evidence))
    return Verdict(
        seed,
        faults,
        len(evidence.got),
        len(completed(evidence.got)),
        Crashes(
            len(evidence.crashes),
            evidence.max_crashes,
            Counter(_told(got) for got in beside_crashes(evidence)),
        ),
        broken,
    )


def _evidence(
    run: ChaosFaults,
    got: list[CallResult],
    crasher_got: list[CallResult],
    crashes: list[Crash],
) -> Evidence:
    deployment = run.deployment
    entries = {place.name for place in deployment.entries}
    lives = len(entries) + sum(len(run.starts[name]) for name in entries)
    return Evidence(
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
        {
            name: _bundles_of(deployment.runner.log_path(name), starts)
            for name, starts in run.starts.items()
        },
        crasher_got,
        crashes,
        # The first of each entry's life, and a trial on each side of a cut.
        lives + 1 + run.cuts,
        frozenset(name for name in entries if run.starts[name]),
    )


def _told(got: CallResult) -> str:
    """Return what the caller of a request was told, in a word."""
    if got.status != HTTPStatus.OK:
        return got.outcome or 'nothing'
    return 'whole' if got.is_whole else 'cut'


def _bundles_of(path: pathlib.Path, starts: list[int]) -> list[int]:
    """Return the bundles that a program put in force; 0 for each restart.

    :param path: its log.
    :param starts: bytes of the log before each restart.
    """
    log = path.read_bytes()
    bundles = []
    for begin, end in pairwise((0, *starts, len(log))):
        bundles.append(0)
        bundles.extend(
            json.loads(line)['bundle']
            for line in log[begin:end].splitlines()
            if b'"bundle_in_force"' in line
        )
    return bundles


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
            lost, allowed, beside = verdict.crashes
            click.echo(f'  crashed {lost} of {allowed}, beside: {dict(beside)}')
            for broken in verdict.broken:
                click.echo(f'  BROKEN {broken}')
            if verdict.broken:
                failed.append(verdict.seed)
    click.echo(f'{runs} runs, {len(failed)} failed: {failed}')
    if failed:
        sys.exit(1)


if __name__ == '__main__':
    main()
