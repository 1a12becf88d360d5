"""Where the calls of the path's benchmark go: to entries or to engines."""

import asyncio
import itertools
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import urllib3

from emulator.arrivals import Arrival
from emulator.deployment import TENANT_TOKEN, Deployment
from emulator.load import Load
from emulator.path_figures import is_whole
from emulator.rolling import CHAT_PATH
from emulator.stream_client import StreamCall
from emulator.waiting import wait_until

WARM_TIMEOUT_S = 60


class Target(NamedTuple):
    """Where calls go, by kind.

    :param kind: `direct` or `entry`.
    :param calls: makes the call of an arrival.
    """

    kind: str
    calls: Callable[[Arrival], StreamCall]


class Targets:
    """Makes calls to the entries and to the engines of a deployment.

    :param deployment: already started, its bundle in force.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def warm(self, adapters: int) -> None:
        """Call each adapter until it is loaded.

        :param adapters: how many there are.
        """
        call = self.entry().calls
        for number in range(adapters):
            wait_until(
                partial(_answers, call, Arrival(0, number, 1)),
                WARM_TIMEOUT_S,
                f'adapter {number}',
            )

    def entry(self) -> Target:
        """Make calls to the entries in turn."""
        urls = itertools.cycle(place.url for place in self._deployment.entries)
        return Target(
            'entry',
            lambda arrival: StreamCall(
                next(urls),
                CHAT_PATH,
                adapter_name(arrival.number),
                arrival.tokens,
                TENANT_TOKEN,
            ),
        )

    def direct(self) -> Target:
        """Make calls to the engines in turn, each to a load that it holds."""
        turns = itertools.cycle(self._loads())
        return Target(
            'direct',
            lambda arrival: next(turns)._replace(tokens=arrival.tokens),
        )

    def _loads(self) -> list[StreamCall]:
        """Return calls to one load of each engine, so that all are used."""
        loads: list[StreamCall] = []
        for engine in self._deployment.engines:
            models = urllib3.request('GET', f'{engine.url}/v1/models').json()
            names = [each['id'] for each in models['data'] if each['parent']]
            loads.extend(
                StreamCall(engine.url, CHAT_PATH, name, 1) for name in names[:1]
            )
        return loads


def adapter_name(number: int) -> str:
    """Name an adapter of the bench."""
    return f'adapter-{number}'


def _answers(calls: Callable[[Arrival], StreamCall], arrival: Arrival) -> bool:
    load = Load(calls, 1)
    return is_whole(asyncio.run(load.run([arrival]))[0])
