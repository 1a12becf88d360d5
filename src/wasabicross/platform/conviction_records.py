"""The stored record of convictions."""

from __future__ import annotations

import json
from typing import Any

from wasabicross.gateway.conviction_records import (
    MAX_ACQUITTED,
    MAX_CAUSES,
    MAX_CRASHES,
    CrashKey,
    StoredAcquittal,
    StoredConvictions,
    StoredCrash,
)
from wasabicross.platform.values import integer, number, rows, text

#: Key of the record.
CONVICTIONS_KEY = 'wasabicross/convictions'

_MS_IN_S = 1000


def encode_convictions(stored: StoredConvictions) -> bytes:
    """Encode the record.

    :param stored: its content.
    """
    record = {
        'crashes': [
            {
                'server': each.key.server_id,
                'start': each.key.start_ms,
                'age': _rounded(each.age_s),
                'causes': sorted(each.causes),
            }
            for each in stored.crashes
        ],
        'acquitted': [
            {'cause': each.cause, 'age': _rounded(each.age_s)}
            for each in stored.acquitted
        ],
    }
    return json.dumps(record).encode()


def decode_convictions(wire: Any) -> StoredConvictions:
    """Return the content of the record.

    :param wire: the parsed record.
    :raises ValueError: it isn't such a record.
    """
    crashes = rows(wire['crashes'])
    acquitted = rows(wire['acquitted'])
    if len(crashes) > MAX_CRASHES or len(acquitted) > MAX_ACQUITTED:
        raise ValueError(f'{len(crashes)} crashes, {len(acquitted)} acquitted')
    return StoredConvictions(
        tuple(_crash(each) for each in crashes),
        tuple(
            StoredAcquittal(text(each['cause']), number(each['age']))
            for each in acquitted
        ),
    )


def _crash(wire: Any) -> StoredCrash:
    causes = frozenset(text(each) for each in rows(wire['causes']))
    if len(causes) > MAX_CAUSES:
        raise ValueError(f'{len(causes)} causes of a crash')
    key = CrashKey(text(wire['server']), integer(wire['start']))
    return StoredCrash(key, number(wire['age']), causes)


def _rounded(age_s: float) -> float:
    """Return an age that isn't higher, so that the bound still holds."""
    return int(age_s * _MS_IN_S) / _MS_IN_S
