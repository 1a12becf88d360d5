"""Shares what gateways know of crashed servers over their links."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import TypeAlias

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.conviction_records import (
    MAX_CAUSES,
    CrashKey,
    StoredConvictions,
)
from wasabicross.gateway.crash_messages import PartsCleared, ServerCrash
from wasabicross.gateway.crashes.conviction_records import take_convictions
from wasabicross.gateway.crashes.crash import Crash, by_weight
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_log import Findings, log_changes

_MS_PER_S = 1000

#: Longest cause that is accepted from another gateway.
_MAX_CAUSE_LENGTH = 64

CrashMessage: TypeAlias = ServerCrash | PartsCleared
Sender: TypeAlias = Callable[[CrashMessage], None]


class CrashSharing:
    """Shares crashes and cleared causes with all gateways.

    A gateway sends what it finds to owners of servers, and owners send what is
    new to them to all gateways that are linked to them. The two sides of a new
    link send each other all crashes that they know.

    :param evidence: what this gateway knows.
    """

    def __init__(self, evidence: CrashEvidence) -> None:
        #: What this gateway knows.
        self.evidence = evidence
        #: Sends to some owners, and to all gateways linked to this one.
        self.to_owners: Sender = _ignore
        self.to_linked: Sender = _ignore
        #: Is told the convicted causes after each change of the evidence, which
        #: may also tell a convicted cause from others.
        self.on_convicted: Callable[[frozenset[str]], None] = _ignore

    def table(self) -> tuple[ServerCrash, ...]:
        """Return all crashes, for the other side of a new link."""
        at_s = now_s()
        return tuple(
            _crash_message(crash, at_s) for crash in self.evidence.crashes
        )

    def report_crash(self, crash: Crash) -> None:
        """Record a crash that this gateway found, and send it.

        :param crash: the crash.
        """
        at_s = now_s()
        with self._following():
            new = self.evidence.add(crash, at_s)
        if new:
            self._send(_crash_message(crash._replace(causes=new), at_s))
            self._tell_ran_before(new, at_s)

    def report_sound(self, causes: tuple[str, ...]) -> None:
        """Record that an answer has gone on for a while or was complete.

        :param causes: possible causes of crashes that its request has.
        """
        at_s = now_s()
        if not self.evidence.is_suspect(causes):
            self.evidence.clear(causes, at_s)
            return
        with self._following():
            cleared = self.evidence.clear(causes, at_s)
        if cleared:
            self._send(PartsCleared(0, cleared))

    def take_stored(self, stored: StoredConvictions) -> None:
        """Add what all gateways read in the store.

        :param stored: the content of the record.
        """
        with self._following():
            take_convictions(self.evidence, stored, now_s())

    def on_message(self, message: CrashMessage) -> None:
        """Handle a message of another gateway, and send on what is new.

        :param message: the message.
        """
        at_s = now_s() - message.age_ms / _MS_PER_S
        causes = tuple(
            cause
            for cause in message.parts[:MAX_CAUSES]
            if isinstance(cause, str) and len(cause) <= _MAX_CAUSE_LENGTH
        )
        with self._following():
            if isinstance(message, PartsCleared):
                changed = bool(self.evidence.clear(causes, at_s))
            else:
                changed = self._add(message, causes, at_s)
        if changed:
            self.to_linked(message)

    def _add(
        self, message: ServerCrash, causes: tuple[str, ...], at_s: float
    ) -> bool:
        """Record a crash; tell others which causes this gateway knows sound."""
        key = CrashKey(message.server_id, message.start_ms)
        crash = Crash(key, at_s, frozenset(causes))
        new = self.evidence.add(crash, now_s())
        sound = self.evidence.sound_at(causes, at_s)
        for cause, sound_s in sound.items():
            age_ms = int((now_s() - sound_s) * _MS_PER_S)
            self._send(PartsCleared(max(0, age_ms), (cause,)))
        self._tell_ran_before(new, now_s())
        return bool(new)

    def _tell_ran_before(self, causes: frozenset[str], at_s: float) -> None:
        """Tell others which requests in a crash have run soundly before it."""
        ran = self.evidence.ran_before(causes)
        if ran:
            age_ms = int((at_s - min(ran.values())) * _MS_PER_S)
            self._send(PartsCleared(max(0, age_ms), tuple(ran)))

    @contextlib.contextmanager
    def _following(self) -> Iterator[None]:
        """Log what changes meanwhile, and tell what is convicted then."""
        before = Findings.of(self.evidence)
        yield
        log_changes(before, self.evidence)
        convicted = self.evidence.convicted()
        if convicted:
            self.on_convicted(convicted)

    def _send(self, message: CrashMessage) -> None:
        self.to_owners(message)
        self.to_linked(message)


def _crash_message(crash: Crash, at_s: float) -> ServerCrash:
    age_ms = int((at_s - crash.at_s) * _MS_PER_S)
    return ServerCrash(
        *crash.key, max(0, age_ms), tuple(by_weight(crash.causes))
    )


def _ignore(_message: object) -> None:
    """Do nothing, as nobody listens yet."""
