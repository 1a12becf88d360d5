"""Seeded runs of mixed faults under traffic, checked against the logs.

`python -m emulator.chaos --seed 1 --runs 10 --jobs 2` prints the result of each
run and the seeds that failed, and exits with 1 if any failed.
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
    completed,
    hit_by_crashes,
    violations,
)
from emulator.chaos_crashers import (
    MARKER,
    REFUSAL_TIMEOUT_S,
    Crash,
    Crasher,
    Restarter,
)
from emulator.chaos_faults import ChaosFaults
from emulator.deployment import Deployment
from emulator.fleet import ProgramFailed, Runner
from emulator.shape import Shape
from emulator.waiting import wait_until

FAULTS_PER_RUN = 6
START_ATTEMPTS = 3
RECOVERY_ANSWERS = 10
RECOVERY_TIMEOUT_S = 40


class Crashes(NamedTuple):
    """The damage done by a request that crashes engines.

    :param crashed: number of crashes.
    :param allowed: maximum number of crashes.
    :param outcomes: outcomes of the other requests on the crashed engines.
    """

    crashed: int
    allowed: int
    outcomes: Counter[str]


class Verdict(NamedTuple):
    """The result of one run.

    :param seed: seed of the run.
    :param faults: descriptions of the faults, in order.
    :param sent: number of requests sent.
    :param complete: number of requests that got a complete answer.
    :param crashes: damage done by the crashing request.
    :param broken: descriptions of the promises that were broken.
    """

    seed: int
    faults: list[str]
    sent: int
    complete: int
    crashes: Crashes
    broken: list[str]


def shape_of(rng: random.Random) -> Shape:
    """Return the shape of the small deployment of a run.

    :param rng: chooses the options that vary, such as fencing of engines.
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
    """Run one seed and check the evidence.

    :param seed: seed of all random choices.
    """
    rng = random.Random(seed)  # noqa: S311
    shape = shape_of(rng)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Runner(folder / 'logs') as runner:
            deployment = _start_deployment(shape, runner, folder)
            return _run_deployment(seed, deployment, rng)


def _start_deployment(
    shape: Shape, runner: Runner, folder: pathlib.Path
) -> Deployment:
    """Return a started deployment; retry if another process takes a port."""
    for _ in range(START_ATTEMPTS):
        deployment = Deployment(shape, runner, folder / 'settings')
        try:
            deployment.start()
        except ProgramFailed:
            runner.close()
        else:
            return deployment
    raise ProgramFailed(f'deployment failed to start {START_ATTEMPTS} times')


def _run_deployment(
    seed: int, deployment: Deployment, rng: random.Random
) -> Verdict:
    run = ChaosFaults(deployment, rng)
    run.roll()
    callers = Callers(deployment.entries, seed, streams=6, orders=2)
    # A separate generator, so that the other random choices do not change.
    crash_rng = random.Random(f'{seed}/crash')  # noqa: S311
    crasher = Crasher(deployment, crash_rng)
    restarter = Restarter(deployment, crash_rng)
    restarter.start()
    callers.start()
    crash_step = crash_rng.randrange(FAULTS_PER_RUN)
    faults = []
    for step in range(FAULTS_PER_RUN):
        time.sleep(rng.uniform(0.1, 0.6))
        if step == crash_step:
            faults.append(crasher.start())
        faults.append(run.inject())
    run.heal()
    broken = run.broken
    if not crasher.stop():
        broken.append(
            f'crasher not refused by all entries within {REFUSAL_TIMEOUT_S} s',
        )
    if not _has_recovered(callers):
        broken.append(
            f'fewer than {RECOVERY_ANSWERS} complete answers within '
            f'{RECOVERY_TIMEOUT_S} s after the last fault',
        )
    evidence = _evidence(run, callers.stop(), crasher.results, restarter.stop())
    broken.extend(violations(evidence))
    return Verdict(
        seed,
        faults,
        len(evidence.results),
        len(completed(evidence.results)),
        Crashes(
            len(evidence.crashes),
            evidence.max_crashes,
            Counter(
                _seen_outcome(result) for result in hit_by_crashes(evidence)
            ),
        ),
        broken,
    )


def _evidence(
    run: ChaosFaults,
    results: list[CallResult],
    crasher_results: list[CallResult],
    crashes: list[Crash],
) -> Evidence:
    deployment = run.deployment
    entries = {endpoint.name for endpoint in deployment.entries}
    entry_starts = len(entries) + sum(len(run.starts[name]) for name in entries)
    return Evidence(
        results,
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
        crasher_results,
        crashes,
        # One crash for each start of an entry, and one trial on each side of
        # a cut.
        entry_starts + 1 + run.cuts,
        frozenset(name for name in entries if run.starts[name]),
    )


def _seen_outcome(result: CallResult) -> str:
    """Return the outcome that the caller of a request saw."""
    if result.status != HTTPStatus.OK:
        return result.outcome or 'nothing'
    return 'whole' if result.is_complete else 'cut'


def _bundles_of(path: pathlib.Path, starts: list[int]) -> list[int]:
    """Return the bundles that a program put in force; 0 for each start.

    :param path: path of its log.
    :param starts: size of the log at each restart, in bytes.
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


def _has_recovered(callers: Callers) -> bool:
    """Return whether requests are answered again after all faults ended."""
    before = len(completed(callers.results))

    def has_enough_answers() -> bool:  # noqa: WPS430
        return len(completed(callers.results)) >= before + RECOVERY_ANSWERS

    try:
        return wait_until(has_enough_answers, RECOVERY_TIMEOUT_S, 'answers')
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
                f'seed {verdict.seed}: {verdict.complete} of {verdict.sent} '
                'requests got a complete answer; '
                f'faults: {"; ".join(verdict.faults)}',
            )
            crashed, allowed, outcomes = verdict.crashes
            click.echo(
                f'  {crashed} engine crashes ({allowed} allowed); '
                f'other requests on crashed engines: {dict(outcomes)}',
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
