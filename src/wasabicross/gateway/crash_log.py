"""Logs how the evidence against parts of prompts changes."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from wasabicross.gateway import metrics
from wasabicross.gateway.crash_evidence import CrashEvidence
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Most parts that one log line names.
_MAX_NAMED = 16


@contextlib.contextmanager
def logged_changes(evidence: CrashEvidence) -> Iterator[None]:
    """Log what changes in the evidence meanwhile.

    :param evidence: the evidence.
    """
    suspects, convicted = evidence.suspects(), evidence.convicted()
    yield
    suspects_now, convicted_now = evidence.suspects(), evidence.convicted()
    for event, parts in (
        (Event.PART_SUSPECTED, suspects_now - suspects),
        (Event.PART_CONVICTED, convicted_now - convicted),
        (Event.PART_CLEARED, suspects - suspects_now),
    ):
        if parts:
            named = sorted(parts)[:_MAX_NAMED]
            crashes = max(evidence.crashes_of(part) for part in named)
            log_event(event, parts=named, count=len(parts), crashes=crashes)
            metrics.PARTS.labels(event.name.lower()).inc(len(parts))
