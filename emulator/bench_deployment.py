"""The deployment of a closing peak, with the policy or a baseline."""

import pathlib
from functools import partial

import urllib3

from emulator.deployment import Deployment
from emulator.fleet import Program, ProgramFailed, Runner
from emulator.link_table import HOST
from emulator.shape import Endpoint, Shape
from emulator.waiting import wait_until

POLICY = 'policy'
READY_TIMEOUT_S = 30
STATUS_OK = 200


class BenchDeployment(Deployment):
    """A deployment whose entries route by the policy or by a baseline.

    :param contender: `policy` or the name of a baseline.
    :param engines: number of engines in all data centres together.
    """

    def __init__(
        self,
        shape: Shape,
        runner: Runner,
        folder: pathlib.Path,
        contender: str,
        engines: int,
    ) -> None:
        super().__init__(shape, runner, folder)
        self._contender = contender
        # Engines are kept in turn by data centre, so the last ones get fewer.
        by_number = sorted(self.engines, key=lambda endpoint: endpoint.name[-1])
        self.engines = by_number[:engines]

    def instance_programs(self, instance_id: str) -> list[Program]:
        """Return the programs of an instance, its controller first."""
        programs = super().instance_programs(instance_id)
        if self._contender == POLICY:
            return programs
        return [self._with_baseline(program) for program in programs]

    def _with_baseline(self, program: Program) -> Program:
        if program.module != 'wasabicross.programs.entry':
            return program
        return program._replace(
            module='emulator.baseline_entry',
            args=(self._contender, *program.args),
        )

    def wait_for_entries(self) -> None:
        """Wait until each entry can serve calls on its own port.

        The health check on the metrics port succeeds even if another process
        of the machine has taken the entry's own port.

        :raises ProgramFailed: a program has ended, or an entry is not ready in
            time.
        """
        for entry in self.entries:
            try:
                wait_until(
                    partial(self._is_ready, entry), READY_TIMEOUT_S, entry.name
                )
            except TimeoutError as exc:
                raise ProgramFailed(self.runner.log_tail(entry.name)) from exc

    def check_running(self) -> None:
        """Check that no program has ended.

        :raises ProgramFailed: one has.
        """
        ended = [
            name
            for name, exit_code in self.runner.exit_codes().items()
            if exit_code is not None
        ]
        if ended:
            tails = '\n'.join(self.runner.log_tail(name) for name in ended)
            raise ProgramFailed(f'ended: {ended}\n{tails}')

    def _is_ready(self, entry: Endpoint) -> bool:
        self.check_running()
        url = f'http://{HOST}:{entry.metrics_port}/readyz'
        try:
            resp = urllib3.request('GET', url, retries=False, timeout=1)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return resp.status == STATUS_OK
