"""Stand-in for the platform's list of instances and backend servers.

``python -m emulator.instances --port P [--lag-s S] [--fleet FILE]``

=====================  =====================================================
GET /v1/fleet          the list as visible now, with its lag
GET /truth             the list without its lag
POST /add              ``{"instance": {..}}`` or ``{"server": {..}}``
POST /remove           ``{"id": ..}``
POST /state            ``{"id": .., "state": "live" or "leaving"}``
POST /flap             ``{"id": .., "times": N, "period_s": S}``: hides the
                       entry at the start of each of N periods, for ``gone_s``
                       seconds or half a period, and then shows it again
GET, POST /fault       read and set ``lag_s``, ``slow_ms``, ``refuse``
GET /stats             count of reads
=====================  =====================================================
"""

import argparse
import heapq
import itertools
import json
import pathlib
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple, TypeAlias

from emulator.http_server import Reply, Request, json_reply, serve_until_stopped

MS_PER_S = 1000
SECTIONS = {'instance': 'instances', 'server': 'servers'}

Fields: TypeAlias = dict[str, Any]


class Entry(NamedTuple):
    """One entry of the list.

    :param kind: ``instance`` or ``server``.
    :param fields: its fields, as the list contains them.
    """

    kind: str
    fields: Fields

    @property
    def entry_id(self) -> str:
        """The id of the instance or server."""
        return str(self.fields[f'{self.kind}_id'])


class Change(NamedTuple):
    """A change that becomes visible in the list at a certain time.

    :param shown_s: when it becomes visible, in seconds.
    :param number: order among changes of the same time.
    :param entry_id: id of the changed entry.
    :param entry: the new entry, ``None`` when it is removed.
    """

    shown_s: float
    number: int
    entry_id: str
    entry: Entry | None


class Faults(NamedTuple):
    """Faults of the list.

    :param lag_s: seconds until a change becomes visible.
    :param slow_ms: delay of each read, in milliseconds.
    :param refuse: refuse each read.
    """

    lag_s: float = 0
    slow_ms: float = 0
    refuse: bool = False


class LaggingList:
    """The actual list and the lagging state of it that readers see.

    Changes of one entry become visible in the order in which they were made.

    :param entries: entries visible from the start.
    """

    def __init__(self, entries: list[Entry]) -> None:
        self.faults = Faults()
        self._entries = {entry.entry_id: entry for entry in entries}
        self._visible = dict(self._entries)
        self._changes: list[Change] = []
        self._last_shown_s: dict[str, float] = {}
        self._numbers = itertools.count()

    def put(self, entry: Entry, now_s: float) -> None:
        """Add or replace an entry."""
        self._entries[entry.entry_id] = entry
        self._schedule(entry.entry_id, entry, now_s)

    def remove(self, entry_id: str, now_s: float) -> None:
        """Remove an entry."""
        self._entries.pop(entry_id)
        self._schedule(entry_id, None, now_s)

    def set_state(self, entry_id: str, state: str, now_s: float) -> None:
        """Set the state of an entry, ``live`` or ``leaving``."""
        entry = self._entries[entry_id]
        fields = {**entry.fields, 'state': state}
        self.put(entry._replace(fields=fields), now_s)

    def flap(
        self,
        entry_id: str,
        times: int,
        period_s: float,
        now_s: float,
        gone_s: float | None = None,
    ) -> None:
        """Hide an entry and show it again, several times.

        The entry itself does not change.

        :param times: how often it is hidden.
        :param period_s: seconds from one hiding to the next.
        :param gone_s: seconds that it is hidden for; half a period if
            ``None``.
        """
        entry = self._entries[entry_id]
        back_s = period_s / 2 if gone_s is None else gone_s
        for round_number in range(times):
            start_s = now_s + round_number * period_s
            self._schedule(entry_id, None, start_s)
            self._schedule(entry_id, entry, start_s + back_s)

    def shown(self, now_s: float) -> dict[str, list[Fields]]:
        """Return the list as readers see it at a time."""
        while self._changes and self._changes[0].shown_s <= now_s:
            change = heapq.heappop(self._changes)
            if change.entry is None:
                self._visible.pop(change.entry_id, None)
            else:
                self._visible[change.entry_id] = change.entry
        return _sections(self._visible)

    def actual(self) -> dict[str, list[Fields]]:
        """Return the list without its lag."""
        return _sections(self._entries)

    def _schedule(
        self,
        entry_id: str,
        entry: Entry | None,
        now_s: float,
    ) -> None:
        shown_s = max(
            now_s + self.faults.lag_s,
            self._last_shown_s.get(entry_id, 0),
        )
        self._last_shown_s[entry_id] = shown_s
        change = Change(shown_s, next(self._numbers), entry_id, entry)
        heapq.heappush(self._changes, change)


