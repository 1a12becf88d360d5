"""Load of the engines, by the last reports that an entry received."""

from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.messaging.messages import ServerInfo, ServerLoad
from wasabicross.servers.routing import Holder

DEFAULT_BATCH_SIZE = 16
MAX_REPORT_AGE_S = 5.0


class _Report(NamedTuple):
    load: ServerLoad
    measured_s: float


_NO_REPORT = _Report(ServerLoad('', 0, 0, 0, 0, 0), float('-inf'))


class EngineReports:
    """Stores the last load report of each engine."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def add(self, loads: Iterable[ServerLoad], now_s: float) -> None:
        """Store new reports.

        :param loads: load reports, one for each engine.
        :param now_s: present time, monotonic seconds.
        """
        for load in loads:
            self._reports[load.server_id] = _Report(load, now_s - load.age_s)

    def holder(
        self,
        server: ServerInfo,
        load_name: str,
        outstanding: int,
        now_s: float,
    ) -> Holder:
        """Describe an engine that holds a load, for the routing policy.

        :param server: the engine.
        :param load_name: name of the load that it holds.
        :param outstanding: requests of this process that are in progress
            there.
        :param now_s: present time, monotonic seconds.
        """
        report = self._reports.get(server.server_id, _NO_REPORT)
        return Holder(
            server.server_id,
            server.data_centre,
            load_name,
            outstanding,
            report.load.running,
            report.load.waiting,
            report.load.batch_size or DEFAULT_BATCH_SIZE,
            now_s - report.measured_s,
        )


def own_slots(engine: Holder) -> float:
    """Estimate how many places in an engine's batch this process may use.

    The batch is divided in proportion to the requests that each process runs
    on the engine. One more request than this process runs is counted, so that
    its share can grow.

    :param engine: the engine.
    """
    reported = engine.reported_running + engine.reported_waiting
    if engine.report_age_s > MAX_REPORT_AGE_S:
        reported = 0
    total = max(reported, engine.outstanding)
    return engine.batch_size * (engine.outstanding + 1) / (total + 1)
