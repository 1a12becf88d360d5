"""What an owner knows of the uses on an engine, and for how long."""

import pytest

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.engine_usage import EngineUsage

A = AdapterKey('m0', 'a1')
B = AdapterKey('m0', 'a2')


def uses_of(*words):
    uses = EngineUsage()
    for key, user, running, at_s in words:
        uses.on_use(key, user, running, at_s)
    return uses


@pytest.mark.parametrize(
    ('words', 'requests'),
    [
        ([], 0),
        ([(A, 'g1', 2, 9.9)], 2),
        ([(A, 'g1', 2, 9.9), (A, 'g2', 1, 9.8), (B, 'g1', 4, 9.7)], 7),
        # The last word of a gateway counts, until it should have come again.
        ([(A, 'g1', 2, 9.5), (A, 'g1', 5, 9.9)], 5),
        ([(A, 'g1', 2, 9.5), (A, 'g1', 0, 9.9)], 0),
        ([(A, 'g1', 2, 8.7), (A, 'g2', 1, 9.9)], 1),
    ],
)
def test_requests_under_way_are_counted(words, requests):
    assert uses_of(*words).requests(10.0) == requests


@pytest.mark.parametrize(
    ('words', 'is_free'),
    [
        ([], True),
        ([(A, 'g1', 1, 9.9)], False),
        ([(A, 'g1', 1, 3.0)], False),
        ([(A, 'g1', 1, 1.9)], True),
        ([(A, 'g1', 1, 9.0), (A, 'g1', 0, 9.8)], False),
        ([(A, 'g1', 1, 9.0), (A, 'g1', 0, 9.7)], True),
        ([(A, 'g1', 1, 3.0), (A, 'g2', 1, 9.0), (A, 'g2', 0, 9.4)], False),
    ],
)
def test_adapters_in_use_are_not_free(words, is_free):
    uses = uses_of(*words)
    assert uses.is_free(A, 10.0) is is_free
    assert uses.is_free(B, 10.0)


def test_uses_of_long_ago_are_forgotten_unless_they_are_held():
    uses = uses_of((A, 'g1', 0, 10.0), (B, 'g1', 0, 10.0))
    uses.drop_old({A}, 41.0)
    assert uses.last_use_s(A) == 10.0
    assert uses.last_use_s(B) < 0
