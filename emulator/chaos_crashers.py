"""A request of a chaos run that crashes the engines which run it."""

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
REPEAT_S = (0.05, 0.5)
FOUND_S = 30
RESTART_S = (0.1, 1.0)


class Crash(NamedTuple):
    """An engine that a request has crashed, by its last words.

    :param engine: its name.
    :param crashed_by: id of the request.
    :param under_way: ids of all requests that it had under way.
    :param logged: its log document.
    """

    engine: str
    crashed_by: str
    under_way: list[str]
    logged: dict[str, Any]


class Restarter:
    """Starts engines again that a request has crashed, as a platform does.

    :param deployment: the deployment, started.
    :param rng: chooses how long each stays down.
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
        """Wait until all engines are up; return the crashes."""
        self._stop.set()
        self._thread.join()
        self._restart_crashed()
        return [
            crash
            for engine in self._deployment.engines
            for crash in self._crashes_of(engine.name)
        ]

    def _run(self) -> None:
        while not self._stop.wait(self._rng.uniform(*RESTART_S)):
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
    """A request that crashes engines, sent by a caller that persists.

    :param deployment: the deployment, started.
    :param rng: chooses the adapter, and where and when it is sent.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.got: list[CallResult] = []
        self._entries = deployment.entries
        self._rng = rng
        self._adapter = rng.choice(ADAPTERS)
        self._copies = rng.randint(1, MAX_COPIES)
        self._numbers = count()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> str:
        """Send copies at one moment, then one after the other.

        :returns: what it does, in words.
        """
        self._thread.start()
        return f'{self._copies} crashers on {self._adapter}'

    def stop(self) -> bool:
        """Send it to each entry until all refuse it for good.

        :returns: whether all did in time.
        """
        self._stop.set()
        self._thread.join()
        try:
            return wait_until(self._is_found, FOUND_S, 'crasher found')
        except TimeoutError:
            return False

    def _is_found(self) -> bool:
        time.sleep(REPEAT_S[0])
        return all([self._send(entry) for entry in self._entries])

    def _run(self) -> None:
        entries = self._rng.choices(self._entries, k=self._copies)
        with ThreadPoolExecutor(self._copies) as pool:
            list(pool.map(self._send, entries))
        while not self._stop.wait(self._rng.uniform(*REPEAT_S)):
            self._send(self._rng.choice(self._entries))

    def _send(self, entry: Any) -> bool:
        """Send it once; return whether it was refused for good."""
        document = {
            'model': self._adapter,
            'stream': False,
            'max_tokens': 4,
            'messages': [{'role': 'user', 'content': MARKER}],
        }
        name = f'crasher-{next(self._numbers)}'
        got = CallResult(name, '', self._adapter, 4, 0, {}, b'', False)
        got = send(entry, got, CHAT_PATH, document)
        self.got.append(got)
        return got.status == HTTPStatus.UNPROCESSABLE_ENTITY
