"""How an owner tracks adapter usage on an engine, and for how long."""

import pytest

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.loading.engine_usage import EngineUsage

A = AdapterKey('m0', 'a1')
B = AdapterKey('m0', 'a2')


def usage_after(*reports):
    usage = EngineUsage()
    for key, user, running, at_s in reports:
        usage.on_use(key, user, running, at_s)
    return usage


@pytest.mark.parametrize(
    ('reports', 'requests'),
    [
        ([], 0),
        ([(A, 'g1', 2, 9.9)], 2),
        ([(A, 'g1', 2, 9.9), (A, 'g2', 1, 9.8), (B, 'g1', 4, 9.7)], 7),
        # A gateway's latest report counts until the next one is overdue.
        ([(A, 'g1', 2, 9.5), (A, 'g1', 5, 9.9)], 5),
        ([(A, 'g1', 2, 9.5), (A, 'g1', 0, 9.9)], 0),
        ([(A, 'g1', 2, 8.7), (A, 'g2', 1, 9.9)], 1),
    ],
)
def test_running_requests_are_counted(reports, requests):
    assert usage_after(*reports).requests(10.0) == requests


@pytest.mark.parametrize(
    ('reports', 'is_free'),
    [
        ([], True),
        ([(A, 'g1', 1, 9.9)], False),
        ([(A, 'g1', 1, 3.0)], False),
        ([(A, 'g1', 1, 1.9)], True),
        ([(A, 'g1', 1, 9.0), (A, 'g1', 0, 9.96)], False),
        ([(A, 'g1', 1, 9.0), (A, 'g1', 0, 9.94)], True),
        ([(A, 'g1', 1, 3.0), (A, 'g2', 1, 9.0), (A, 'g2', 0, 9.4)], False),
        # Uses by others don't prolong the protection for a lost gateway.
        ([(A, 'g1', 1, 1.5), (A, 'g2', 1, 9.0), (A, 'g2', 0, 9.4)], True),
        ([(A, 'g1', 1, 1.5), (A, 'g2', 1, 9.0)], False),
    ],
)
def test_adapters_in_use_are_not_free(reports, is_free):
    usage = usage_after(*reports)
    assert usage.is_free(A, 10.0) is is_free
    assert usage.is_free(B, 10.0)


def test_old_usage_is_dropped_unless_the_adapter_is_held():
    usage = usage_after((A, 'g1', 0, 10.0), (B, 'g1', 0, 10.0))
    usage.drop_old({A}, 41.0)
    assert usage.last_use_s(A) == 10.0
    assert usage.last_use_s(B) < 0
