"""Carries out the faults of a schedule on a deployment."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from emulator.soak.deployment import (
    ADAPTERS,
    Gateway,
    Server,
    SoakDeployment,
)
from emulator.soak.engine_adapters import MODEL
from emulator.soak.schedule import NOTICE_KINDS, Fault

_MAX_SLOW_S = 0.4
_MAX_DELAY_MS = 300
_MAX_COUNT = 6

#: Bytes after which a connection breaks: some events of a stream.
_BREAK_BYTES = 700
_POINTS = ('half_request', 'after_request', 'after_headers', 'mid_body')
_CHANGED_ADAPTERS = 3


class InjectedFault(NamedTuple):
    """A fault as it was carried out.

    :param kind: one of `KINDS` of the schedule.
    :param target: process that it hit, empty for the store and the operator.
    :param from_s: when it began, monotonic seconds.
    :param until_s: when it was healed, monotonic seconds.
    """

    kind: str
    target: str
    from_s: float
    until_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Tell whether it lasted at any time between two moments.

        :param from_s: the first, monotonic seconds.
        :param until_s: the second.
        """
        return self.from_s <= until_s and self.until_s >= from_s


class GatewayStop(NamedTuple):
    """How a gateway ended on SIGTERM.

    :param exit_code: negative where a signal ended it.
    :param took_s: seconds from SIGTERM to its end.
    :param was_up: whether it took callers by then; before that a process has
        no handler of the signal yet.
    """

    gateway: str
    exit_code: int
    took_s: float
    was_up: bool


class PublishedVersion(NamedTuple):
    """A version of an adapter that the operator has named.

    :param at_s: when it was acknowledged, monotonic seconds.
    """

    adapter: str
    version: int
    at_s: float


