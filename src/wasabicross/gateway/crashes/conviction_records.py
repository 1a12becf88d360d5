"""What gateways store of their evidence, and what they take from there."""

from __future__ import annotations

from wasabicross.gateway.conviction_records import (
    StoredAcquittal,
    StoredConvictions,
    StoredCrash,
)
from wasabicross.gateway.crashes.crash import Crash
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence


def stored_convictions(
    evidence: CrashEvidence, now_s: float
) -> StoredConvictions:
    """Return what to store.

    :param evidence: what this gateway knows.
    :param now_s: the present time, monotonic seconds.
    """
    return StoredConvictions(
        tuple(
            StoredCrash(each.key, max(0, now_s - each.at_s), each.causes)
            for each in evidence.convicting_crashes()
        ),
        tuple(
            StoredAcquittal(cause, max(0, now_s - sound_s))
            for cause, sound_s in evidence.acquitted.items()
        ),
    )


def take_convictions(
    evidence: CrashEvidence, stored: StoredConvictions, now_s: float
) -> None:
    """Add what was stored to what this gateway knows.

    :param evidence: what this gateway knows.
    :param stored: the content of the record.
    :param now_s: the present time, monotonic seconds.
    """
    for each in stored.acquitted:
        evidence.clear((each.cause,), now_s - each.age_s)
    for crash in stored.crashes:
        at_s = now_s - crash.age_s
        evidence.add(Crash(crash.key, at_s, crash.causes), now_s)


def is_write_due(
    stored: StoredConvictions | None, evidence: CrashEvidence
) -> bool:
    """Return whether the record lacks a conviction, or has one that ended.

    :param stored: the content of the record, None if that is unreadable.
    :param evidence: what this gateway knows.
    """
    recorded = (stored or StoredConvictions()).convictions()
    known = {
        (each.key, cause)
        for each in evidence.convicting_crashes()
        for cause in each.causes
    }
    if known - recorded:
        return True
    return any(cause in evidence.acquitted for _, cause in recorded)
