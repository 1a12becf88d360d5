"""What must hold after a chaos run, from the stand-ins' logs."""

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
    """What a run left behind.

    :param got: what the callers got.
    :param engines: log documents of the engines, by name.
    :param services: log documents of the plain services, by name.
    :param versions: adapter versions of each bundle, by its number.
    :param in_force: bundles that each program put in force, in order, and 0
        for each of its starts.
    :param crasher_got: what the caller of the crashing request got.
    :param crashes: engines that it crashed.
    :param max_crashes: how many it may crash.
    :param restarted: entries that were ended during the run.
    """

    got: list[CallResult]
    engines: Mapping[str, dict[str, Any]]
    services: Mapping[str, dict[str, Any]]
    versions: Mapping[int, Mapping[str, str]]
    in_force: Mapping[str, list[int]]
    crasher_got: Sequence[CallResult] = ()
    crashes: Sequence[Crash] = ()
    max_crashes: int = 0
    restarted: frozenset[str] = frozenset()


def violations(evidence: Evidence) -> list[str]:
    """Return each promise that was broken, in words.

    :param evidence: what the run left behind.
    """
    return [
        *_evicted_in_progress(evidence),
        *_doubled(evidence.services),
        *_run_though_refused(evidence),
        *_wrong_version(evidence),
        *_cut_passed_as_whole(evidence.got),
        *_order_answers(evidence),
        *_reverted(evidence.in_force),
        *_crashes(evidence),
        *_innocents(evidence),
    ]


def completed(got: Iterable[CallResult]) -> list[CallResult]:
    """Return the sendings that were answered whole."""
    return [each for each in got if each.status == 200 and each.is_whole]


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


def _doubled(services: Mapping[str, dict[str, Any]]) -> Iterator[str]:
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
    for got in (*evidence.got, *evidence.crasher_got):
        if got.outcome == 'not-run' and ran[got.request_id]:
            yield f'{got.request_id} was told not run, and ran'


def _wrong_version(evidence: Evidence) -> Iterator[str]:
    for got in completed(evidence.got):
        if not got.adapter:
            continue
        bundle = int(got.headers['X-Wasabicross-Bundle'])
        version = evidence.versions[bundle][got.adapter]
        text = _text(got.body)
        if not text.startswith(f'[{got.adapter}@{version}]'):
            yield f'{got.request_id}: bundle {bundle}, text {text[:40]}'


def _cut_passed_as_whole(got: Iterable[CallResult]) -> Iterator[str]:
    for each in completed(got):
        if not each.adapter:
            continue
        events = each.body.count(b'data: ') - 1
        if events != each.tokens or not each.body.endswith(END_MARK):
            yield f'{each.request_id}: {events} of {each.tokens} tokens'


def _order_answers(evidence: Evidence) -> Iterator[str]:
    """Each whole answer of one key is the same, and its order has run."""
    ran = _executions(evidence.services, 'executions_by_key')
    answers: dict[str, bytes] = {}
    for got in completed(evidence.got):
        if not got.key:
            continue
        if answers.setdefault(got.key, got.body) != got.body:
            yield f'order {got.key} has two answers'
        if not ran[got.key]:
            yield f'order {got.key} was answered, and did not run'


def _reverted(in_force: Mapping[str, list[int]]) -> Iterator[str]:
    for name, bundles in in_force.items():
        for before, after in pairwise(bundles):
            if 0 < after <= before:
                yield f'{name}: bundle {after} came after {before}'


def _crashes(evidence: Evidence) -> Iterator[str]:
    lost = [crash.engine for crash in evidence.crashes]
    if len(lost) > evidence.max_crashes:
        yield f'{lost} crashed, {evidence.max_crashes} at most may'
    for got in completed(evidence.crasher_got):
        yield f'{got.request_id} was answered, and crashes engines'


def _innocents(evidence: Evidence) -> Iterator[str]:
    """None is taken for a crasher; those on a crashed engine are told."""
    for got in evidence.got:
        if CRASHES_SERVERS.code.encode() in got.body:
            yield f'{got.request_id} was taken for a crasher'
    for told in beside_crashes(evidence):
        if not told.status and told.entry not in evidence.restarted:
            yield f'{told.request_id} ran on a crashed engine, and got nothing'


def beside_crashes(evidence: Evidence) -> list[CallResult]:
    """Return what was got by requests that a crash has hit.

    :param evidence: what the run left behind.
    """
    hit = {name for crash in evidence.crashes for name in crash.under_way}
    return [got for got in evidence.got if got.request_id in hit]


def _text(body: bytes) -> str:
    pieces = []
    for line in body.splitlines():
        if line.startswith(b'data: {'):
            event = json.loads(line.removeprefix(b'data: '))
            delta = event.get('choices', [{}])[0].get('delta', {})
            pieces.append(delta.get('content', ''))
    return ''.join(pieces)
