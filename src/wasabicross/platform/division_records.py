"""The stored record of the division of a service's streams."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from wasabicross.gateway.stream_division_records import (
    MAX_FORMER,
    StoredDivision,
    StoredFormer,
)
from wasabicross.gateway.stream_divisions import BUCKETS, Buckets
from wasabicross.platform.values import integer, number, rows, text

#: Prefix of the keys of these records.
DIVISIONS_PREFIX = 'wasabicross/streams/'

_MAX_KEY_BYTES = 200
_HASH_BYTES = 16

#: Most software versions in a record, so that two digits denote each.
_MAX_VERSIONS = 256
_INDEX_DIGITS = 2

#: Longest age or time limit that is accepted, a day.
_MAX_AGE_S = 86400

_MS_IN_S = 1000


def division_key(service: str) -> str:
    """Return the key of the division of a service's streams.

    A name that would make the key too long is replaced by its hash. The record
    names the service; only one that can't be decoded isn't attributed to it and
    so never overwritten.

    :param service: name of the service.
    """
    key = f'{DIVISIONS_PREFIX}{service}'
    if len(key.encode()) <= _MAX_KEY_BYTES:
        return key
    digest = hashlib.blake2b(service.encode(), digest_size=_HASH_BYTES)
    return f'{DIVISIONS_PREFIX}~{digest.hexdigest()}'


def encode_division(service: str, stored: StoredDivision) -> bytes:
    """Encode a division.

    Buckets are written as one string of two hexadecimal digits each, the index
    of the version in a list.

    :param service: name of the service.
    :param stored: the division.
    """
    versions: dict[str, int] = {}
    buckets = _encode_buckets(stored.buckets, versions)
    announced = _encode_buckets(stored.announced, versions)
    former = []
    for each in stored.former:
        if len(versions.keys() | set(each.buckets)) > _MAX_VERSIONS:
            break
        encoded = _encode_buckets(each.buckets, versions)
        former.append({'buckets': encoded, 'age': _rounded(each.age_s)})
    record = {
        'service': service,
        'number': stored.number,
        'versions': list(versions),
        'buckets': buckets,
        'announced': announced,
        'age': _rounded(stored.announced_age_s),
        'former': former,
        'time_limit': stored.time_limit_s,
    }
    if stored.era:
        record['era'] = stored.era
    return json.dumps(record).encode()


def decode_division(key: str, wire: Any) -> tuple[str, StoredDivision]:
    """Return the service and its division.

    :param key: key of the record.
    :param wire: the parsed record.
    :raises ValueError: it isn't such a record.
    """
    service = text(wire['service'])
    if division_key(service) != key:
        raise ValueError(f'record of the service {service!r} under {key!r}')
    versions = [_version(each) for each in rows(wire['versions'])]
    announced = wire['announced']
    former = rows(wire['former'])
    if len(former) > MAX_FORMER:
        raise ValueError(f'{len(former)} former buckets')
    return service, StoredDivision(
        integer(wire['number']),
        _decode_buckets(wire['buckets'], versions),
        _decode_buckets(announced, versions) if announced != '' else (),
        _age(wire['age']),
        tuple(
            StoredFormer(
                _decode_buckets(each['buckets'], versions), _age(each['age'])
            )
            for each in former
        ),
        _age(wire['time_limit']),
        _era(wire.get('era', 0)),
    )


def _encode_buckets(buckets: Buckets, versions: dict[str, int]) -> str:
    """Encode buckets and add their versions to those that are listed."""
    return ''.join(
        format(versions.setdefault(each, len(versions)), f'0{_INDEX_DIGITS}x')
        for each in buckets
    )


def _decode_buckets(wire: Any, versions: list[str]) -> Buckets:
    encoded = text(wire)
    if len(encoded) != BUCKETS * _INDEX_DIGITS:
        raise ValueError(f'expected {BUCKETS} buckets')
    indexes = bytes.fromhex(encoded)
    if len(indexes) != BUCKETS or max(indexes) >= len(versions):
        raise ValueError('buckets of a version that is not listed')
    return tuple(versions[index] for index in indexes)


def _version(wire: Any) -> str:
    """Return a software version, empty if the servers don't state any."""
    return '' if wire == '' else text(wire)


def _age(wire: Any) -> float:
    age_s = number(wire)
    if age_s > _MAX_AGE_S:
        raise ValueError(f'{age_s} s is out of range')
    return age_s


def _era(wire: Any) -> int:
    return 0 if wire == 0 else integer(wire)


def _rounded(age_s: float) -> float:
    """Return an age that isn't higher, so that the bound still holds."""
    return int(min(age_s, _MAX_AGE_S) * _MS_IN_S) / _MS_IN_S
