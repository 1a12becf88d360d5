"""Requests are admitted within bounds, and refused at once beyond them.

Without bounds one tenant, class or adapter could use all capacity, and calls
would wait until they miss their deadlines.
"""

import random

import pytest

from wasabicross.callers.admission import (
    Admission,
    AdmissionLimits,
    Admitted,
    Refused,
)

LIMITS = AdmissionLimits(
    capacity=20,
    slots=40,
    adapter_share=0.25,
    class_shares={'draft': 0.5},
    tenant_weights={'big': 3},
)


def fill(admission, requests):
    for count, request in requests:
        for _ in range(count):
            answer = admission.admit(*request.split(), 60, 0)
            assert isinstance(answer, Admitted), (request, answer)


@pytest.mark.parametrize(
    ('before', 'request_', 'reason'),
    [
        ([(5, 't order a')], 't order a', 'adapter-limit'),
        ([(5, 't order a')], 't order b', None),
        ([(5, 't draft a'), (5, 't draft b')], 't draft c', 'class-limit'),
        ([(5, 't draft a'), (5, 't draft b')], 't order c', None),
        # One tenant alone may use all capacity but a reserve for others.
        ([(5, f't order {name}') for name in 'abcd'], 't order e', 'capacity'),
        (
            [(5, 't order a'), (5, 't order b'), (5, 't order c')]
            + [(1, 'u order d'), (2, 't order d')],
            't order e',
            'tenant-share',
        ),
        (
            [(5, 't order a'), (5, 't order b'), (5, 't order c')]
            + [(1, 'u order d'), (2, 't order d')],
            'u order e',
            None,
        ),
        # A weight of 3 beside 1 guarantees a tenant 15 of the 20 requests.
        (
            [(1, 'u order d'), (3, 'u order e')]
            + [(5, 'big order a'), (5, 'big order b'), (4, 'big order c')],
            'big order d',
            None,
        ),
    ],
)
def test_limits(before, request_, reason):
    admission = Admission(LIMITS, random.Random(1))
    fill(admission, before)
    answer = admission.admit(*request_.split(), 60, 0)
    assert getattr(answer, 'reason', None) == reason


@pytest.mark.parametrize(
    ('deadline_s', 'admitted'),
    [(0.5, False), (1.5, True), (0, False)],
)
def test_expected_wait_is_compared_with_the_deadline(deadline_s, admitted):
    limits = AdmissionLimits(50, 4, adapter_share=1, run_s=1)
    admission = Admission(limits, random.Random(1))
    fill(admission, [(7, 't order a')])
    answer = admission.admit('t', 'order', 'a', deadline_s, 0)
    assert isinstance(answer, Admitted) is admitted
    if not admitted:
        assert answer.reason == 'deadline'


def test_release_frees_capacity_once():
    admission = Admission(LIMITS, random.Random(1))
    fill(admission, [(4, 't order a')])
    token = admission.admit('t', 'order', 'a', 60, 0)
    for _ in range(3):
        admission.release(token, run_s=2)
    assert admission.in_flight == 4
    assert isinstance(admission.admit('t', 'order', 'a', 60, 0), Admitted)
    assert isinstance(admission.admit('t', 'order', 'a', 60, 0), Refused)


@pytest.mark.parametrize(('refusals', 'least_span_s'), [(10, 2), (400, 14)])
def test_refused_callers_get_different_retry_times(refusals, least_span_s):
    admission = Admission(LIMITS, random.Random(1))
    fill(admission, [(5, f't order {name}') for name in 'abcd'])
    answers = [
        admission.admit('t', 'order', 'e', 60, number / 100)
        for number in range(refusals)
    ]
    times = [answer.retry_after_s for answer in answers]
    assert min(times) >= 1
    assert max(times) <= 30
    assert max(times) - min(times) >= least_span_s


def test_idle_tenants_are_forgotten():
    admission = Admission(LIMITS, random.Random(1))
    for number in range(5):
        token = admission.admit(f't{number}', 'order', '', 60, number)
        admission.release(token)
    assert admission.fair_share('u', 5) == pytest.approx(20 / 6)
    assert admission.fair_share('u', 60) == pytest.approx(20)


def test_calls_to_services_neither_wait_for_slots_nor_take_them():
    limits = AdmissionLimits(50, 4, adapter_share=1, run_s=1)
    admission = Admission(limits, random.Random(1))
    for _ in range(9):
        admission.admit('t', 'order', '', 60, 0)
    assert admission.expected_wait_s() == 0
    fill(admission, [(9, 't draft a')])
    assert admission.expected_wait_s() == pytest.approx(6 / 4)
    assert isinstance(admission.admit('t', 'order', '', 1, 0), Admitted)
    assert isinstance(admission.admit('t', 'draft', 'a', 1, 0), Refused)


def test_fewer_slots_refuse_what_would_miss_its_deadline():
    admission = Admission(
        AdmissionLimits(50, 50, adapter_share=1, run_s=1), random.Random(1)
    )
    fill(admission, [(9, 't draft a')])
    assert isinstance(admission.admit('t', 'draft', 'a', 1, 0), Admitted)
    admission.set_slots(2)
    assert isinstance(admission.admit('t', 'draft', 'a', 1, 0), Refused)


@pytest.mark.parametrize(
    ('open_calls', 'adapter', 'reason'),
    [(13, 'a', None), (44, 'a', 'queue'), (44, '', None)],
)
def test_queue_is_bounded_whatever_the_deadline(open_calls, adapter, reason):
    limits = AdmissionLimits(200, 4, adapter_share=1, run_s=1)
    admission = Admission(limits, random.Random(1))
    fill(admission, [(open_calls, 't draft a')])
    answer = admission.admit('t', 'draft', adapter, 600, 0)
    assert getattr(answer, 'reason', None) == reason


def test_full_queue_keeps_a_reserve_for_tenants_within_their_shares():
    limits = AdmissionLimits(200, 4, adapter_share=1, run_s=1)
    admission = Admission(limits, random.Random(1))
    # Up to 44 model calls wait at most 10 s, a tenth of these is reserved.
    admission.release(admission.admit('small', 'draft', 'a', 60, 0))
    fill(admission, [(40, 'big draft a')])
    refused = admission.admit('big', 'draft', 'a', 60, 1)
    assert refused.reason == 'tenant-share'
    fill(admission, [(4, 'small draft a')])
    assert admission.admit('small', 'draft', 'a', 60, 1).reason == 'queue'
