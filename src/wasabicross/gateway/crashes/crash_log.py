"""Logs how the evidence against possible causes of crashes changes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Self

from prometheus_client import Counter

from wasabicross.gateway import metrics
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.request_digest import is_request_digest
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Most causes that one log line names.
_MAX_NAMED = 16


class Findings(NamedTuple):
    """What the evidence says at one moment.

    :param suspects: causes against which crashes count.
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


class _Kind(NamedTuple):
    """How changes of one kind of cause are logged.

    :param field: name of the causes in log lines.
    :param counter: counts the changes.
    """

    field: str
    counter: Counter
    suspected: Event
    convicted: Event
    cleared: Event
    tried: Event


_PART = _Kind(
    'parts',
    metrics.PARTS,
    Event.PART_SUSPECTED,
    Event.PART_CONVICTED,
    Event.PART_CLEARED,
    Event.PART_TRIED,
)
_REQUEST = _Kind(
    'digests',
    metrics.CRASHING_REQUESTS,
    Event.REQUEST_SUSPECTED,
    Event.REQUEST_CONVICTED,
    Event.REQUEST_CLEARED,
    Event.REQUEST_TRIED,
)


def log_changes(before: Findings, evidence: CrashEvidence) -> None:
    """Log what has changed.

    :param before: what the evidence said before.
    :param evidence: the evidence.
    """
    after = Findings.of(evidence)
    for kind in (_PART, _REQUEST):
        for event, causes in (
            (kind.suspected, after.suspects - before.suspects),
            (kind.convicted, after.convicted - before.convicted),
            (kind.cleared, before.suspects - after.suspects),
        ):
            _log(kind, event, _of_kind(kind, causes), evidence)


def log_trial(causes: Iterable[str]) -> None:
    """Log that a request is sent to see whether it still crashes servers.

    :param causes: its possible causes of crashes.
    """
    for kind in (_PART, _REQUEST):
        named = _of_kind(kind, causes)[:_MAX_NAMED]
        if named:
            log_event(kind.tried, **{kind.field: named})


def _log(
    kind: _Kind, event: Event, causes: list[str], evidence: CrashEvidence
) -> None:
    if not causes:
        return
    named = causes[:_MAX_NAMED]
    crashes = max(evidence.crashes_of(cause) for cause in named)
    log_event(event, **{kind.field: named}, count=len(causes), crashes=crashes)
    kind.counter.labels(event.name.lower()).inc(len(causes))


def _of_kind(kind: _Kind, causes: Iterable[str]) -> list[str]:
    """Return the causes that are whole requests, or parts of prompts."""
    return sorted(
        cause
        for cause in causes
        if is_request_digest(cause) == (kind is _REQUEST)
    )
