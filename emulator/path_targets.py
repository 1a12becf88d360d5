"""Targets of the path benchmark's calls: entries or engines."""

import asyncio
import itertools
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import urllib3

from emulator.arrivals import Arrival
from emulator.deployment import TENANT_TOKEN, Deployment
from emulator.load import Load
from emulator.path_figures import was_answered
from emulator.rolling import CHAT_PATH
from emulator.stream_client import StreamCall
from emulator.waiting import wait_until

LOAD_TIMEOUT_S = 60


class Target(NamedTuple):
    """A target of calls.

    :param kind: `direct` or `entry`.
    :param calls: returns the call of an arrival.
    """

    kind: str
    calls: Callable[[Arrival], StreamCall]


class Targets:
    """Targets for calls to the entries and the engines of a deployment.

    :param deployment: a started deployment with a bundle in force.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def load_adapters(self, adapters: int) -> None:
        """Call each adapter until it is loaded.

        :param adapters: number of adapters.
        """
        call = self.entry().calls
        for number in range(adapters):
            wait_until(
                partial(_is_answered, call, Arrival(0, number, 1)),
                LOAD_TIMEOUT_S,
                f'adapter {number}',
            )

    def entry(self) -> Target:
        """Return the target that calls the entries in turn."""
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
        """Return the target that calls the engines in turn, each on a load it has."""
        engine_calls = itertools.cycle(self._loads())
        return Target(
            'direct',
            lambda arrival: next(engine_calls)._replace(tokens=arrival.tokens),
        )

    def _loads(self) -> list[StreamCall]:
        """Return a call to one load of each engine, so that all are used."""
        loads: list[StreamCall] = []
        for engine in self._deployment.engines:
            models = urllib3.request('GET', f'{engine.url}/v1/models').json()
            names = [each['id'] for each in models['data'] if each['parent']]
            loads.extend(
                StreamCall(engine.url, CHAT_PATH, name, 1) for name in names[:1]
            )
        return loads


def adapter_name(number: int) -> str:
    """Return the name of an adapter of the benchmark."""
    return f'adapter-{number}'


def _is_answered(
    calls: Callable[[Arrival], StreamCall], arrival: Arrival
) -> bool:
    load = Load(calls, 1)
    return was_answered(asyncio.run(load.run([arrival]))[0])