class InstanceListService:
    """Handles the calls to the list.

    :param fleet: the list that is served.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        fleet: LaggingList,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._lock = threading.Lock()
        self._reads = 0

    def answer(self, req: Request) -> Reply:
        """Answer a call."""
        if req.path == '/v1/fleet':
            return self._read()
        with self._lock:
            if req.method == 'GET':
                return self._answer_get(req.path)
            change = getattr(self, f'_post_{req.path.strip("/")}', None)
            if change is None:
                return json_reply({'error': 'no such path'}, 404)
            change(req.document(), self._clock())
            return json_reply(self._fleet.faults._asdict())

    def _read(self) -> Reply:
        faults = self._fleet.faults
        if faults.slow_ms:
            time.sleep(faults.slow_ms / MS_PER_S)
        with self._lock:
            self._reads += 1
            if self._fleet.faults.refuse:
                return json_reply({'error': 'refused'}, 503)
            return json_reply(self._fleet.shown(self._clock()))

    def _answer_get(self, path: str) -> Reply:
        if path == '/truth':
            return json_reply(self._fleet.actual())
        if path == '/fault':
            return json_reply(self._fleet.faults._asdict())
        if path == '/stats':
            return json_reply({'reads': self._reads})
        return json_reply({'error': 'no such path'}, 404)

    def _post_add(self, document: Fields, now_s: float) -> None:
        for kind, fields in document.items():
            self._fleet.put(_entry(kind, fields), now_s)

    def _post_remove(self, document: Fields, now_s: float) -> None:
        self._fleet.remove(document['id'], now_s)

    def _post_state(self, document: Fields, now_s: float) -> None:
        self._fleet.set_state(document['id'], document['state'], now_s)

    def _post_flap(self, document: Fields, now_s: float) -> None:
        self._fleet.flap(
            document['id'],
            document['times'],
            document['period_s'],
            now_s,
            document.get('gone_s'),
        )

    def _post_fault(self, document: Fields, _now_s: float) -> None:
        unknown = document.keys() - set(Faults._fields)
        if unknown:
            raise ValueError(f'unknown faults: {sorted(unknown)}')
        self._fleet.faults = self._fleet.faults._replace(**document)


def read_entries(path: pathlib.Path) -> list[Entry]:
    """Read the entries of a file in the form of ``GET /v1/fleet``."""
    document = json.loads(path.read_text())
    return [
        _entry(kind, fields)
        for kind, section in SECTIONS.items()
        for fields in document.get(section, [])
    ]


def _entry(kind: str, fields: Fields) -> Entry:
    if kind not in SECTIONS:
        raise ValueError(f'neither instance nor server: {kind}')
    return Entry(kind, {'state': 'live', **fields})


def _sections(entries: dict[str, Entry]) -> dict[str, list[Fields]]:
    return {
        section: [
            entry.fields for entry in entries.values() if entry.kind == kind
        ]
        for kind, section in SECTIONS.items()
    }


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--lag-s', type=float, default=0)
    parser.add_argument('--fleet', type=pathlib.Path)
    args = parser.parse_args()
    entries = read_entries(args.fleet) if args.fleet else []
    fleet = LaggingList(entries)
    fleet.faults = Faults(lag_s=args.lag_s)
    service = InstanceListService(fleet, time.monotonic)
    serve_until_stopped(args.port, lambda: service.answer)


if __name__ == '__main__':
    main()
