"""Starts and stops the processes of a demo, a test or a benchmark."""

import os
import pathlib
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from functools import partial
from types import TracebackType
from typing import NamedTuple
from urllib.parse import urlsplit

import urllib3

from emulator.waiting import wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Long enough for programs to start on a busy machine.
READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20
PROBE_TIMEOUT_S = 1
PAUSE_TIMEOUT_S = 5
LOG_TAIL_BYTES = 2000
STATUS_OK = 200


class Program(NamedTuple):
    """A process to run.

    :param name: name of the program, unique in its runner.
    :param module: the Python module that it runs.
    :param args: its arguments.
    :param ready: address that shows that it is ready: an ``http://`` URL that
        answers with status 200, or ``tcp://HOST:PORT`` that accepts
        connections. Empty if it is ready at once.
    :param env: additional environment variables.
    """

    name: str
    module: str
    args: tuple[str, ...] = ()
    ready: str = ''
    env: tuple[tuple[str, str], ...] = ()


class ProgramFailed(Exception):  # noqa: N818
    """A program ended before it was ready; includes the end of its log."""


class Runner:
    """Runs a group of processes, and stops them when the context ends.

    :param log_dir: directory of the programs' output, in ``NAME.log`` files.
    :param python: the Python interpreter.
    """

    def __init__(
        self,
        log_dir: pathlib.Path,
        python: str = sys.executable,
    ) -> None:
        self._log_dir = log_dir
        self._python = python
        self._programs: dict[str, Program] = {}
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._http = urllib3.PoolManager(retries=False)

    def __enter__(self) -> 'Runner':
        """Create the directory of the logs."""
        self._log_dir.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop every process."""
        self.close()

    def start(self, *programs: Program) -> None:
        """Start programs without waiting until they are ready.

        :raises ValueError: a program of the same name is running.
        """
        for program in programs:
            if program.name in self.running():
                raise ValueError(f'{program.name} is running')
            self._programs[program.name] = program
            self._running[program.name] = self._spawn(program)

    def wait_ready(
        self,
        *names: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Wait until programs are ready; all of them if none is named.

        :param timeout_s: seconds for all of them together.
        :raises ProgramFailed: one of them ended instead.
        :raises TimeoutError: one of them was not ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        for name in names or tuple(self._programs):
            wait_until(
                partial(self.is_ready, name),
                deadline_s - time.monotonic(),
                f'{name} ready',
            )

    def run(self, *programs: Program) -> None:
        """Start programs and wait until they are ready."""
        self.start(*programs)
        self.wait_ready(*(program.name for program in programs))

    def start_again(self, name: str) -> None:
        """Restart a program that has ended, without waiting until it is ready."""
        self.start(self._programs[name])

    def restart(self, name: str) -> None:
        """Restart a program that has ended, and wait until it is ready."""
        self.run(self._programs[name])

    def is_ready(self, name: str) -> bool:
        """Return whether a program is ready.

        :raises ProgramFailed: it has ended.
        """
        exit_code = self.exit_code(name)
        if exit_code is not None:
            raise ProgramFailed(f'{name}: {exit_code}\n{self.log_tail(name)}')
        ready = self._programs[name].ready
        if ready.startswith('tcp://'):
            return _accepts_connections(ready)
        return not ready or self._answers_ok(ready)

    def running(self) -> list[str]:
        """Return the names of the programs that have not ended."""
        return [
            name
            for name, process in self._running.items()
            if process.poll() is None
        ]

    def pid(self, name: str) -> int:
        """Return a program's process id."""
        return self._running[name].pid

    def exit_code(self, name: str) -> int | None:
        """Return a program's exit code, ``None`` while it runs.

        It is the negative number of the signal that ended the program, if one
        did.
        """
        return self._running[name].poll()

    def exit_codes(self) -> dict[str, int | None]:
        """Return the exit code of each program, ``None`` while it runs."""
        return {name: self.exit_code(name) for name in self._running}

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of a program's output."""
        return self._log_dir / f'{name}.log'

    def log_tail(self, name: str) -> str:
        """Return the end of a program's output."""
        output = self.log_path(name).read_bytes()
        return output[-LOG_TAIL_BYTES:].decode('utf-8', 'replace')

    def log_tails(self) -> str:
        """Return the exit code and the end of the output of every program."""
        return '\n'.join(
            f'{name}: {self.exit_code(name)}\n{self.log_tail(name)}'
            for name in self._running
        )

    def terminate(self, *names: str) -> None:
        """Send SIGTERM without waiting."""
        for name in names:
            self._running[name].send_signal(signal.SIGTERM)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a program has ended, and return its exit code.

        :raises subprocess.TimeoutExpired: it did not end in time.
        """
        return self._running[name].wait(timeout_s)

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, wait and return the exit code."""
        self.terminate(name)
        return self.wait(name, timeout_s)

    def kill(self, name: str) -> None:
        """Kill a program with SIGKILL."""
        self._running[name].kill()
        self._running[name].wait()

    def pause(self, name: str) -> None:
        """Stop a program with SIGSTOP, and wait until all of it is stopped."""
        process = self._running[name]
        process.send_signal(signal.SIGSTOP)
        wait_until(
            lambda: _is_stopped(process),
            PAUSE_TIMEOUT_S,
            f'{name} paused',
        )

    def resume(self, name: str) -> None:
        """Continue a paused program with SIGCONT."""
        self._running[name].send_signal(signal.SIGCONT)

    def close(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stop every program with SIGTERM, then with SIGKILL after a timeout.

        :param timeout_s: seconds until SIGKILL, for all programs together.
        """
        for name in self.running():
            self.resume(name)
            self.terminate(name)
        deadline_s = time.monotonic() + timeout_s
        for process in self._running.values():
            try:
                process.wait(max(deadline_s - time.monotonic(), 0))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._http.clear()

    def _spawn(self, program: Program) -> subprocess.Popen[bytes]:
        env = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}{os.pathsep}{ROOT}',
            'PYTHONUNBUFFERED': '1',
            **dict(program.env),
        }
        with self.log_path(program.name).open('ab') as log:
            return subprocess.Popen(  # noqa: S603
                (self._python, '-m', program.module, *program.args),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _answers_ok(self, url: str) -> bool:
        try:
            resp = self._http.request('GET', url, timeout=PROBE_TIMEOUT_S)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return resp.status == STATUS_OK


def _is_stopped(process: subprocess.Popen[bytes]) -> bool:
    # SIGSTOP stops the threads of a process one by one.
    if process.poll() is not None:
        return True
    options = os.WSTOPPED | os.WNOHANG | os.WNOWAIT
    return os.waitid(os.P_PID, process.pid, options) is not None


def _accepts_connections(address: str) -> bool:
    parts = urlsplit(address)
    try:
        probe = socket.create_connection(
            (parts.hostname, parts.port),
            PROBE_TIMEOUT_S,
        )
    except OSError:
        return False
    probe.close()
    return True
