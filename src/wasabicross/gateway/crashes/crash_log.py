"""Logs how the evidence against parts of prompts changes."""

from __future__ import annotations

from typing import NamedTuple, Self

from wasabicross.gateway import metrics
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Most parts that one log line names.
_MAX_NAMED = 16


class Findings(NamedTuple):
    """What the evidence says at one moment.

    :param suspects: parts against which crashes count.
    :param convicted: those that are convicted.
    """

    suspects: frozenset[str]
    convicted: frozenset[str]

    @classmethod
    def of(cls, evidence: CrashEvidence) -> Self:
        """Return what the evidence says now.

        :param evidence: the evidence.
        """
        return cls(evidence.suspects(), evidence.convicted())


def log_changes(before: Findings, evidence: CrashEvidence) -> None:
    """Log what has changed.

    :param before: what the evidence said before.
    :param evidence: the evidence.
    """
    after = Findings.of(evidence)
    for event, parts in (
        (Event.PART_SUSPECTED, after.suspects - before.suspects),
        (Event.PART_CONVICTED, after.convicted - before.convicted),
        (Event.PART_CLEARED, before.suspects - after.suspects),
    ):
        if parts:
            named = sorted(parts)[:_MAX_NAMED]
            crashes = max(evidence.crashes_of(part) for part in named)
            log_event(event, parts=named, count=len(parts), crashes=crashes)
            metrics.PARTS.labels(event.name.lower()).inc(len(parts))
