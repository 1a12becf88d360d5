"""Finds out what crashes servers, from the servers that it has crashed.

What may crash a server is a part of a prompt or a request as a whole, which is
known by its digest. Each of these is a possible cause; a request has one for each
of its parts and one for itself. A crash counts against the causes of all
requests that the server may just have begun. An answer that went on clears the
causes of its request.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable

from wasabicross.gateway.conviction_records import (
    MAX_ACQUITTED,
    MAX_CAUSES,
    MAX_CRASHES,
    CrashKey,
)
from wasabicross.gateway.crashes.crash import Crash, by_weight
from wasabicross.gateway.crashes.request_digest import is_request_digest

#: Most causes that are remembered as sound.
_MAX_SOUND = 4096

#: Crashes this soon after a sound run of a cause don't count against it. Causes
#: that many requests share run soundly again and again.
_SOUND_S = 3.0

#: Crashes closer than this count as one, as the servers may have been lost
#: together.
SEPARATE_S = 0.1

#: Number of separate crashes that convict a cause.
_MIN_CRASHES = 2

#: The same for a whole request that has run soundly before: one that is deadly
#: hasn't, and servers may be killed one after the other under a look-up.
_MIN_SOUND_CRASHES = 3

#: Number of separate crashes that convict a whole request although others that
#: haven't run soundly since were involved in all of them, and the most requests
#: that are convicted so. If there are more, their servers fail by themselves.
_MIN_TIED_CRASHES = 3
_MAX_TIED_REQUESTS = 3

#: How long a conviction lasts after the last crash, and how many times as long
#: after each further one. So a cause that stays deadly reaches servers twice in
#: the day after its fifth crash.
_FIRST_CONVICTION_S = 60.0
_LENGTHENING = 4.0
_MAX_CONVICTION_S = 86400.0

#: How long crashes without a convicted cause are kept, and all others.
_EVIDENCE_S = 3600.0
_MAX_EVIDENCE_S = 259200.0

#: Time after a trial began in which no other one begins.
_TRIAL_S = 10.0


class Verdict(enum.Enum):
    """Whether a request may be sent to a server.

    `go`: it may be sent. `trial`: it may be sent, and tells whether a cause
    still crashes servers. `refused`: it has a convicted cause.
    """

    go = 'go'
    trial = 'trial'
    refused = 'refused'


class CrashEvidence:
    """The crashes of servers and what may cause them.

    A cause is convicted after several separate crashes. If other causes were
    involved in all of these crashes too, only requests with all of these causes
    are refused, until one of them is cleared or missing in a further crash. So
    a part of a prompt isn't convicted for one request that came again, nor a
    request for another one that was beside it.

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
        #: Causes that were convicted until they ran soundly, and when they did.
        self.acquitted: OrderedDict[str, float] = OrderedDict()

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """Return all crashes that are kept."""
        return tuple(self._crashes.values())

    def convicted(self) -> frozenset[str]:
        """Return the causes that are convicted, alone or with others."""
        return frozenset(
            cause for cause in self._crashes_of if self._is_convicted(cause)
        )

    def convicting_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes with those of their causes that are convicted."""
        convicted = self.convicted()
        if not convicted:
            return ()
        found = (
            crash._replace(causes=crash.causes & convicted)
            for crash in self.crashes
        )
        return tuple(crash for crash in found if crash.causes)

    def crashes_of(self, cause: str) -> int:
        """Return the number of separate crashes that count against a cause.

        :param cause: the cause.
        """
        times = sorted(self._crashes_of.get(cause, {}).values())
        count = 0
        last_s = -math.inf
        for at_s in times:
            count += at_s - last_s >= SEPARATE_S
            last_s = at_s
        return count

    def add(self, crash: Crash, now_s: float) -> frozenset[str]:
        """Record a crash; return the causes against which it counts newly.

        :param crash: the crash, with all or some of the causes involved.
        :param now_s: the present time, monotonic seconds.
        """
        self._remove_old(now_s)
        known = self._crashes.get(crash.key)
        at_s = min(known.at_s, crash.at_s) if known else crash.at_s
        before = known.causes if known else frozenset()
        room = MAX_CAUSES - len(before)
        new = frozenset(
            by_weight(
                cause
                for cause in crash.causes - before
                if at_s > self._sound_s.get(cause, -math.inf) + _SOUND_S
            )[:room]
        )
        if not new:
            return new
        for cause in new:
            self.acquitted.pop(cause, None)
        self._crashes[crash.key] = Crash(crash.key, at_s, before | new)
        for cause in before | new:
            self._crashes_of.setdefault(cause, {})[crash.key] = at_s
        self._evict()
        return new

    def clear(self, causes: Iterable[str], at_s: float) -> tuple[str, ...]:
        """Record a sound run; return the causes for which that is news.

        These are the ones that have crashes against them, if the run clears some
        or is the first sound one that is known.

        :param causes: the causes of the request that ran.
        :param at_s: time at which its answer had gone on for a while or was
            complete, monotonic seconds.
        """
        sound_s = self._sound_s
        suspects = [each for each in causes if each in self._crashes_of]
        convicted = set(filter(self._is_convicted, suspects))
        first = {each for each in suspects if each not in sound_s}
        for each in causes:
            known_s = sound_s.get(each, at_s)
            sound_s[each] = at_s if at_s > known_s else known_s
            sound_s.move_to_end(each)
        while len(sound_s) > _MAX_SOUND:
            sound_s.popitem(last=False)
        return tuple(
            cause
            for cause in suspects
            if self._discard(cause, was_convicted=cause in convicted)
            or (cause in first and is_request_digest(cause))
        )

    def sound_at(self, causes: Iterable[str], at_s: float) -> dict[str, float]:
        """Return the causes against which a crash doesn't count, as they ran.

        :param causes: causes that were involved in a crash.
        :param at_s: time of the crash, monotonic seconds.
        :return: when each of them last ran soundly, monotonic seconds.
        """
        known = {cause: self._sound_s.get(cause, -math.inf) for cause in causes}
        return {
            cause: sound_s
            for cause, sound_s in known.items()
            if at_s <= sound_s + _SOUND_S
        }

    def ran_before(self, causes: Iterable[str]) -> dict[str, float]:
        """Return the whole requests that have run soundly, however long ago.

        :param causes: possible causes of a crash.
        :return: when each of them last ran soundly, monotonic seconds.
        """
        return {
            cause: self._sound_s[cause]
            for cause in causes
            if cause in self._sound_s and is_request_digest(cause)
        }

    def suspects(self) -> frozenset[str]:
        """Return the causes against which crashes count."""
        return frozenset(self._crashes_of)

    def is_suspect(self, causes: Iterable[str]) -> bool:
        """Return whether a crash counts against one of some causes.

        :param causes: the causes of a request.
        """
        crashes_of = self._crashes_of
        return bool(crashes_of) and any(cause in crashes_of for cause in causes)

    def verdict(self, causes: tuple[str, ...], now_s: float) -> Verdict:
        """Return whether a request may be sent to a server.

        :param causes: its possible causes of crashes.
        :param now_s: the present time, monotonic seconds.
        """
        if not self._crashes_of:
            return Verdict.go
        verdict = Verdict.go
        for cause in causes:
            if not self._is_convicted(cause):
                continue
            if not self._is_told_apart(cause, causes):
                continue
            if now_s < self.ends_s(cause):
                return Verdict.refused
            if now_s < self._trials_s.get(cause, -math.inf) + _TRIAL_S:
                return Verdict.refused
            self._trials_s[cause] = now_s
            verdict = Verdict.trial
        return verdict

    def ends_s(self, cause: str) -> float:
        """Return when the conviction of a cause ends, monotonic seconds.

        :param cause: a convicted cause.
        """
        further = self.crashes_of(cause) - self._min_crashes(cause)
        lasts_s = _FIRST_CONVICTION_S * math.pow(_LENGTHENING, further)
        lasts_s = min(_MAX_CONVICTION_S, lasts_s)
        return max(self._crashes_of[cause].values()) + lasts_s * self._stretch

    def _is_convicted(self, cause: str) -> bool:
        if len(self._crashes_of.get(cause, ())) < _MIN_CRASHES:
            return False
        return self.crashes_of(cause) >= self._min_crashes(cause)

    def _min_crashes(self, cause: str) -> int:
        """Return the number of separate crashes that convict a cause."""
        if cause in self._sound_s and is_request_digest(cause):
            return _MIN_SOUND_CRASHES
        return _MIN_CRASHES

    def _is_told_apart(self, cause: str, causes: tuple[str, ...]) -> bool:
        """Return whether no cause beside those of a request is to blame."""
        tied = self._tied(cause)
        if tied.issubset(causes):
            return True
        if not is_request_digest(cause):
            return False
        if sum(map(is_request_digest, tied)) > _MAX_TIED_REQUESTS:
            return False
        return self.crashes_of(cause) >= _MIN_TIED_CRASHES

    def _tied(self, cause: str) -> frozenset[str]:
        """Return all causes that were involved in all crashes of a cause."""
        return frozenset.intersection(
            *(self._crashes[key].causes for key in self._crashes_of[cause])
        )

    def _discard(self, cause: str, *, was_convicted: bool) -> bool:
        """Discard the crashes before a sound run; return whether there were."""
        crashes = self._crashes_of.get(cause)
        if not crashes:
            return False
        if was_convicted:
            self._acquit(cause)
        until_s = self._sound_s[cause] + _SOUND_S
        gone = [key for key, at_s in crashes.items() if at_s <= until_s]
        for key in gone:
            self._forget(cause, key)
        return bool(gone)

    def _acquit(self, cause: str) -> None:
        self.acquitted[cause] = self._sound_s[cause]
        self.acquitted.move_to_end(cause)
        if len(self.acquitted) > MAX_ACQUITTED:
            self.acquitted.popitem(last=False)

    def _forget(self, cause: str, key: CrashKey) -> None:
        crashes = self._crashes_of[cause]
        crashes.pop(key)
        if not crashes:
            self._crashes_of.pop(cause)
            self._trials_s.pop(cause, None)
        crash = self._crashes[key]
        self._crashes[key] = crash._replace(causes=crash.causes - {cause})
        if not self._crashes[key].causes:
            self._crashes.pop(key)

    def _remove(self, crash: Crash) -> None:
        for cause in crash.causes:
            self._forget(cause, crash.key)

    def _has_convicted(self, crash: Crash) -> bool:
        return any(self._is_convicted(cause) for cause in crash.causes)

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
