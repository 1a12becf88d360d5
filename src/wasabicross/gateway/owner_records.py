"""How the known owner records follow those of the store, over its eras too."""

from __future__ import annotations

from wasabicross.gateway.changes import OwnerRecordUpdate
from wasabicross.gateway.ownership import OwnerRecord
from wasabicross.gateway.store_position import position, revision_of


def unconfirmed(known: OwnerRecord, era: int, now_s: float) -> OwnerRecord:
    """Return a record whose write a new era of the store may have lost.

    Its owner is still believed to own the group. The time that a takeover waits
    begins anew, as the owner may have renewed the record unseen.

    :param known: the record of an earlier era.
    :param era: the new era.
    :param now_s: the present time, monotonic seconds.
    """
    return known._replace(
        revision=position(era, 0), unchanged_since_s=now_s, is_restored=True
    )


def updated_record(
    known: OwnerRecord | None, change: OwnerRecordUpdate, now_s: float
) -> OwnerRecord:
    """Return a record after a change in the store.

    A record from an older copy names an owner that may have lost the group
    since, so it doesn't replace the owner that is known from the era before.

    :param known: the record as known, None if there was none.
    :param change: the change.
    :param now_s: the present time, monotonic seconds.
    """
    if known is not None:
        if change.revision <= known.revision:
            return known
        is_unconfirmed = known.is_restored and not revision_of(known.revision)
        if change.is_restored and is_unconfirmed:
            return known._replace(
                revision=change.revision, unchanged_since_s=now_s
            )
    return OwnerRecord(
        change.group,
        change.instance,
        change.host,
        change.revision,
        now_s,
        change.is_released,
        change.is_restored,
    )
