"""Selects the log lines that explain what happened to one request."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

#: Seconds before a request's start from which related lines are shown.
_CONTEXT_S = 3.0

#: Seconds without a line at the end of a machine's log after which its program
#: counts as ended.
_MIN_OUTAGE_S = 5.0

_SECONDS_IN_HOUR = 3600
_SECONDS_IN_MINUTE = 60

#: Fields that each line has, which are shown apart or not at all.
_COMMON_FIELDS = frozenset(
    ('time', 'level', 'program', 'event', 'name', 'request')
)


class LogLine(NamedTuple):
    """One structured log line.

    :param source: text before the JSON object, such as the machine's name.
    :param at_s: time of the line in seconds since midnight.
    :param fields: fields of the JSON object.
    """

    source: str
    at_s: float
    fields: dict[str, Any]

    @property
    def machine(self) -> str:
        """Name of the machine, the last word before the JSON object."""
        return self.source.rpartition(' ')[2]

    @property
    def clock(self) -> str:
        """Time of day, to the millisecond."""
        return str(self.fields.get('time', ''))[11:23]

    @property
    def name(self) -> str:
        """Name of the event."""
        return str(self.fields.get('name', ''))

    def __str__(self) -> str:
        other_fields = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in _COMMON_FIELDS
        )
        return f'{self.clock} {self.source} {self.name} {other_fields}'.strip()


class Outage(NamedTuple):
    """A time in which a program did not run because it ended without a stop.

    :param machine: name of the machine, as in its log lines.
    :param since: time of day of the program's last line before the outage.
    :param until: time of day of its next start, empty if none is logged.
    """

    machine: str
    since: str
    until: str

    def __str__(self) -> str:
        until = f'until its start at {self.until}' if self.until else 'for good'
        return f'{self.machine} wrote nothing from {self.since} {until}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines and skip text that is not one.

    :param texts: lines, each with or without a machine's name before it.
    """
    for text in texts:
        source, brace, rest = text.partition('{')
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            yield LogLine(source.strip(), _seconds_of_day(fields), fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that explain a request, in order of time.

    These are the lines of the request itself, and the lines about its servers
    and adapters and about the store that were logged shortly before it or
    while it ran.

    :param request_id: id of the request.
    :param lines: log lines of all machines.
    """
    all_lines = sorted(lines, key=lambda line: line.at_s)
    own = [
        line for line in all_lines if line.fields.get('request') == request_id
    ]
    if not own:
        return []
    first_s = min(_start_s(line) for line in own) - _CONTEXT_S
    related = _related_names(own)
    return [
        line
        for line in all_lines
        if first_s <= line.at_s <= own[-1].at_s
        and (line in own or _is_related(line, related))
    ]


def find_outages(lines: Iterable[LogLine]) -> list[Outage]:
    """Return the outages of programs that ended without a stop, by time.

    A request that such a program had read before, or that was sent to it
    during the outage, is in no log.

    :param lines: log lines of all machines.
    """
    by_machine: dict[str, list[LogLine]] = defaultdict(list)
    all_lines = sorted(lines, key=lambda line: line.at_s)
    for line in all_lines:
        by_machine[line.machine].append(line)
    last_s = all_lines[-1].at_s if all_lines else 0
    found = [
        outage
        for machine_lines in by_machine.values()
        for outage in _outages_of(machine_lines, last_s)
    ]
    return sorted(found, key=lambda outage: outage.since)


def _outages_of(lines: list[LogLine], last_s: float) -> Iterator[Outage]:
    stopped = True
    previous = lines[0]
    for line in lines:
        if line.name == 'program_started':
            if not stopped:
                yield Outage(line.machine, previous.clock, line.clock)
            stopped = False
        stopped = stopped or line.name == 'program_stopped'
        previous = line
    if not stopped and last_s - previous.at_s > _MIN_OUTAGE_S:
        yield Outage(previous.machine, previous.clock, '')


def _related_names(own: list[LogLine]) -> frozenset[str]:
    """Return the names of servers and adapters in a request's lines."""
    names = {
        str(line.fields.get(field, ''))
        for line in own
        for field in ('server', 'adapter')
    }
    return frozenset(names - {''})


def _is_related(line: LogLine, related: frozenset[str]) -> bool:
    if 'request' in line.fields:
        return False
    if line.name in {'store_lost', 'store_back', 'group_owned', 'group_lost'}:
        return True
    subject = line.fields.get('adapter', line.fields.get('server'))
    return subject in related


def _start_s(line: LogLine) -> float:
    took_s = line.fields.get('took_s', line.fields.get('held_s', 0))
    return line.at_s - float(took_s)


def _seconds_of_day(fields: dict[str, Any]) -> float:
    """Return a line's time in seconds since midnight, 0 if it has none."""
    clock = str(fields.get('time', ''))[11:26]
    try:
        hours, minutes, seconds = clock.split(':')
    except ValueError:
        return 0
    return (
        int(hours) * _SECONDS_IN_HOUR
        + int(minutes) * _SECONDS_IN_MINUTE
        + float(seconds)
    )
