"""Prefill of prompts of different length: placement and maximum silence."""

import random

import pytest
from test_gateway_placement import candidate, held

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.loading.engine_usage import EngineUsage
from wasabicross.gateway.placement import (
    LoadOn,
    RandomDraws,
    SendTo,
    choose_server,
)
from wasabicross.gateway.prefill_rate import PendingPrefill, PrefillRate
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView
from wasabicross.platform.headers import PlatformDialect

A = AdapterKey('m0', 'a1')
B = AdapterKey('m0', 'a2')


@pytest.mark.parametrize(
    ('counts', 'tokens'),
    [
        (b'1460,80', 1460),
        (b' 9190 , 52', 9190),
        (b'77', 77),
        (b'', 0),
        (b'many,80', 0),
        (b'-5,80', 0),
    ],
)
def test_length_of_a_prompt(counts, tokens):
    fields = [(b'host', b'a'), (b'token-count', counts)]
    req = CallerRequest(b'POST', b'/x', fields, b'', 0)
    assert PlatformDialect().parse_request(req).prompt_tokens == tokens


def test_pace_is_learned_from_answers():
    rate = PrefillRate()
    assert rate.expected_s('llm', 10_000) == 0
    for _ in range(20):
        rate.on_answer('llm', 9000, 0.3)
        rate.on_answer('llm', 0, 9)
    assert rate.expected_s('llm', 18_000) == pytest.approx(0.6)
    assert rate.expected_s('other', 18_000) == 0
    # A change of the rate is learned within a few dozen answers.
    for _ in range(60):
        rate.on_answer('llm', 9000, 0.9)
    assert rate.expected_s('llm', 9000) > 0.75


@pytest.mark.parametrize(
    ('tokens', 'max_silence_s'),
    [(0, 1.2), (9000, 1.2), (30_000, 3), (60_000, 6)],
)
def test_a_server_with_much_to_read_is_not_left(tokens, max_silence_s):
    rate = PrefillRate()
    rate.on_answer('llm', 30_000, 1)
    prefilling = PendingPrefill(rate, 'llm', tokens, 10)
    assert prefilling.max_silence_s(0.8) == pytest.approx(max_silence_s)


@pytest.mark.parametrize(
    ('candidates', 'choice'),
    [
        # The holder whose prefill ends first.
        ([held('s1', prefill_share=0.6), held('s2')], SendTo('s2')),
        # A copy is loaded if many slots are free, not if other loads need them.
        (
            [held('s1', prefill_share=1), candidate('s2', spare_slots=5)],
            LoadOn('s2'),
        ),
        (
            [held('s1', prefill_share=1), candidate('s2', spare_slots=2)],
            SendTo('s1'),
        ),
        (
            [
                held('s1', prefill_share=1),
                candidate('s2', spare_slots=5, prefill_share=1),
            ],
            SendTo('s1'),
        ),
    ],
)
def test_choice_by_reading(candidates, choice):
    assert choose_server('a1', 1, candidates) == choice


def test_a_load_goes_where_reading_ends_soon():
    servers = [candidate(f's{number}') for number in range(8)]
    first = choose_server('a1', 1, servers).server_id
    prefilling = [
        each._replace(prefill_share=0.4) if each.server_id == first else each
        for each in servers
    ]
    assert choose_server('a1', 1, prefilling).server_id != first


@pytest.mark.parametrize(
    ('fields', 'other_fields', 'is_chosen'),
    [
        ({}, {}, True),
        # Prompts that it has yet to prefill, beyond small differences.
        ({'pending_prefill_s': 0.1}, {}, True),
        ({'pending_prefill_s': 0.4}, {}, False),
        # Running requests that the prompt would delay.
        ({'requests': 4, 'own_prefill_s': 0.5}, {'own_prefill_s': 0.5}, False),
        ({'requests': 4, 'own_prefill_s': 0.1}, {'own_prefill_s': 0.1}, True),
    ],
)
def test_a_load_goes_where_the_delay_is_short(fields, other_fields, is_chosen):
    first = choose_server('a1', 1, [candidate('s1'), candidate('s2')]).server_id
    other = 's2' if first == 's1' else 's1'
    choice = choose_server(
        'a1', 1, [candidate(first, **fields), candidate(other, **other_fields)]
    )
    assert (choice.server_id == first) is is_chosen


