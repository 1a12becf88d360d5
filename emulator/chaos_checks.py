"""Checks of a chaos run's promises against the stand-ins' logs."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import pairwise
from typing import Any, NamedTuple

from emulator.chaos_callers import CallResult
from emulator.chaos_crashers import Crash
from wasabicross.callers.replies import CRASHES_SERVERS

END_MARK = b'data: [DONE]\n\n'


class Evidence(NamedTuple):
    """The evidence of a run.

    :param results: results of the callers' requests.
    :param engines: log documents of the engines, by name.
    :param services: log documents of the plain services, by name.
    :param versions: adapter versions of each bundle, by its number.
    :param in_force: bundles that each program put in force, in order, and 0
        for each of its starts.
    :param crasher_results: results of the crashing request.
    :param crashes: crashes of engines by that request.
    :param max_crashes: maximum number of crashes allowed.
    :param restarted: entries that were restarted during the run.
    """

    results: list[CallResult]
    engines: Mapping[str, dict[str, Any]]
    services: Mapping[str, dict[str, Any]]
    versions: Mapping[int, Mapping[str, str]]
    in_force: Mapping[str, list[int]]
    crasher_results: Sequence[CallResult] = ()
    crashes: Sequence[Crash] = ()
    max_crashes: int = 0
    restarted: frozenset[str] = frozenset()


def violations(evidence: Evidence) -> list[str]:
    """Return a description of each broken promise.

    :param evidence: evidence of the run.
    """
    return [
        *_evicted_in_progress(evidence),
        *_run_twice(evidence.services),
        *_run_though_refused(evidence),
        *_wrong_version(evidence),
        *_incomplete_taken_as_complete(evidence.results),
        *_order_answers(evidence),
        *_older_bundles(evidence.in_force),
        *_crashes(evidence),
        *_harmless_requests(evidence),
    ]


def completed(results: Iterable[CallResult]) -> list[CallResult]:
    """Return the results with status 200 and a complete body."""
    return [each for each in results if each.status == 200 and each.is_complete]


def _evicted_in_progress(evidence: Evidence) -> Iterator[str]:
    logged = [(crash.engine, crash.logged) for crash in evidence.crashes]
    for name, engine in (*evidence.engines.items(), *logged):
        if engine['evicted_in_progress']:
            count = engine['evicted_in_progress']
            yield f'{name}: {count} requests evicted in progress'


def _executions(
    services: Mapping[str, dict[str, Any]], field: str
) -> Counter[str]:
    counts: Counter[str] = Counter()
    for service in services.values():
        counts.update(service[field])
    return counts


def _run_twice(services: Mapping[str, dict[str, Any]]) -> Iterator[str]:
    for key, count in _executions(services, 'executions_by_key').items():
        if key and count > 1:
            yield f'order {key} ran {count} times'


def _run_though_refused(evidence: Evidence) -> Iterator[str]:
    ran = _executions(evidence.services, 'executions_by_request')
    ran.update(crash.crashed_by for crash in evidence.crashes)
    logged = [crash.logged for crash in evidence.crashes]
    for engine in (*evidence.engines.values(), *logged):
        ran.update(
            entry['request_id']
            for entry in engine['log']
            if entry['event'] == 'request' and entry['tokens']
        )
    for result in (*evidence.results, *evidence.crasher_results):
        if result.outcome == 'not-run' and ran[result.request_id]:
            yield f'{result.request_id} ran although it was answered as not-run'


def _wrong_version(evidence: Evidence) -> Iterator[str]:
    for result in completed(evidence.results):
        if not result.adapter:
            continue
        bundle = int(result.headers['X-Wasabicross-Bundle'])
        version = evidence.versions[bundle][result.adapter]
        text = _text(result.body)
        if not text.startswith(f'[{result.adapter}@{version}]'):
            yield (
                f'{result.request_id}: bundle {bundle} has version {version}, '
                f'text begins {text[:40]}'
            )


def _incomplete_taken_as_complete(
    results: Iterable[CallResult],
) -> Iterator[str]:
    for each in completed(results):
        if not each.adapter:
            continue
        events = each.body.count(b'data: ') - 1
        if events != each.tokens or not each.body.endswith(END_MARK):
            yield (
                f'{each.request_id}: answer counted as complete has '
                f'{events} of {each.tokens} tokens or no end mark'
            )


def _order_answers(evidence: Evidence) -> Iterator[str]:
    """Check that answers of one key are the same, and that its order ran."""
    ran = _executions(evidence.services, 'executions_by_key')
    answers: dict[str, bytes] = {}
    for result in completed(evidence.results):
        if not result.key:
            continue
        if answers.setdefault(result.key, result.body) != result.body:
            yield f'order {result.key} has two different answers'
        if not ran[result.key]:
            yield f'order {result.key} was answered but did not run'


def _older_bundles(in_force: Mapping[str, list[int]]) -> Iterator[str]:
    for name, bundles in in_force.items():
        for before, after in pairwise(bundles):
            if 0 < after <= before:
                yield f'{name}: bundle {after} came into force after {before}'


def _crashes(evidence: Evidence) -> Iterator[str]:
    lost = [crash.engine for crash in evidence.crashes]
    if len(lost) > evidence.max_crashes:
        yield f'{lost} crashed, at most {evidence.max_crashes} allowed'
    for result in completed(evidence.crasher_results):
        yield f'{result.request_id} crashes engines but was answered'


def _harmless_requests(evidence: Evidence) -> Iterator[str]:
    """Check the results of requests that do not crash engines.

    None may be refused as a crasher, and each one that was on a crashed engine
    gets an answer.
    """
    for result in evidence.results:
        if CRASHES_SERVERS.code.encode() in result.body:
            yield f'{result.request_id} was wrongly refused as a crasher'
    for hit in hit_by_crashes(evidence):
        if not hit.status and hit.entry not in evidence.restarted:
            yield f'{hit.request_id} was on a crashed engine and got no answer'


def hit_by_crashes(evidence: Evidence) -> list[CallResult]:
    """Return the results of other requests that were on crashed engines.

    :param evidence: evidence of the run.
    """
    hit = {name for crash in evidence.crashes for name in crash.under_way}
    return [result for result in evidence.results if result.request_id in hit]


def _text(body: bytes) -> str:
    pieces = []
    for line in body.splitlines():
        if line.startswith(b'data: {'):
            event = json.loads(line.removeprefix(b'data: '))
            delta = event.get('choices', [{}])[0].get('delta', {})
            pieces.append(delta.get('content', ''))
    return ''.join(pieces)
