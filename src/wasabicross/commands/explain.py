"""Puts together what the logs of all machines tell of one request."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

#: Lines of others that are shown before a request's own ones.
_BEFORE_S = 3.0

#: Silence at the end of a machine's log that tells that it has ended.
_LONG_SILENCE_S = 5.0

_SECONDS_IN_HOUR = 3600
_SECONDS_IN_MINUTE = 60

#: Fields that each line has.
_FRAME = frozenset(('time', 'level', 'program', 'event', 'name', 'request'))


class LogLine(NamedTuple):
    """One structured log line.

    :param source: what stood before the line, such as the machine's name.
    :param at_s: seconds of its day.
    """

    source: str
    at_s: float
    fields: dict[str, Any]

    @property
    def machine(self) -> str:
        """Name of the machine, the last word before the line."""
        return self.source.rpartition(' ')[2]

    @property
    def clock(self) -> str:
        """Time of the day, to the millisecond."""
        return str(self.fields.get('time', ''))[11:23]

    @property
    def name(self) -> str:
        """Name of the event."""
        return str(self.fields.get('name', ''))

    def __str__(self) -> str:
        told = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in _FRAME
        )
        return f'{self.clock} {self.source} {self.name} {told}'.strip()


class Outage(NamedTuple):
    """A time in which a machine's program didn't run, ended by no stop.

    :param machine: its name, as it stands before its lines.
    :param since: clock of the last line before it.
    :param until: clock of its next start, empty if none is logged.
    """

    machine: str
    since: str
    until: str

    def __str__(self) -> str:
        until = f'until its start at {self.until}' if self.until else 'for good'
        return f'{self.machine} wrote nothing from {self.since} {until}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines; what is none is passed over.

    :param texts: lines, each with or without a machine's name before it.
    """
    for text in texts:
        source, brace, rest = text.partition('{')
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            yield LogLine(source.strip(), _seconds(fields), fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that tell of a request, in order of time.

    These are its own, and what was logged shortly before and meanwhile about
    the servers and adapters that it met, and about the store.

    :param request_id: the request.
    :param lines: lines of all machines.
    """
    everything = sorted(lines, key=lambda line: line.at_s)
    own = [
        line for line in everything if line.fields.get('request') == request_id
    ]
    if not own:
        return []
    first_s = min(_began_s(line) for line in own) - _BEFORE_S
    met = _met(own)
    return [
        line
        for line in everything
        if first_s <= line.at_s <= own[-1].at_s
        and (line in own or _is_about(line, met))
    ]


def find_outages(lines: Iterable[LogLine]) -> list[Outage]:
    """Return where programs ended without a stop, in order of time.

    A request that they had read, or that came meanwhile, is in no log.

    :param lines: lines of all machines.
    """
    by_machine: dict[str, list[LogLine]] = defaultdict(list)
    everything = sorted(lines, key=lambda line: line.at_s)
    for line in everything:
        by_machine[line.machine].append(line)
    last_s = everything[-1].at_s if everything else 0
    found = [
        absence
        for of_one in by_machine.values()
        for absence in _absences_of(of_one, last_s)
    ]
    return sorted(found, key=lambda absence: absence.since)


def _absences_of(lines: list[LogLine], last_s: float) -> Iterator[Outage]:
    stopped = True
    before = lines[0]
    for line in lines:
        if line.name == 'program_started':
            if not stopped:
                yield Outage(line.machine, before.clock, line.clock)
            stopped = False
        stopped = stopped or line.name == 'program_stopped'
        before = line
    if not stopped and last_s - before.at_s > _LONG_SILENCE_S:
        yield Outage(before.machine, before.clock, '')


def _met(own: list[LogLine]) -> frozenset[str]:
    """Return the servers and adapters of a request's lines."""
    names = {
        str(line.fields.get(field, ''))
        for line in own
        for field in ('server', 'adapter')
    }
    return frozenset(names - {''})


def _is_about(line: LogLine, met: frozenset[str]) -> bool:
    if 'request' in line.fields:
        return False
    if line.name in {'store_lost', 'store_back', 'group_owned', 'group_lost'}:
        return True
    about = line.fields.get('adapter', line.fields.get('server'))
    return about in met


def _began_s(line: LogLine) -> float:
    took_s = line.fields.get('took_s', line.fields.get('held_s', 0))
    return line.at_s - float(took_s)


def _seconds(fields: dict[str, Any]) -> float:
    """Return the seconds of the day of a line's time, 0 if it has none."""
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