def test_where_all_slots_are_taken_the_shortest_queue_is_joined():
    servers = [
        candidate(f's{number}', spare_slots=-number % 5 - 5)
        for number in range(8)
    ]
    longest = max(each.spare_slots for each in servers)
    chosen = choose_server('a1', 1, servers).server_id
    assert servers[int(chosen[1:])].spare_slots == longest


def test_prompts_are_unread_until_their_answers_begin():
    view = FleetView()
    usage = UsageTracker(view)
    first = usage.begin('s1', A, 500)
    second = usage.begin('s1', A, 9000)
    assert view.own.unread_tokens['s1'] == 9500
    first.on_prefilled()
    assert view.own.unread_tokens['s1'] == 9000
    first.end()
    second.end()
    second.on_prefilled()
    assert not view.own.unread_tokens
    assert not view.own.requests


def test_nothing_is_left_of_requests_that_tell_no_length():
    view = FleetView()
    usage = UsageTracker(view)
    for number in range(100):
        key = AdapterKey('m0', f'a{number}')
        usage.begin('s1', key, 0).end()
    assert not view.own.unread_tokens
    assert not usage._unread
    assert not usage._running


def test_an_owner_counts_the_prompts_of_all_gateways():
    usage = EngineUsage()
    usage.on_use(A, 'g1', 1, 9.9, 500)
    usage.on_use(A, 'g2', 2, 9.9, 9000)
    usage.on_use(B, 'g1', 0, 9.9, 700)
    assert usage.unread_tokens(10) == 10_200
    assert not usage.is_free(B, 10)
    usage.on_use(B, 'g1', 0, 10, 0)
    assert usage.unread_tokens(10) == 9500
    # Usage that is not reported again no longer counts.
    assert usage.unread_tokens(12) == 0


def test_a_gateway_that_restarted_uses_nothing():
    usage = EngineUsage()
    usage.on_use(A, 'g1', 3, 9.5)
    usage.on_use(B, 'g1', 1, 9.5)
    usage.on_use(B, 'g2', 1, 9.5)
    usage.forget_usage('g1', 10)
    assert usage.requests(10) == 1
    assert usage.is_free(A, 11)
    assert not usage.is_free(B, 11)


ENGINES = 6
TOKENS_PER_S = 38_400
TARGET_S = 0.6
#: Delay until a gateway knows the requests of another one.
REPORT_DELAY_S = 0.1


def late_share(*, knows_prefill, is_held=True, load=0.55, count=6000):
    """Return the share of prompts whose first token is late.

    Engines prefill prompts in order of arrival, and only the choice among them
    makes a difference.

    :param knows_prefill: whether placement knows the pending prefill.
    :param is_held: whether all engines hold all adapters; else each request
        has another one, which has to be loaded.
    :param load: fraction of the prefill capacity in use.
    :param count: number of prompts.
    """
    rng = random.Random(20261204)
    mean_tokens = 0.5 * 9190 + 0.5 * 826
    per_s = load * ENGINES * TOKENS_PER_S / mean_tokens
    free_s = [0.0] * ENGINES
    sent = []
    at_s = 0.0
    late_count = 0
    for number in range(count):
        at_s += rng.expovariate(per_s)
        sent = [each for each in sent if each[2] > at_s]
        known = [each for each in sent if each[0] <= at_s - REPORT_DELAY_S]
        candidates = []
        for engine in range(ENGINES):
            on_engine = [each for each in known if each[1] == engine]
            prefill_s = max([each[2] - at_s for each in on_engine], default=0)
            candidates.append(
                candidate(
                    str(engine),
                    held_version=int(is_held),
                    requests=len(on_engine),
                    slots=64,
                    prefill_share=knows_prefill * prefill_s / TARGET_S,
                    pending_prefill_s=knows_prefill * prefill_s,
                )
            )
        draws = RandomDraws(rng.random(), 1)
        adapter = f'a{number}'
        engine = int(choose_server(adapter, 1, candidates, draws).server_id)
        tokens = rng.expovariate(1 / (9190 if rng.random() < 0.5 else 826))
        free_s[engine] = max(at_s, free_s[engine]) + tokens / TOKENS_PER_S
        sent.append((at_s, engine, free_s[engine]))
        late_count += free_s[engine] - at_s > TARGET_S
    return late_count / count


@pytest.mark.parametrize('is_held', [True, False])
def test_knowing_what_engines_read_makes_fewer_prompts_late(is_held):
    late_without = late_share(knows_prefill=False, is_held=is_held)
    late_with = late_share(knows_prefill=True, is_held=is_held)
    assert late_with < 0.6 * late_without
