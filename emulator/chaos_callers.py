"""Callers of a chaos run, which send streams and keyed orders."""

import json
import random
import threading
import time
from http.client import HTTPConnection, HTTPException, IncompleteRead
from itertools import repeat
from typing import Any, NamedTuple

from emulator.deployment import TENANT_TOKEN
from emulator.link_table import HOST
from emulator.rolling import CHAT_PATH
from emulator.shape import Endpoint

TIMEOUT_S = 20
ADAPTERS = tuple(f'adapter-{number}' for number in range(8))
OUTCOME_FIELD = 'X-Wasabicross-Outcome'


class CallResult(NamedTuple):
    """The result of sending a request once.

    :param request_id: id that is unique for each time it is sent.
    :param key: idempotency key of an order, empty for a model call.
    :param adapter: adapter of a model call, empty for an order.
    :param tokens: number of requested tokens.
    :param status: HTTP status, 0 if no header arrived.
    :param headers: header fields of the answer.
    :param body: the received part of the body.
    :param is_complete: whether the body is complete by the rules of HTTP.
    :param entry: name of the entry to which it was sent.
    """

    request_id: str
    key: str
    adapter: str
    tokens: int
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    entry: str = ''

    @property
    def outcome(self) -> str:
        """The outcome stated by the entry, empty if there is none."""
        return self.headers.get(OUTCOME_FIELD, '')


class Callers:
    """Threads that send requests to random entries until they are stopped.

    :param entries: entries to which requests are sent.
    :param seed: seed of the random choices.
    :param streams: number of threads that make model calls.
    :param orders: number of threads that send keyed orders, each key more than
        once.
    """

    def __init__(
        self, entries: list[Endpoint], seed: int, streams: int, orders: int
    ) -> None:
        self.results: list[CallResult] = []
        self._entries = entries
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(work, random.Random(f'{seed}/{number}')),  # noqa: S311
            )
            for number, work in enumerate(
                (*repeat(self._stream, streams), *repeat(self._order, orders))
            )
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[CallResult]:
        """Wait for the requests in flight; return all results."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.results

    def _run(self, work: Any, rng: random.Random) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            work(rng, f'{rng.getrandbits(48):x}-{number}')

    def _stream(self, rng: random.Random, name: str) -> None:
        tokens = rng.randint(1, 30)
        adapter = rng.choice(ADAPTERS)
        document = {
            'model': adapter,
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': name}],
        }
        result = CallResult(name, '', adapter, tokens, 0, {}, b'', False)
        self.results.append(self._send(rng, result, CHAT_PATH, document))

    def _order(self, rng: random.Random, name: str) -> None:
        """Send an order from two callers at once, each until it is answered."""
        order = {'order': name}
        second = threading.Thread(
            target=self._send_until_answered,
            args=(rng.getrandbits(32), name, order),
        )
        second.start()
        self._send_until_answered(rng.getrandbits(32), name, order)
        second.join()

    def _send_until_answered(
        self, seed: int, key: str, order: dict[str, str]
    ) -> None:
        rng = random.Random(seed)  # noqa: S311
        for attempt in range(4):
            request_id = f'{key}-{seed:x}-{attempt}'
            result = CallResult(request_id, key, '', 0, 0, {}, b'', False)
            result = self._send(rng, result, '/orders', order)
            self.results.append(result)
            if result.status == 200:
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def _send(
        self, rng: random.Random, result: CallResult, path: str, document: Any
    ) -> CallResult:
        return send(rng.choice(self._entries), result, path, document)


def send(
    entry: Endpoint, result: CallResult, path: str, document: Any
) -> CallResult:
    """Send a request and read its answer.

    :param entry: entry to which it is sent.
    :param result: identifies the request; the answer is added to a copy.
    :param path: path of the request.
    :param document: its JSON body.
    """
    result = result._replace(entry=entry.name)
    headers = {
        'Authorization': f'Bearer {TENANT_TOKEN}',
        'Content-Type': 'application/json',
        'X-Request-Id': result.request_id,
        **({'Idempotency-Key': result.key} if result.key else {}),
    }
    conn = HTTPConnection(HOST, entry.port, timeout=TIMEOUT_S)
    try:
        conn.request('POST', path, json.dumps(document), headers)
        resp = conn.getresponse()
        result = result._replace(status=resp.status, headers=dict(resp.headers))
        return result._replace(body=resp.read(), is_complete=True)
    except IncompleteRead as exc:
        return result._replace(body=exc.partial)
    except (OSError, HTTPException):
        return result
    finally:
        conn.close()
