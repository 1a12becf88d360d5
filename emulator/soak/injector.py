"""Injects the faults of a schedule into a deployment."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import urllib3

from emulator.soak.answer_parts import DEADLY
from emulator.soak.deployment import (
    ADAPTERS,
    Gateway,
    Server,
    SoakDeployment,
)
from emulator.soak.engine_adapters import MODEL
from emulator.soak.injected import GatewayStop, InjectedFault, PublishedVersion
from emulator.soak.notices import (
    LEAVING_KINDS,
    NOTICES,
    REFUSALS,
    REFUSING_KINDS,
    notice_document,
    refusal_document,
)
from emulator.soak.renewals import RENEWALS, Renewals
from emulator.soak.schedule import Fault

_MAX_STORE_DELAY_S = 0.4
_MAX_COPY_AGE_S = 8
_MAX_DELAY_MS = 300
_MAX_EXTRA_COUNT = 6
_BUSY_TURN_S = 0.1

#: Bytes after which a connection is reset; a few events of a stream.
_RESET_AFTER_BYTES = 700
#: Kinds that only engines have.
ENGINE_KINDS = RENEWALS | {'orders_late'}

_DEATH_POINTS = ('half_request', 'after_request', 'after_headers', 'mid_body')
_ADAPTERS_PER_CHANGE = 3

#: Interval at which crashed servers are looked for, and how long they are down.
_CRASH_CHECK_S = 0.02
_RESTART_S = 1.0

#: Interval at which servers are told again that they refuse requests.
_REFUSAL_CHECK_S = 0.3


class Injector:
    """Injects the faults of one run and records them.

    :param deployment: the started deployment.
    """

    def __init__(self, deployment: SoakDeployment) -> None:
        self.injected: list[InjectedFault] = []
        self.stops: list[GatewayStop] = []
        self.published_versions: list[PublishedVersion] = []
        #: Gateways that exited without a fault that ends them.
        self.unexpected_exits: list[str] = []
        self._deployment = deployment
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._renewals = Renewals(deployment, self._locks, self._tell)
        self._versions = dict.fromkeys(ADAPTERS, 1)

    async def play(self, faults: Sequence[Fault]) -> None:
        """Inject the faults of a schedule; return when all have ended.

        :param faults: the schedule.
        :raises subprocess.TimeoutExpired: a gateway didn't end on SIGTERM.
        :raises urllib3.exceptions.HTTPError: a stand-in can't be reached.
        """
        started_s = time.monotonic()
        restarts = asyncio.ensure_future(self._restart_crashed_servers())
        await asyncio.gather(
            *(self._inject_at(started_s, each) for each in faults)
        )
        restarts.cancel()

    def record_exits(self) -> None:
        """Record and restart the gateways that exited by themselves."""
        for gateway in self._deployment.gateways:
            self._restart_exited(gateway.name)

    def _restart_exited(self, name: str) -> None:
        """Restart a gateway if it has exited by itself, and record that."""
        if self._deployment.runner.exit_code(name) is not None:
            self.unexpected_exits.append(name)
            self._deployment.runner.start_again(name)

    async def _inject_at(self, started_s: float, fault: Fault) -> None:
        await asyncio.sleep(started_s + fault.at_s - time.monotonic())
        kinds: dict[str, Callable[[Fault], Awaitable[str]]] = {
            'gateway': self._fault_gateway,
            'all': self._kill_all_gateways,
            'store': self._fault_store,
            'server': self._fault_server,
            'orders': self._fault_server,
            'version': self._publish_versions,
            'configuration': self._write_configuration,
            'deadly': self._send_deadly,
            'engines': self._fault_engines,
        }
        from_s = time.monotonic()
        target = await kinds[fault.kind.partition('_')[0]](fault)
        self.injected.append(
            InjectedFault(fault.kind, target, from_s, time.monotonic())
        )

    async def _fault_gateway(self, fault: Fault) -> str:
        gateway = self._pick_gateway(fault)
        name = gateway.name
        async with self._locks[name]:
            self._restart_exited(name)
            if fault.kind == 'gateway_kill':
                await self._kill(name, fault.for_s)
            elif fault.kind in {'gateway_pause', 'gateway_busy'}:
                await self._pause_gateway(name, fault)
            elif fault.kind == 'gateway_stop':
                await self._stop(gateway, fault.for_s)
            elif await _accepts_callers(gateway):
                os.kill(self._deployment.runner.pid(name), signal.SIGHUP)
        return name

    async def _kill_all_gateways(self, fault: Fault) -> str:
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
        accepted_callers = await _accepts_callers(gateway)
        started_s = time.monotonic()
        code = await asyncio.to_thread(runner.stop, gateway.name)
        took_s = time.monotonic() - started_s
        self.stops.append(
            GatewayStop(gateway.name, code, took_s, accepted_callers)
        )
        await asyncio.sleep(for_s)
        runner.start_again(gateway.name)

    async def _pause(self, name: str, for_s: float) -> None:
        runner = self._deployment.runner
        await asyncio.to_thread(runner.pause, name)
        await asyncio.sleep(for_s)
        runner.resume(name)

    async def _pause_gateway(self, name: str, fault: Fault) -> None:
        """Pause a gateway once, or leave it a share of its processor's time."""
        if fault.kind == 'gateway_pause':
            await self._pause(name, fault.for_s)
            return
        until_s = time.monotonic() + fault.for_s
        while time.monotonic() < until_s:
            await self._pause(name, fault.strength * _BUSY_TURN_S)
            await asyncio.sleep((1 - fault.strength) * _BUSY_TURN_S)

    async def _fault_store(self, fault: Fault) -> str:
        set_fault = self._deployment.fault_store
        if fault.kind == 'store_down':
            await self._for_duration(fault, lambda on: set_fault('down', on))
        elif fault.kind == 'store_slow':
            slow_s = fault.strength * _MAX_STORE_DELAY_S
            await self._for_duration(
                fault, lambda on: set_fault('slow_s', on * slow_s)
            )
        elif fault.kind == 'store_lose':
            await asyncio.to_thread(set_fault, 'lose', _request_count(fault))
        elif fault.kind in {'store_forget', 'store_restore'}:
            age_s = fault.strength * _MAX_COPY_AGE_S
            kind = fault.kind.removeprefix('store_')
            await asyncio.to_thread(set_fault, kind, age_s)
        else:
            gateway = self._pick_gateway(fault)
            faults: dict[str, dict[str, Any]] = {
                'store_cut': {'cut': True},
                'store_silent': {'swallow': ['down']},
            }
            await self._fault_link(
                gateway.store_link_port, fault, faults[fault.kind]
            )
            return gateway.name
        return ''

    async def _fault_server(self, fault: Fault) -> str:
        server = self._pick_server(fault)
        delay_ms = fault.strength * _MAX_DELAY_MS
        links: dict[str, dict[str, Any]] = {
            'server_delay': {'delay_ms': delay_ms},
            'server_silent_up': {'swallow': ['up']},
            'server_silent_down': {'swallow': ['down']},
            'server_break': {'reset_after': {'down': _RESET_AFTER_BYTES}},
        }
        faults = links.get(fault.kind)
        if faults is not None:
            await self._fault_link(server.link_port, fault, faults)
        elif fault.kind == 'server_reset':
            reset = self._deployment.proxy.reset
            await asyncio.to_thread(reset, server.link_port)
        else:
            await self._fault_locked(server, fault)
        return server.name

    async def _fault_locked(self, server: Server, fault: Fault) -> None:
        if fault.kind in REFUSING_KINDS:
            await self._refuse_requests(server, fault)
            return
        async with self._locks[server.name]:
            await self._fault_process(server, fault)
        if fault.kind in REFUSALS:
            await asyncio.sleep(fault.for_s)

    async def _refuse_requests(self, server: Server, fault: Fault) -> None:
        """Make a server refuse requests, also after it has started again."""
        until_s = time.monotonic() + fault.for_s
        left_s = fault.for_s
        while left_s > 0:
            async with self._locks[server.name]:
                rest = fault._replace(for_s=left_s)
                await asyncio.to_thread(self._set_server_fault, server, rest)
            await asyncio.sleep(min(left_s, _REFUSAL_CHECK_S))
            left_s = until_s - time.monotonic()

    async def _fault_engines(self, fault: Fault) -> str:
        if fault.kind == 'engines_release':
            return await self._renewals.release_all(fault)
        return await self._renewals.renew_all(fault)

    async def _fault_process(self, server: Server, fault: Fault) -> None:
        """Put a fault in force that a server itself has."""
        if fault.kind in RENEWALS:
            await self._renewals.renew(server, fault)
        elif fault.kind in NOTICES:
            await self._give_notice(server, fault)
        elif fault.kind == 'server_pause':
            await self._pause(server.name, fault.for_s)
        elif fault.kind in {'server_kill', 'server_restart'}:
            await self._kill(server.name, fault.for_s)
        else:
            await asyncio.to_thread(self._set_server_fault, server, fault)

    async def _give_notice(self, server: Server, fault: Fault) -> None:
        """Make a server state something; restart it if it says that it leaves."""
        document = notice_document(fault)
        await asyncio.to_thread(lambda: self._tell(server, **document))
        await asyncio.sleep(fault.for_s)
        if fault.kind in LEAVING_KINDS:
            await self._kill(server.name, 0)

    def _set_server_fault(self, server: Server, fault: Fault) -> None:
        if fault.kind in REFUSALS:
            self._tell(server, **refusal_document(fault))
            return
        if fault.kind == 'orders_late':
            self._tell(server, kind='late_orders', count=_request_count(fault))
            return
        point = _DEATH_POINTS[fault.target % len(_DEATH_POINTS)]
        self._tell(server, kind='die', point=point, count=_request_count(fault))

    def _tell(self, server: Server, **document: Any) -> None:
        """Put a fault in force at a server, unless it has crashed."""
        try:
            self._deployment.fault_server(server, **document)
        except urllib3.exceptions.HTTPError:
            if self._deployment.runner.exit_code(server.name) is None:
                raise

    async def _publish_versions(self, fault: Fault) -> str:
        for step in range(_ADAPTERS_PER_CHANGE):
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

    async def _write_configuration(self, fault: Fault) -> str:
        await asyncio.to_thread(self._deployment.configure)
        return ''

    async def _send_deadly(self, fault: Fault) -> str:
        """Have callers send a request that crashes servers."""
        deadly = f'{DEADLY}{fault.target}'
        self._deployment.deadly.append(deadly)
        await asyncio.sleep(fault.for_s)
        self._deployment.deadly.remove(deadly)
        await asyncio.sleep(2 * _RESTART_S)
        return deadly

    async def _restart_crashed_servers(self) -> None:
        """Restart servers that have ended by themselves, until cancelled."""
        while True:
            await asyncio.gather(
                *(
                    self._restart_crashed(each)
                    for each in self._deployment.servers
                )
            )
            await asyncio.sleep(_CRASH_CHECK_S)

    async def _restart_crashed(self, server: Server) -> None:
        runner, proxy = self._deployment.runner, self._deployment.proxy
        lock = self._locks[server.name]
        if lock.locked() or runner.exit_code(server.name) is None:
            return
        async with lock:
            await asyncio.to_thread(
                lambda: proxy.fault(server.link_port, cut=True)
            )
            await asyncio.sleep(_RESTART_S)
            runner.start_again(server.name)
            await asyncio.to_thread(proxy.heal, server.link_port)

    async def _for_duration(
        self, fault: Fault, switch: Callable[[bool], None]
    ) -> None:
        await asyncio.to_thread(switch, True)
        await asyncio.sleep(fault.for_s)
        await asyncio.to_thread(switch, False)

    async def _fault_link(
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
        if fault.kind in ENGINE_KINDS:
            servers = [each for each in servers if each.service == 'llm']
        return servers[fault.target % len(servers)]


async def _accepts_callers(gateway: Gateway) -> bool:
    """Tell whether a gateway accepts connections of callers."""
    try:
        _, writer = await asyncio.open_connection(
            gateway.host, gateway.caller_port
        )
    except OSError:
        return False
    writer.close()
    return True


def _request_count(fault: Fault) -> int:
    return 1 + int(fault.strength * _MAX_EXTRA_COUNT)
