"""Frames of any content are decoded or refused, never an exception.

Guards against a malformed frame that ends the thread or task of a link.
"""

import random

import cbor2
import pytest

from wasabicross.gateway import messages as gateway_messages
from wasabicross.messaging import messages
from wasabicross.messaging.errors import MessageMalformed

SEEDS = range(20)
FRAMES_PER_SEED = 200
#: Nesting of random values, and the longest list in them.
MAX_DEPTH = 4
MAX_ITEMS = 6
LEAVES = (
    None,
    True,
    0,
    1,
    3,
    -1,
    2**63,
    0.5,
    float('nan'),
    '',
    'm0',
    b'\x00',
    {},
)


def random_value(rng, depth=MAX_DEPTH):
    """Return a nested value as a link could receive it."""
    if depth and rng.random() < 0.5:
        count = rng.randrange(MAX_ITEMS)
        return [random_value(rng, depth - 1) for _ in range(count)]
    return rng.choice(LEAVES)


def random_frames(seed):
    """Yield frames: random values, each also with one byte changed."""
    rng = random.Random(seed)
    for _ in range(FRAMES_PER_SEED):
        envelope = [random_value(rng) for _ in range(4)]
        if rng.random() < 0.5:
            envelope[2] = rng.randrange(-3, len(messages.MESSAGES) + 3)
        frame = cbor2.dumps(envelope)
        yield frame
        broken = bytearray(frame)
        broken[rng.randrange(len(broken))] = rng.randrange(256)
        yield bytes(broken)


@pytest.mark.parametrize('seed', SEEDS)
def test_random_frames_between_instances(seed):
    for frame in random_frames(seed):
        result = messages.decode(frame)
        assert result.is_ok() or isinstance(result.error, MessageMalformed)


@pytest.mark.parametrize('seed', SEEDS)
def test_random_frames_between_gateways(seed):
    for frame in random_frames(seed):
        try:
            gateway_messages.decode(frame)
        except MessageMalformed:
            continue


@pytest.mark.parametrize(
    'envelope',
    [
        # A list can't be looked up in a set.
        [[1], 1, 3, []],
        [{}, 1, 3, []],
        # Codes count from 0, so a negative one names no message.
        [0, 0, -1, []],
        [0, 0, True, []],
        [True, 0, 0, []],
        [0, True, 0, []],
        [0, 0, [], []],
        [0, 0, 0, 7],
        [0, 0, 0],
        7,
    ],
)
def test_malformed_envelopes(envelope):
    result = messages.decode(cbor2.dumps(envelope))
    assert result.is_error()
    assert isinstance(result.error, MessageMalformed)
