"""Checks on what answers hold, and streams over all tries of their callers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.soak.answer_parts import event, software_in, without_software
from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence

#: Most streams of a run that hold events of two software versions.
MAX_JOINED = 2

_OK = 200


def wrong_answers(evidence: Evidence) -> Iterator[str]:
    """Yield answers whose id or body is not that of the request.

    An answer to a take-up begins with the event after the one that it names.

    :param evidence: what callers and back ends recorded.
    """
    for result in evidence.results:
        if result.status != _OK:
            continue
        body = without_software(result.body)
        if result.echoed_id != result.request_id:
            yield f'{result.request_id} got the answer of {result.echoed_id}'
        elif not _expected(result).startswith(body):
            whole = (
                'another body' if result.is_complete else 'pieces of another'
            )
            yield f'{result.request_id} got an answer with {whole}'
        elif result.is_complete and body != _expected(result):
            yield f'{result.request_id} got part of its answer as the whole one'


def streams_of_two_versions(evidence: Evidence) -> Iterator[str]:
    """Yield that too many streams hold events of two software versions.

    :param evidence: what callers and back ends recorded.
    """
    joined = joined_streams(evidence)
    if len(joined) > MAX_JOINED:
        yield (
            f'{len(joined)} streams of two software versions, '
            f'as {", ".join(joined[:MAX_JOINED])}'
        )


def joined_streams(evidence: Evidence) -> list[str]:
    """Return the first ids of streams with events of two software versions.

    :param evidence: what callers and back ends recorded.
    """
    found: dict[str, set[str]] = defaultdict(set)
    for result in evidence.results:
        stream = result.began or result.request_id
        found[stream] |= software_in(result.body)
    return [stream for stream, versions in found.items() if len(versions) > 1]


def _expected(result: CallResult) -> bytes:
    if not result.events:
        return f'{{"request": "{result.request_id}"}}'.encode()
    return b''.join(
        event(result.request_id, number)
        for number in range(result.after + 1, result.events + 1)
    )
