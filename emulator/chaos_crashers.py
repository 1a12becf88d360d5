"""A request of a chaos run that crashes each engine that runs it."""

import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from itertools import count
from typing import Any, NamedTuple

from emulator.chaos_callers import ADAPTERS, CallResult, send
from emulator.completions import CRASH_EXIT_CODE
from emulator.deployment import Deployment
from emulator.rolling import CHAT_PATH
from emulator.waiting import wait_until

MARKER = 'crash-this-engine'
MAX_COPIES = 4
RESEND_INTERVAL_S = (0.05, 0.5)
REFUSAL_TIMEOUT_S = 30
RESTART_INTERVAL_S = (0.1, 1.0)


class Crash(NamedTuple):
    """A crash of an engine, read from the engine's output.

    :param engine: name of the engine.
    :param crashed_by: id of the request that crashed it.
    :param under_way: ids of all requests that it had in flight.
    :param logged: its log document at the crash.
    """

    engine: str
    crashed_by: str
    under_way: list[str]
    logged: dict[str, Any]


class Restarter:
    """Restarts crashed engines, as the platform does.

    :param deployment: a started deployment.
    :param rng: chooses how long each engine stays down.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> list[Crash]:
        """Restart all crashed engines, stop and return the crashes."""
        self._stop.set()
        self._thread.join()
        self._restart_crashed()
        return [
            crash
            for engine in self._deployment.engines
            for crash in self._crashes_of(engine.name)
        ]

    def _run(self) -> None:
        while not self._stop.wait(self._rng.uniform(*RESTART_INTERVAL_S)):
            self._restart_crashed()

    def _restart_crashed(self) -> None:
        runner = self._deployment.runner
        for engine in self._deployment.engines:
            if runner.exit_code(engine.name) == CRASH_EXIT_CODE:
                runner.restart(engine.name)

    def _crashes_of(self, name: str) -> list[Crash]:
        output = self._deployment.runner.log_path(name).read_text()
        documents = [
            json.loads(line)
            for line in output.splitlines()
            if line.startswith('{"event": "crash"')
        ]
        return [
            Crash(name, each['crashed_by'], each['under_way'], each)
            for each in documents
        ]


class Crasher:
    """A caller that keeps sending a request that crashes engines.

    :param deployment: a started deployment.
    :param rng: chooses the adapter, and the entries and times of sending.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.results: list[CallResult] = []
        self._entries = deployment.entries
        self._rng = rng
        self._adapter = rng.choice(ADAPTERS)
        self._copies = rng.randint(1, MAX_COPIES)
        self._numbers = count()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> str:
        """Send several copies at once, then one after the other.

        :returns: a description of the fault.
        """
        self._thread.start()
        return f'{self._copies} crashers on {self._adapter}'

    def stop(self) -> bool:
        """Send it to each entry until all refuse it permanently.

        :returns: whether all did so in time.
        """
        self._stop.set()
        self._thread.join()
        try:
            return wait_until(
                self._all_refuse,
                REFUSAL_TIMEOUT_S,
                'crasher refused by all entries',
            )
        except TimeoutError:
            return False

    def _all_refuse(self) -> bool:
        time.sleep(RESEND_INTERVAL_S[0])
        return all([self._send(entry) for entry in self._entries])

    def _run(self) -> None:
        entries = self._rng.choices(self._entries, k=self._copies)
        with ThreadPoolExecutor(self._copies) as pool:
            list(pool.map(self._send, entries))
        while not self._stop.wait(self._rng.uniform(*RESEND_INTERVAL_S)):
            self._send(self._rng.choice(self._entries))

    def _send(self, entry: Any) -> bool:
        """Send it once; return whether it was refused permanently."""
        document = {
            'model': self._adapter,
            'stream': False,
            'max_tokens': 4,
            'messages': [{'role': 'user', 'content': MARKER}],
        }
        name = f'crasher-{next(self._numbers)}'
        result = CallResult(name, '', self._adapter, 4, 0, {}, b'', False)
        result = send(entry, result, CHAT_PATH, document)
        self.results.append(result)
        return result.status == HTTPStatus.UNPROCESSABLE_ENTITY
