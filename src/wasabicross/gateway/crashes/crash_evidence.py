"""Finds the part of prompts that crashes servers, from the servers it crashed.

A crash counts against the parts of the requests that the server had just begun
to answer. An answer that went on clears the parts of its request.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

#: Most crashes that are kept, and most parts of each.
MAX_CRASHES = 128
MAX_PARTS = 64

#: Most parts that are remembered as sound.
_MAX_SOUND = 4096

#: Crashes this soon after a sound run of a part don't count against it. Parts
#: that many requests share run soundly again and again.
_SOUND_S = 3.0

#: Crashes closer than this count as one, as the servers may have been lost
#: together.
SEPARATE_S = 0.1

#: Number of separate crashes that convict a part.
_MIN_CRASHES = 2

#: How long a conviction lasts after the last crash, and how many times as long
#: after each further one. So a part that stays deadly reaches servers twice in
#: the day after its fifth crash.
_FIRST_CONVICTION_S = 60.0
_LENGTHENING = 4.0
_MAX_CONVICTION_S = 86400.0

#: How long crashes without a convicted part are kept, and all others.
_EVIDENCE_S = 3600.0
_MAX_EVIDENCE_S = 259200.0

#: Time after a trial began in which no other one begins.
_TRIAL_S = 10.0


class CrashKey(NamedTuple):
    """One incarnation of a server that crashed.

    :param start_ms: start time of the server, Unix milliseconds.
    """

    server_id: str
    start_ms: int


class Crash(NamedTuple):
    """A crash of a server, and the parts that may have caused it.

    :param at_s: time of the crash, monotonic seconds.
    :param parts: parts of the requests that it had just begun to answer.
    """

    key: CrashKey
    at_s: float
    parts: frozenset[str]


class Verdict(enum.Enum):
    """Whether a request may be sent to a server.

    `go`: it may be sent. `trial`: it may be sent, and tells whether a part
    still crashes servers. `refused`: it has a convicted part.
    """

    go = 'go'
    trial = 'trial'
    refused = 'refused'


class CrashEvidence:
    """The crashes of servers and the parts of prompts that may cause them.

    A part is convicted after several separate crashes. If other parts were
    involved in all of these crashes too, only requests with all of these parts
    are refused, until one of them is cleared or missing in a further crash.

    The order in which crashes and sound runs are recorded doesn't matter, nor
    whether one is recorded twice.

    :param instance: name of this machine; convictions end at different times
        on different machines, so that one of them makes the first trial.
    """

    def __init__(self, instance: str = '') -> None:
        self._stretch = 1 + zlib.crc32(instance.encode()) / 2**32
        self._crashes: dict[CrashKey, Crash] = {}
        self._crashes_of: dict[str, dict[CrashKey, float]] = {}
        self._sound_s: OrderedDict[str, float] = OrderedDict()
        self._trials_s: dict[str, float] = {}

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """Return all crashes that are kept."""
        return tuple(self._crashes.values())

    def convicted(self) -> frozenset[str]:
        """Return the parts that are convicted, alone or with others."""
        return frozenset(
            part for part in self._crashes_of if self._is_convicted(part)
        )

    def crashes_of(self, part: str) -> int:
        """Return the number of separate crashes that count against a part.

        :param part: the part.
        """
        times = sorted(self._crashes_of.get(part, {}).values())
        count = 0
        last_s = -math.inf
        for at_s in times:
            count += at_s - last_s >= SEPARATE_S
            last_s = at_s
        return count

    def add(self, crash: Crash, now_s: float) -> frozenset[str]:
        """Record a crash; return the parts against which it counts newly.

        :param crash: the crash, with all or some of the parts involved.
        :param now_s: the present time, monotonic seconds.
        """
        self._remove_old(now_s)
        known = self._crashes.get(crash.key)
        at_s = min(known.at_s, crash.at_s) if known else crash.at_s
        before = known.parts if known else frozenset()
        room = MAX_PARTS - len(before)
        new = frozenset(
            sorted(
                part
                for part in crash.parts - before
                if at_s > self._sound_s.get(part, -math.inf) + _SOUND_S
            )[:room]
        )
        if not new:
            return new
        self._crashes[crash.key] = Crash(crash.key, at_s, before | new)
        for part in before | new:
            self._crashes_of.setdefault(part, {})[crash.key] = at_s
        self._evict()
        return new

    def clear(self, parts: Iterable[str], at_s: float) -> tuple[str, ...]:
        """Record a sound run; return the parts that it clears.

        :param parts: the parts of the request that ran.
        :param at_s: time at which its answer had gone on for a while or was
            complete, monotonic seconds.
        """
        sound_s = self._sound_s
        for each in parts:
            known_s = sound_s.get(each, at_s)
            sound_s[each] = at_s if at_s > known_s else known_s
            sound_s.move_to_end(each)
        while len(sound_s) > _MAX_SOUND:
            sound_s.popitem(last=False)
        if not self._crashes_of:
            return ()
        return tuple(part for part in parts if self._discard(part))

    def sound_at(self, parts: Iterable[str], at_s: float) -> dict[str, float]:
        """Return the parts against which a crash doesn't count, as they ran.

        :param parts: parts that were involved in a crash.
        :param at_s: time of the crash, monotonic seconds.
        :return: when each of them last ran soundly, monotonic seconds.
        """
        known = {part: self._sound_s.get(part, -math.inf) for part in parts}
        return {
            part: sound_s
            for part, sound_s in known.items()
            if at_s <= sound_s + _SOUND_S
        }

    def suspects(self) -> frozenset[str]:
        """Return the parts against which crashes count."""
        return frozenset(self._crashes_of)

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Return whether a crash counts against one of some parts.

        :param parts: the parts of a request.
        """
        crashes_of = self._crashes_of
        return bool(crashes_of) and any(part in crashes_of for part in parts)

    def verdict(self, parts: tuple[str, ...], now_s: float) -> Verdict:
        """Return whether a request may be sent to a server.

        :param parts: the parts of its prompt.
        :param now_s: the present time, monotonic seconds.
        """
        if not self._crashes_of:
            return Verdict.go
        verdict = Verdict.go
        for part in parts:
            if not self._is_convicted(part):
                continue
            if not self._tied(part).issubset(parts):
                continue
            if now_s < self._ends_s(part):
                return Verdict.refused
            if now_s < self._trials_s.get(part, -math.inf) + _TRIAL_S:
                return Verdict.refused
            self._trials_s[part] = now_s
            verdict = Verdict.trial
        return verdict

    def _is_convicted(self, part: str) -> bool:
        if len(self._crashes_of.get(part, ())) < _MIN_CRASHES:
            return False
        return self.crashes_of(part) >= _MIN_CRASHES

    def _tied(self, part: str) -> frozenset[str]:
        """Return all parts that were involved in all crashes of a part."""
        return frozenset.intersection(
            *(self._crashes[key].parts for key in self._crashes_of[part])
        )

    def _ends_s(self, part: str) -> float:
        """Return when the conviction of a part ends, monotonic seconds."""
        further = self.crashes_of(part) - _MIN_CRASHES
        lasts_s = _FIRST_CONVICTION_S * math.pow(_LENGTHENING, further)
        lasts_s = min(_MAX_CONVICTION_S, lasts_s)
        return max(self._crashes_of[part].values()) + lasts_s * self._stretch

    def _discard(self, part: str) -> bool:
        """Discard the crashes before a sound run; return whether there were."""
        crashes = self._crashes_of.get(part)
        if not crashes:
            return False
        until_s = self._sound_s[part] + _SOUND_S
        gone = [key for key, at_s in crashes.items() if at_s <= until_s]
        for key in gone:
            self._forget(part, key)
        return bool(gone)

    def _forget(self, part: str, key: CrashKey) -> None:
        crashes = self._crashes_of[part]
        crashes.pop(key)
        if not crashes:
            self._crashes_of.pop(part)
            self._trials_s.pop(part, None)
        crash = self._crashes[key]
        self._crashes[key] = crash._replace(parts=crash.parts - {part})
        if not self._crashes[key].parts:
            self._crashes.pop(key)

    def _remove(self, crash: Crash) -> None:
        for part in crash.parts:
            self._forget(part, crash.key)

    def _has_convicted(self, crash: Crash) -> bool:
        return any(self._is_convicted(part) for part in crash.parts)

    def _remove_old(self, now_s: float) -> None:
        for crash in self.crashes:
            age_s = now_s - crash.at_s
            if age_s > _MAX_EVIDENCE_S or (
                age_s > _EVIDENCE_S and not self._has_convicted(crash)
            ):
                self._remove(crash)

    def _evict(self) -> None:
        """Evict a crash if there are too many, rather one that convicts none."""
        if len(self._crashes) <= MAX_CRASHES:
            return
        oldest = sorted(self.crashes, key=lambda crash: crash.at_s)
        spare = (each for each in oldest if not self._has_convicted(each))
        self._remove(next(spare, oldest[0]))
