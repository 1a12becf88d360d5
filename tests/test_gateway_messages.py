"""Messages between gateways survive the codec; malformed ones are refused."""

import cbor2
import pytest

from wasabicross.gateway.messages import (
    AdapterUsage,
    HeldAdapter,
    HeldAdaptersUpdate,
    Hello,
    LoadEnded,
    LoadWanted,
    ServerOccupancy,
    ServerState,
    StoreCopyRequest,
    StoreStatus,
    StoreUpdate,
    StoreUpdatesRequest,
    UsageUpdate,
    decode,
    encode,
)
from wasabicross.gateway.store import StoredItem
from wasabicross.messaging.errors import MessageMalformed


@pytest.mark.parametrize(
    'message',
    [
        Hello('front-1'),
        ServerState('s1', 5, 0, 1, True, (HeldAdapter('m0', 'a1', 2),)),
        ServerState('s1', 5, 0, 1, True, (), ('m0', 'm1')),
        LoadWanted(1, 's1', 'm0', 'a1', 2, 0, 900),
        LoadEnded(1, 0, 'not loaded'),
        UsageUpdate((AdapterUsage('s1', 'm0', 'a1', 3),)),
        ServerOccupancy('s1', 5, 0, 1),
        StoreUpdatesRequest('front-1'),
        StoreCopyRequest('front-1'),
        HeldAdaptersUpdate(
            's1',
            5,
            True,
            (HeldAdapter('m0', 'a1', 2),),
            (HeldAdapter('m0', 'a2', 1),),
        ),
        StoreUpdate(3, 5, (StoredItem('k', 4, b'v'), StoredItem('l', 5, None))),
        StoreStatus(5, False),
    ],
)
def test_round_trip(message):
    assert decode(encode(message)) == (message,)
    assert decode(encode(message, message)) == (message, message)


@pytest.mark.parametrize(
    'frame',
    [
        'text',
        b'',
        b'\xff',
        cbor2.dumps({}),
        cbor2.dumps([[]]),
        cbor2.dumps([[99, 'front-1']]),
        cbor2.dumps([[0]]),
        cbor2.dumps([[0, 7]]),
        cbor2.dumps([[0, 'front-1'], [0, 7]]),
        cbor2.dumps([[3, 1, '2', '']]),
        cbor2.dumps([[4, [['s1', 'm0', 'a1', 'x']]]]),
        cbor2.dumps([[9, 's1', 5, True, [], [['m0', 'a2', 'x']]]]),
        cbor2.dumps([[7, 3, 5, [['k', 'x', None]]]]),
        # A value that isn't bytes, and numbers that overflow a fraction.
        cbor2.dumps([[7, 3, 5, [['k', 4, 7]]]]),
        cbor2.dumps([[7, 3, 5, [['k', 4, 'x']]]]),
        cbor2.dumps([[7, 3, 1 << 5000, []]]),
        cbor2.dumps([[5, 's1', 0, 1 << 5000, 0]]),
        cbor2.dumps([[5, 's1', 0, -1 << 5000, 0]]),
        cbor2.dumps([[1, 's1', 0, 0, 0, True, [], [{}]]]),
        cbor2.dumps([[1, 's1', 0, 0, 0, True, [], 7]]),
        b'\x81' * 100_000,
        b'\x81\x5b\xff\xff\xff\xff\xff\xff\xff\xff',
        b'\x9b\xff\xff\xff\xff\xff\xff\xff\xff',
    ],
)
def test_malformed(frame):
    with pytest.raises(MessageMalformed):
        decode(frame)
