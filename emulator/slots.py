"""Adapter slots of the stand-in engine and fetching of the weights."""

import asyncio
from typing import NamedTuple
from urllib.parse import unquote, urlsplit


class LoadRefused(Exception):
    """A load or eviction was refused or has failed.

    :param status: HTTP status of the answer.
    :param code: error code of the answer.
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class Load(NamedTuple):
    """An adapter version in a slot.

    :param produced_by: ``adapter@version`` of the fetched weights.
    :param is_ready: whether its weights are fetched and requests can use it.
    """

    produced_by: str
    is_ready: bool


class Slots:
    """The loads that the engine holds or is fetching.

    :param capacity: number of slots.
    :param weights_url: base URL of the weight store, empty for none.
    """

    def __init__(self, capacity: int, weights_url: str) -> None:
        self.capacity = capacity
        self._weights_url = weights_url
        self._loads: dict[str, Load] = {}
        self._fail_next = 0
        self._slow_next = 0
        self._delay_s: float = 0

    @property
    def ready(self) -> tuple[str, ...]:
        """Names of the loads that requests can use."""
        return tuple(
            name for name, load in self._loads.items() if load.is_ready
        )

    def get(self, name: str) -> Load | None:
        """Return a load that requests can use."""
        load = self._loads.get(name)
        return load if load is not None and load.is_ready else None

    async def load(self, name: str, path: str) -> None:
        """Fetch an adapter version into a free slot.

        :param name: name under which requests use it.
        :param path: ``adapter/version``, both percent-encoded.
        :raises LoadRefused: the name is taken, no slot is free, or the weights
            could not be fetched.
        """
        if name in self._loads:
            raise LoadRefused(400, 'already_loaded')
        if len(self._loads) >= self.capacity:
            raise LoadRefused(409, 'slots_full')
        adapter, _, version = path.partition('/')
        load = Load(f'{unquote(adapter)}@{unquote(version)}', is_ready=False)
        self._loads[name] = load
        try:
            await self._fetch(path)
        except BaseException:
            if self._loads.get(name) is load:
                self._loads.pop(name)
            raise
        if self._loads.get(name) is not load:
            raise LoadRefused(500, 'load_dropped')
        self._loads[name] = load._replace(is_ready=True)

    def evict(self, name: str) -> None:
        """Free the slot of a load."""
        if self._loads.pop(name, None) is None:
            raise LoadRefused(404, 'not_loaded')

    def clear(self) -> None:
        """Remove all loads, also those being fetched."""
        self._loads.clear()

    def fail_next(self, count: int) -> None:
        """Make the next ``count`` loads fail."""
        self._fail_next = count

    def slow_next(self, count: int, delay_s: float) -> None:
        """Make the next ``count`` loads take longer, by ``delay_s`` seconds."""
        self._slow_next = count
        self._delay_s = delay_s

    async def _fetch(self, path: str) -> None:
        failing = self._fail_next > 0
        self._fail_next -= failing
        if self._slow_next > 0:
            self._slow_next -= 1
            await asyncio.sleep(self._delay_s)
        if failing:
            raise LoadRefused(500, 'load_failed')
        if self._weights_url:
            await _fetch_weights(self._weights_url, path)


async def _fetch_weights(weights_url: str, path: str) -> None:
    url = urlsplit(weights_url)
    try:
        reader, writer = await asyncio.open_connection(url.hostname, url.port)
    except OSError as exc:
        raise LoadRefused(500, 'weights_unreachable') from exc
    try:
        head = f'GET /weights/{path} HTTP/1.1\r\nConnection: close\r\n\r\n'
        writer.write(head.encode())
        answer = await reader.read()
    except OSError as exc:
        raise LoadRefused(500, 'weights_lost') from exc
    finally:
        writer.close()
    if not answer.startswith(b'HTTP/1.1 200'):
        raise LoadRefused(500, 'load_failed')
