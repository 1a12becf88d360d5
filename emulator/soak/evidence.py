"""What callers and back ends saw of a soak run."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Sequence
from typing import Any, NamedTuple

from emulator.soak.callers import CallResult
from emulator.soak.injector import GatewayStop, InjectedFault, PublishedVersion


class Run(NamedTuple):
    """A request that a server began to run.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request.
    :param adapter: its adapter, empty for none.
    :param version: version of the adapter that the server held, 0 for none.
    :param after: last event that the caller had of it, empty for none.
    """

    at_s: float
    server: str
    request: str
    adapter: str
    version: int
    after: str


class Arrival(NamedTuple):
    """A request that reached a server, run or not.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request.
    """

    at_s: float
    server: str
    request: str


class Notice(NamedTuple):
    """What a server said of further requests in an answer.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request that it answered.
    :param for_s: seconds for which it wants none, 0 where it leaves.
    """

    at_s: float
    server: str
    request: str
    for_s: float


class ServerStart(NamedTuple):
    """The start of a server, which makes what it said before void.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    """

    at_s: float
    server: str


class OrderReceived(NamedTuple):
    """An order as an engine got it.

    :param at_s: when it was carried out, monotonic seconds.
    :param server: the engine.
    :param owner: the gateway that sent it.
    :param term: number that rises with each change of the owner.
    :param is_late: whether it was carried out long after it came.
    """

    at_s: float
    server: str
    owner: str
    term: int
    is_late: bool


class Evidence(NamedTuple):
    """All that is judged of a run.

    :param unexpected_exits: gateways that have ended though nobody ended them.
    :param overfilled_engines: engines that were ordered to hold too much.
    :param faults_end_s: when the last fault was healed, monotonic seconds.
    """

    results: list[CallResult]
    runs: list[Run]
    arrivals: list[Arrival]
    orders: list[OrderReceived]
    overfilled_engines: list[str]
    injected: list[InjectedFault]
    stops: list[GatewayStop]
    unexpected_exits: list[str]
    published_versions: list[PublishedVersion]
    faults_end_s: float
    notices: Sequence[Notice] = ()
    server_starts: Sequence[ServerStart] = ()


class ServerLog(NamedTuple):
    """What the servers of a run have printed."""

    runs: list[Run]
    arrivals: list[Arrival]
    orders: list[OrderReceived]
    overfilled_engines: list[str]
    notices: list[Notice]
    server_starts: list[ServerStart]


def read_logs(paths: dict[str, pathlib.Path]) -> ServerLog:
    """Read what servers have printed.

    :param paths: their logs by name.
    :raises OSError: a log can't be read.
    """
    log = ServerLog([], [], [], [], [], [])
    for server, path in paths.items():
        for line in path.read_text().splitlines():
            if line.startswith('{'):
                _take(log, server, json.loads(line))
    for told in (log.runs, log.arrivals, log.orders, log.notices):
        told.sort()
    return log


def _take(log: ServerLog, server: str, line: dict[str, Any]) -> None:
    if line['event'] == 'run':
        run = Run(
            line['at_s'],
            server,
            line['request'],
            line['adapter'],
            line['version'],
            line['after'],
        )
        log.runs.append(run)
    elif line['event'] == 'arrival':
        log.arrivals.append(Arrival(line['at_s'], server, line['request']))
    elif line['event'] == 'order':
        order = OrderReceived(
            line['at_s'], server, line['owner'], line['term'], line['late']
        )
        log.orders.append(order)
    elif line['event'] == 'slots_passed':
        log.overfilled_engines.append(server)
    else:
        _take_notice(log, server, line)


def _take_notice(log: ServerLog, server: str, line: dict[str, Any]) -> None:
    if line['event'] == 'started':
        log.server_starts.append(ServerStart(line['at_s'], server))
    elif line['event'] in {'pause_wanted', 'leaving_said'}:
        for_s = line.get('for_s', 0)
        notice = Notice(line['at_s'], server, line['request'], for_s)
        log.notices.append(notice)
