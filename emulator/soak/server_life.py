"""One life of a stand-in for a backend server, from a start to the next one."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

from emulator.faults import Faults
from emulator.soak.answer_parts import other_software
from emulator.soak.engine_adapters import EngineAdapters
from emulator.soak.server_log import log
from emulator.soak.stated_limits import StatedLimits

_MS_PER_S = 1000


class Identity(NamedTuple):
    """What a server reports about itself.

    :param service: name of its service.
    :param address: HOST:PORT at which gateways reach it; may be a proxy.
    :param store_port: port of the stand-in for the store.
    :param slots: maximum number of requests that run at the same time.
    :param adapter_slots: maximum number of adapters, 0 for a plain service.
    :param software: software version that it starts as, empty for none.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    store_port: int
    slots: int
    adapter_slots: int
    software: str


class ServerLife:
    """What a server is and has stated since its last start.

    :param server_id: its id.
    :param software: software version that runs, empty for none.
    :param adapters: the adapters that it holds.
    :param start_ms: when it started, milliseconds of the time of day.
    :param quiet_until_s: when its first heartbeat is due, monotonic seconds.
    """

    def __init__(
        self,
        server_id: str,
        software: str,
        adapters: EngineAdapters,
        start_ms: int,
        quiet_until_s: float = 0,
    ) -> None:
        self.server_id = server_id
        self.software = software
        self.adapters = adapters
        self.start_ms = start_ms
        self.quiet_until_s = quiet_until_s
        self.running = 0
        self.late_orders = 0
        self.pause_until_s: float = 0
        self.is_leaving = False
        #: What its entry says, and whether it has one.
        self.state = 'ready'
        self.is_listed = True
        self.limits = StatedLimits()
        log('started', software=software, id=server_id)

    def after_restart(self, quiet_s: float) -> ServerLife:
        """Return the next life, which runs the other software version.

        :param quiet_s: seconds until its first heartbeat.
        """
        return ServerLife(
            self.server_id,
            other_software(self.software),
            self.adapters.after_restart(),
            self._next_start_ms(),
            time.monotonic() + quiet_s,
        )

    def under_new_id(self, software: str) -> ServerLife:
        """Return the next life, which has an id of its own.

        :param software: software version that runs then, empty for none.
        """
        start_ms = self._next_start_ms()
        return ServerLife(
            f'{self.server_id.partition(".")[0]}.{start_ms}',
            software,
            self.adapters.after_restart(),
            start_ms,
        )

    def set_from(self, document: dict[str, Any], faults: Faults) -> None:
        """Put a fault in force that a restart ends, or one that it doesn't.

        :param document: the fault, as `emulator.soak.backend` lists them.
        :param faults: faults that end connections.
        """
        if document['kind'] == 'late_orders':
            self.late_orders = document['count']
        elif document['kind'] == 'want_pause':
            self.pause_until_s = time.monotonic() + document['for_s']
        elif document['kind'] in {'limit_requests', 'be_brittle'}:
            self.limits.set_from(document, time.monotonic())
        elif document['kind'] == 'leave':
            self.is_leaving = True
        else:
            faults.set_from(document)

    def _next_start_ms(self) -> int:
        now_ms = int(time.time() * _MS_PER_S)
        return max(now_ms, self.start_ms + 1)