class Injector:
    """The faults of one run; notes what was done.

    :param deployment: the deployment, started.
    """

    def __init__(self, deployment: SoakDeployment) -> None:
        self.injected: list[InjectedFault] = []
        self.stops: list[GatewayStop] = []
        self.published_versions: list[PublishedVersion] = []
        #: Gateways that have ended though nobody ended them.
        self.unexpected_exits: list[str] = []
        self._deployment = deployment
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._versions = dict.fromkeys(ADAPTERS, 1)

    async def play(self, faults: Sequence[Fault]) -> None:
        """Carry out a schedule; return once all faults are healed.

        :param faults: the schedule.
        :raises subprocess.TimeoutExpired: a gateway didn't end on SIGTERM.
        :raises urllib3.exceptions.HTTPError: a stand-in can't be reached.
        """
        started_s = time.monotonic()
        await asyncio.gather(*(self._at(started_s, each) for each in faults))

    def note_ended(self) -> None:
        """Note the gateways that have ended by themselves."""
        for gateway in self._deployment.gateways:
            self._revive(gateway.name)

    def _revive(self, name: str) -> None:
        """Start a gateway again that has ended by itself, and note it."""
        if self._deployment.runner.exit_code(name) is not None:
            self.unexpected_exits.append(name)
            self._deployment.runner.start_again(name)

    async def _at(self, started_s: float, fault: Fault) -> None:
        await asyncio.sleep(started_s + fault.at_s - time.monotonic())
        kinds: dict[str, Callable[[Fault], Awaitable[str]]] = {
            'gateway': self._gateway,
            'all': self._kill_all,
            'store': self._store,
            'server': self._server,
            'orders': self._server,
            'version': self._version,
            'configuration': self._configuration,
        }
        from_s = time.monotonic()
        target = await kinds[fault.kind.partition('_')[0]](fault)
        self.injected.append(
            InjectedFault(fault.kind, target, from_s, time.monotonic())
        )

    async def _gateway(self, fault: Fault) -> str:
        gateway = self._pick_gateway(fault)
        name = gateway.name
        async with self._locks[name]:
            self._revive(name)
            if fault.kind == 'gateway_kill':
                await self._kill(name, fault.for_s)
            elif fault.kind == 'gateway_pause':
                await self._pause(name, fault.for_s)
            elif fault.kind == 'gateway_stop':
                await self._stop(gateway, fault.for_s)
            elif await _is_up(gateway):
                os.kill(self._deployment.runner.pid(name), signal.SIGHUP)
        return name

    async def _kill_all(self, fault: Fault) -> str:
        names = [each.name for each in self._deployment.gateways]
        await asyncio.gather(
            *(self._locked_kill(name, fault) for name in names)
        )
        return ''

    async def _locked_kill(self, name: str, fault: Fault) -> None:
        async with self._locks[name]:
            await self._kill(name, fault.for_s)

    async def _kill(self, name: str, for_s: float) -> None:
        runner = self._deployment.runner
        await asyncio.to_thread(runner.kill, name)
        await asyncio.sleep(for_s)
        runner.start_again(name)

    async def _stop(self, gateway: Gateway, for_s: float) -> None:
        runner = self._deployment.runner
        was_up = await _is_up(gateway)
        began_s = time.monotonic()
        code = await asyncio.to_thread(runner.stop, gateway.name)
        took_s = time.monotonic() - began_s
        self.stops.append(GatewayStop(gateway.name, code, took_s, was_up))
        await asyncio.sleep(for_s)
        runner.start_again(gateway.name)

    async def _pause(self, name: str, for_s: float) -> None:
        runner = self._deployment.runner
        await asyncio.to_thread(runner.pause, name)
        await asyncio.sleep(for_s)
        runner.resume(name)

    async def _store(self, fault: Fault) -> str:
        fail = self._deployment.fault_store
        if fault.kind == 'store_down':
            await self._while(fault, lambda on: fail('down', on))
        elif fault.kind == 'store_slow':
            slow_s = fault.strength * _MAX_SLOW_S
            await self._while(fault, lambda on: fail('slow_s', on * slow_s))
        elif fault.kind == 'store_lose':
            await asyncio.to_thread(fail, 'lose', _count(fault))
        elif fault.kind == 'store_forget':
            await asyncio.to_thread(fail, 'forget')
        else:
            gateway = self._pick_gateway(fault)
            faults: dict[str, dict[str, Any]] = {
                'store_cut': {'cut': True},
                'store_silent': {'swallow': ['down']},
            }
            await self._link(gateway.store_link, fault, faults[fault.kind])
            return gateway.name
        return ''

    async def _server(self, fault: Fault) -> str:
        server = self._pick_server(fault)
        delay_ms = fault.strength * _MAX_DELAY_MS
        links: dict[str, dict[str, Any]] = {
            'server_delay': {'delay_ms': delay_ms},
            'server_silent_up': {'swallow': ['up']},
            'server_silent_down': {'swallow': ['down']},
            'server_break': {'reset_after': {'down': _BREAK_BYTES}},
        }
        faults = links.get(fault.kind)
        if faults is not None:
            await self._link(server.link, fault, faults)
        elif fault.kind == 'server_reset':
            reset = self._deployment.proxy.reset
            await asyncio.to_thread(reset, server.link)
        elif fault.kind in {'server_kill', 'server_pause'}:
            async with self._locks[server.name]:
                way = self._kill if fault.kind == 'server_kill' else self._pause
                await way(server.name, fault.for_s)
        elif fault.kind in NOTICE_KINDS:
            async with self._locks[server.name]:
                await self._give_notice(server, fault)
        else:
            async with self._locks[server.name]:
                await asyncio.to_thread(self._fail_server, server, fault)
        return server.name

    async def _give_notice(self, server: Server, fault: Fault) -> None:
        """Have a server want a pause, or leave and be started again."""
        fail = self._deployment.fault_server
        if fault.kind == 'server_want_pause':
            document = {'kind': 'want_pause', 'for_s': fault.for_s}
        else:
            document = {'kind': 'leave'}
        await asyncio.to_thread(lambda: fail(server, **document))
        await asyncio.sleep(fault.for_s)
        if fault.kind == 'server_leave':
            await self._kill(server.name, 0)

    def _fail_server(self, server: Server, fault: Fault) -> None:
        fail = self._deployment.fault_server
        if fault.kind == 'orders_late':
            fail(server, kind='late_orders', count=_count(fault))
            return
        point = _POINTS[fault.target % len(_POINTS)]
        fail(server, kind='die', point=point, count=_count(fault))

    async def _version(self, fault: Fault) -> str:
        for step in range(_CHANGED_ADAPTERS):
            adapter = ADAPTERS[(fault.target + step) % len(ADAPTERS)]
            version = self._versions[adapter] + 1
            self._versions[adapter] = version
            key = f'op/version/{MODEL}.{adapter}'
            document = {'model': MODEL, 'adapter': adapter, 'version': version}
            put = self._deployment.put
            at_s = await asyncio.to_thread(put, key, document)  # noqa: WPS476
            self.published_versions.append(
                PublishedVersion(adapter, version, at_s)
            )
        return ''

    async def _configuration(self, fault: Fault) -> str:
        await asyncio.to_thread(self._deployment.configure)
        return ''

    async def _while(self, fault: Fault, turn: Callable[[bool], None]) -> None:
        await asyncio.to_thread(turn, True)
        await asyncio.sleep(fault.for_s)
        await asyncio.to_thread(turn, False)

    async def _link(
        self, link: int, fault: Fault, faults: dict[str, Any]
    ) -> None:
        proxy = self._deployment.proxy
        async with self._locks[str(link)]:
            await asyncio.to_thread(lambda: proxy.fault(link, **faults))
            await asyncio.sleep(fault.for_s)
            await asyncio.to_thread(proxy.heal, link)

    def _pick_gateway(self, fault: Fault) -> Gateway:
        gateways = self._deployment.gateways
        return gateways[fault.target % len(gateways)]

    def _pick_server(self, fault: Fault) -> Server:
        servers = self._deployment.servers
        if fault.kind == 'orders_late':
            servers = [each for each in servers if each.service == 'llm']
        return servers[fault.target % len(servers)]


async def _is_up(gateway: Gateway) -> bool:
    """Tell whether a gateway takes callers."""
    try:
        _, writer = await asyncio.open_connection(
            gateway.host, gateway.caller_port
        )
    except OSError:
        return False
    writer.close()
    return True


def _count(fault: Fault) -> int:
    return 1 + int(fault.strength * _MAX_COUNT)
