"""Runs one soak: starts a deployment, plays the faults, checks the result."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import time
from typing import NamedTuple

from emulator.fleet import Runner
from emulator.soak.callers import Callers, Traffic
from emulator.soak.checks import RECOVER_S, violations
from emulator.soak.deployment import SoakDeployment
from emulator.soak.evidence import Evidence, read_logs
from emulator.soak.injector import Injector
from emulator.soak.schedule import Fault, encode

#: Time for which callers continue after the last fault and the recovery time.
_AFTER_S = 4.0


class Size(NamedTuple):
    """The size of a deployment.

    :param gateways: number of gateway processes.
    :param engines: number of engines, in addition to the plain servers.
    :param callers: number of callers; each sends one request at a time.
    :param has_links: whether a proxy is on the way to servers.
    :param traffic: what callers send.
    """

    gateways: int = 4
    engines: int = 3
    callers: int = 12
    has_links: bool = True
    traffic: Traffic = Traffic()


class Verdict(NamedTuple):
    """The result of a run.

    :param evidence: what callers and back ends recorded.
    :param broken: violations of promises, a line for each.
    :param folder: folder of its schedule and logs.
    """

    seed: int
    evidence: Evidence
    broken: list[str]
    folder: pathlib.Path


def unused_folder(folder: pathlib.Path) -> pathlib.Path:
    """Return a path that doesn't exist yet, with a number if it is needed.

    :param folder: preferred path.
    """
    numbered = (
        folder.with_name(f'{folder.name}-{number}')
        for number in itertools.count(2)
    )
    candidates = itertools.chain((folder,), numbered)
    return next(each for each in candidates if not each.exists())


def play(
    seed: int, faults: tuple[Fault, ...], size: Size, folder: pathlib.Path
) -> Verdict:
    """Play a schedule and check the promises.

    :param seed: seed of the callers' requests.
    :param faults: the schedule.
    :param size: size of the deployment.
    :param folder: folder for settings, schedule and logs; it is created.
    :raises FileExistsError: the folder exists already.
    :raises ProgramFailed: a process ended before it was ready.
    """
    folder.mkdir(parents=True)
    (folder / 'schedule.json').write_text(encode(faults))
    with Runner(folder / 'logs') as runner:
        deployment = SoakDeployment(
            runner,
            folder,
            size.gateways,
            size.engines,
            has_links=size.has_links,
        )
        deployment.start()
        evidence = asyncio.run(_play(seed, faults, deployment, size))
    broken = violations(evidence)
    (folder / 'broken.txt').write_text('\n'.join(broken))
    return Verdict(seed, evidence, broken, folder)


async def _play(
    seed: int,
    faults: tuple[Fault, ...],
    deployment: SoakDeployment,
    size: Size,
) -> Evidence:
    injector = Injector(deployment)
    callers = Callers(deployment, seed, size.callers, size.traffic)
    callers.start()
    await injector.play(faults)
    faults_end_s = time.monotonic()
    await asyncio.sleep(RECOVER_S + _AFTER_S)
    results = await callers.stop()
    injector.record_exits()
    log = read_logs(
        {
            server.name: deployment.runner.log_path(server.name)
            for server in deployment.servers
        }
    )
    return Evidence(
        results,
        log.runs,
        log.arrivals,
        log.orders,
        log.overfilled_engines,
        injector.injected,
        injector.stops,
        injector.unexpected_exits,
        injector.published_versions,
        faults_end_s,
        log.notices,
        log.server_starts,
        log.limits,
        log.brittle,
        log.ends,
        log.copies,
    )
