"""Lists convictions for operators, and lifts them."""

from __future__ import annotations

import json
from typing import NamedTuple
from urllib.parse import unquote

from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.crashes.request_digest import is_request_digest
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Path of the list; a conviction's own path ends with its cause.
PATH = '/convictions'

_OK = 200
_NOT_FOUND = 404
_NOT_ALLOWED = 405


class Conviction(NamedTuple):
    """A conviction as operators see it.

    :param kind: `request` or `part`.
    :param crashes: number of separate crashes that count.
    :param servers: ids of the servers that crashed.
    :param last_crash_age_s: time since the last of these crashes, seconds.
    :param remaining_s: time until it is tried again, seconds.
    """

    cause: str
    kind: str
    crashes: int
    servers: tuple[str, ...]
    last_crash_age_s: float
    remaining_s: float


class ListingAnswer(NamedTuple):
    """The answer to an operator, whose body is JSON."""

    status: int
    body: bytes


def convictions(
    evidence: CrashEvidence, now_s: float
) -> tuple[Conviction, ...]:
    """Return all convictions.

    :param evidence: what this gateway knows of crashes.
    :param now_s: the present time, monotonic seconds.
    """
    return tuple(
        _conviction(evidence, cause, now_s)
        for cause in sorted(evidence.convicted())
    )


def answer_operator(
    method: bytes, path: str, sharing: CrashSharing, now_s: float
) -> ListingAnswer:
    """Answer a request for the list or for one conviction.

    `GET` lists all, `DELETE` of one lifts it at all gateways.

    :param method: method of the request.
    :param path: its path.
    :param sharing: what this gateway knows of crashes.
    :param now_s: the present time, monotonic seconds.
    """
    cause = unquote(path.removeprefix(PATH).lstrip('/'))
    if method == b'GET' and not cause:
        listed = convictions(sharing.evidence, now_s)
        return _answer(_OK, convictions=[each._asdict() for each in listed])
    if method != b'DELETE' or not cause:
        return _error(_NOT_ALLOWED, 'method_not_allowed', 'GET the list')
    if cause not in sharing.evidence.convicted():
        return _error(_NOT_FOUND, 'not_found', f'{cause} is not convicted')
    log_event(Event.CONVICTION_LIFTED, cause=cause)
    sharing.report_sound((cause,))
    return _answer(_OK, lifted=cause)


def _conviction(
    evidence: CrashEvidence, cause: str, now_s: float
) -> Conviction:
    crashes = [each for each in evidence.crashes if cause in each.causes]
    return Conviction(
        cause,
        'request' if is_request_digest(cause) else 'part',
        evidence.crashes_of(cause),
        tuple(each.key.server_id for each in crashes),
        round(now_s - max(each.at_s for each in crashes), 3),
        round(max(0, evidence.ends_s(cause) - now_s), 3),
    )


def _answer(status: int, **content: object) -> ListingAnswer:
    return ListingAnswer(status, json.dumps(content).encode())


def _error(status: int, code: str, message: str) -> ListingAnswer:
    return _answer(status, error={'code': code, 'message': message})
