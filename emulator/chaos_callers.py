"""Callers of a chaos run: streams and keyed orders, with what they got."""

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
OUTCOME = 'X-Wasabicross-Outcome'


class CallResult(NamedTuple):
    """What a caller got for one sending of a request.

    :param request_id: unique for each sending.
    :param key: idempotency key of an order, empty for a model call.
    :param adapter: adapter of a model call, empty for an order.
    :param tokens: tokens that were asked for.
    :param status: HTTP status, 0 when no head came.
    :param headers: header fields of the answer.
    :param body: what came of the body.
    :param is_whole: whether the body ended as HTTP says that it should.
    :param entry: name of the entry that it was sent to.
    """

    request_id: str
    key: str
    adapter: str
    tokens: int
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    entry: str = ''

    @property
    def outcome(self) -> str:
        """What the system says of the request, empty if nothing came."""
        return self.headers.get(OUTCOME, '')


class Callers:
    """Threads that send requests to random entries until they are stopped.

    :param entries: where requests are sent.
    :param seed: of the random choices.
    :param streams: threads that make model calls.
    :param orders: threads that send keyed orders, each key more than once.
    """

    def __init__(
        self, entries: list[Endpoint], seed: int, streams: int, orders: int
    ) -> None:
        self.got: list[CallResult] = []
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
        """Wait for the requests under way; return all that was got."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.got

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
        got = CallResult(name, '', adapter, tokens, 0, {}, b'', False)
        self.got.append(self._send(rng, got, CHAT_PATH, document))

    def _order(self, rng: random.Random, name: str) -> None:
        """Send one order from two callers at once, and again if refused."""
        order = {'order': name}
        second = threading.Thread(
            target=self._repeat, args=(rng.getrandbits(32), name, order)
        )
        second.start()
        self._repeat(rng.getrandbits(32), name, order)
        second.join()

    def _repeat(self, seed: int, key: str, order: dict[str, str]) -> None:
        rng = random.Random(seed)  # noqa: S311
        for attempt in range(4):
            request_id = f'{key}-{seed:x}-{attempt}'
            got = CallResult(request_id, key, '', 0, 0, {}, b'', False)
            got = self._send(rng, got, '/orders', order)
            self.got.append(got)
            if got.status == 200:
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def _send(
        self, rng: random.Random, got: CallResult, path: str, document: Any
    ) -> CallResult:
        return send(rng.choice(self._entries), got, path, document)


def send(
    entry: Endpoint, got: CallResult, path: str, document: Any
) -> CallResult:
    """Send a request and read its answer.

    :param entry: where it is sent.
    :param got: names the request.
    :param path: its path.
    :param document: its body.
    """
    got = got._replace(entry=entry.name)
    headers = {
        'Authorization': f'Bearer {TENANT_TOKEN}',
        'Content-Type': 'application/json',
        'X-Request-Id': got.request_id,
        **({'Idempotency-Key': got.key} if got.key else {}),
    }
    conn = HTTPConnection(HOST, entry.port, timeout=TIMEOUT_S)
    try:
        conn.request('POST', path, json.dumps(document), headers)
        resp = conn.getresponse()
        got = got._replace(status=resp.status, headers=dict(resp.headers))
        return got._replace(body=resp.read(), is_whole=True)
    except IncompleteRead as exc:
        return got._replace(body=exc.partial)
    except (OSError, HTTPException):
        return got
    finally:
        conn.close()
