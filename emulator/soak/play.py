"""One soak run: its deployment, its callers, its faults, its verdict."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import time
from typing import NamedTuple

from emulator.fleet import Runner
from emulator.soak.callers import Callers
from emulator.soak.checks import RECOVER_S, violations
from emulator.soak.deployment import SoakDeployment
from emulator.soak.evidence import Evidence, read_logs
from emulator.soak.injector import Injector
from emulator.soak.schedule import Fault, encode

#: How long requests go on after the last fault and the time to recover.
_AFTER_S = 4.0


class Size(NamedTuple):
    """How large a deployment is.

    :param gateways: gateway processes.
    :param engines: engines, beside the plain servers.
    :param callers: callers that send one request after the other.
    """

    gateways: int = 4
    engines: int = 3
    callers: int = 12


class Verdict(NamedTuple):
    """How a run ended.

    :param evidence: what callers and back ends saw.
    :param broken: promises that were broken, a line for each case.
    :param folder: where its schedule and logs are.
    """

    seed: int
    evidence: Evidence
    broken: list[str]
    folder: pathlib.Path


def unused_folder(folder: pathlib.Path) -> pathlib.Path:
    """Return a folder that doesn't exist yet, numbered where it has to be.

    :param folder: the first that will do.
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
    """Play a schedule and judge it.

    :param seed: of what callers send.
    :param faults: the schedule.
    :param size: of the deployment.
    :param folder: for settings, schedule and logs.
    :raises FileExistsError: the folder holds what another run has left.
    :raises ProgramFailed: a process ended before it was ready.
    """
    folder.mkdir(parents=True)
    (folder / 'schedule.json').write_text(encode(faults))
    with Runner(folder / 'logs') as runner:
        deployment = SoakDeployment(runner, folder, size.gateways, size.engines)
        deployment.start()
        seen = asyncio.run(_play(seed, faults, deployment, size.callers))
    broken = violations(seen)
    (folder / 'broken.txt').write_text('\n'.join(broken))
    return Verdict(seed, seen, broken, folder)


async def _play(
    seed: int,
    faults: tuple[Fault, ...],
    deployment: SoakDeployment,
    count: int,
) -> Evidence:
    injector = Injector(deployment)
    callers = Callers(deployment, seed, count)
    callers.start()
    await injector.play(faults)
    faults_end_s = time.monotonic()
    await asyncio.sleep(RECOVER_S + _AFTER_S)
    got = await callers.stop()
    injector.note_ended()
    log = read_logs(
        {
            server.name: deployment.runner.log_path(server.name)
            for server in deployment.servers
        }
    )
    return Evidence(
        got,
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
    )
