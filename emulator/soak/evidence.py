"""What callers and back ends recorded of a soak run."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Sequence
from typing import Any, NamedTuple

from emulator.soak.callers import CallResult
from emulator.soak.injected import GatewayStop, InjectedFault, PublishedVersion


class Run(NamedTuple):
    """A request that a server started to run.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request.
    :param adapter: its adapter, empty without one.
    :param version: version of the adapter that the server held, 0 for none.
    :param last_event_id: last event that had been received before this run
        resumed the request, empty where it begins at the first event.
    """

    at_s: float
    server: str
    request: str
    adapter: str
    version: int
    last_event_id: str


class Arrival(NamedTuple):
    """A request that arrived at a server, whether or not it ran.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request.
    """

    at_s: float
    server: str
    request: str


class Notice(NamedTuple):
    """An answer in which a server asks for a pause or says that it leaves.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request that it answered.
    :param for_s: length of the pause in seconds, 0 if the server leaves.
    """

    at_s: float
    server: str
    request: str
    for_s: float


class StatedLimit(NamedTuple):
    """An answer in which a server states how many requests a second it takes.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request that it answered.
    :param per_s: requests a second from all gateways.
    """

    at_s: float
    server: str
    request: str
    per_s: float


class BrittleEvent(NamedTuple):
    """A server that becomes brittle, or falls over while it is.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param for_s: how long it is brittle, 0 where it falls over.
    """

    at_s: float
    server: str
    for_s: float


class ServerEnd(NamedTuple):
    """A server whose process has ended under a request.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the request.
    :param deadly: the part of its path that is the same for all its copies.
    """

    at_s: float
    server: str
    request: str
    deadly: str


class Copy(NamedTuple):
    """A second copy of a refusal, or one that met its own request.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param request: id of the refused request.
    :param has_met: whether this request was the next one on the connection.
    """

    at_s: float
    server: str
    request: str
    has_met: bool


class ServerStart(NamedTuple):
    """The start of a server, which ends the effect of its earlier notices.

    :param at_s: when, monotonic seconds.
    :param server: its name.
    :param server_id: the id under which it starts.
    """

    at_s: float
    server: str
    server_id: str = ''


class OrderReceived(NamedTuple):
    """An order that an engine received.

    :param at_s: when it was executed, monotonic seconds.
    :param server: the engine.
    :param owner: the gateway that sent it.
    :param term: ownership term, which rises with each change of the owner.
    :param is_late: whether it was executed seconds after it was received.
    :param server_id: the id that the engine has then.
    """

    at_s: float
    server: str
    owner: str
    term: int
    is_late: bool
    server_id: str = ''


class Evidence(NamedTuple):
    """All data of a run that the checks use.

    :param unexpected_exits: gateways that exited without a fault that ends
        them.
    :param overfilled_engines: engines that were ordered to hold more adapters
        than they have slots.
    :param faults_end_s: when the last fault ended, monotonic seconds.
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
    limits: Sequence[StatedLimit] = ()
    brittle: Sequence[BrittleEvent] = ()
    ends: Sequence[ServerEnd] = ()
    copies: Sequence[Copy] = ()


class ServerLog(NamedTuple):
    """The events that the servers of a run have printed."""

    runs: list[Run]
    arrivals: list[Arrival]
    orders: list[OrderReceived]
    overfilled_engines: list[str]
    notices: list[Notice]
    server_starts: list[ServerStart]
    limits: list[StatedLimit]
    brittle: list[BrittleEvent]
    ends: list[ServerEnd]
    copies: list[Copy]


def read_logs(paths: dict[str, pathlib.Path]) -> ServerLog:
    """Return the events that servers have printed.

    :param paths: paths of their logs, by server name.
    :raises OSError: a log can't be read.
    """
    log = ServerLog([], [], [], [], [], [], [], [], [], [])
    for server, path in paths.items():
        for line in path.read_text().splitlines():
            if line.startswith('{'):
                _add_line(log, server, json.loads(line))
    for entries in (
        log.runs,
        log.arrivals,
        log.orders,
        log.notices,
        log.ends,
    ):
        entries.sort()
    return log


def _add_line(log: ServerLog, server: str, line: dict[str, Any]) -> None:
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
            line['at_s'],
            server,
            line['owner'],
            line['term'],
            line['late'],
            # The logs are read one after the other, each from its first line.
            log.server_starts[-1].server_id,
        )
        log.orders.append(order)
    else:
        _add_state(log, server, line)


def _add_state(log: ServerLog, server: str, line: dict[str, Any]) -> None:
    if line['event'] == 'slots_passed':
        log.overfilled_engines.append(server)
    elif line['event'] == 'crashed':
        log.ends.append(
            ServerEnd(line['at_s'], server, line['request'], line['deadly'])
        )
    else:
        _add_notice(log, server, line)


def _add_notice(log: ServerLog, server: str, line: dict[str, Any]) -> None:
    if line['event'] == 'started':
        log.server_starts.append(ServerStart(line['at_s'], server, line['id']))
    elif line['event'] == 'limit_stated':
        stated = StatedLimit(
            line['at_s'], server, line['request'], line['per_s']
        )
        log.limits.append(stated)
    elif line['event'] in {'brittle', 'fell_over'}:
        log.brittle.append(
            BrittleEvent(line['at_s'], server, line.get('for_s', 0))
        )
    elif line['event'] in {'pause_wanted', 'leaving_said'}:
        for_s = line.get('for_s', 0)
        notice = Notice(line['at_s'], server, line['request'], for_s)
        log.notices.append(notice)
    else:
        _add_copy(log, server, line)


def _add_copy(log: ServerLog, server: str, line: dict[str, Any]) -> None:
    if line['event'] == 'copy':
        has_met = line['met']
        log.copies.append(Copy(line['at_s'], server, line['request'], has_met))
