"""The load tool times answers, and its arrivals are seeded and skewed."""

import asyncio
import itertools
from collections import Counter

import pytest
import urllib3

from emulator.arrivals import Arrival, Arrivals, Popularity
from emulator.fleet import Program
from emulator.load import Load, describe, percentile
from emulator.stream_client import ChunkedDecoder, StreamCall
from emulator.waiting import free_ports

WIRE = b'3\r\nabc\r\n1;x=y\r\nd\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n'


@pytest.mark.parametrize('step', [1, 2, 3, 5, 7, 11, len(WIRE)])
def test_dechunker_at_any_cut(step):
    decoder = ChunkedDecoder()
    body = b''
    for at in range(0, len(WIRE), step):
        assert not decoder.is_complete
        body += decoder.feed(WIRE[at : at + step])
    assert body == b'abcd0123456789abcdef'
    assert decoder.is_complete


@pytest.mark.parametrize('seed', [1, 2])
def test_arrivals(seed):
    popularity = Popularity(100, 1, shift_at_s=500, shift_by=50)
    plan = list(Arrivals(20, 30, popularity, seed).until(1000))
    assert plan == list(Arrivals(20, 30, popularity, seed).until(1000))
    assert len(plan) == pytest.approx(20_000, rel=0.05)
    assert sum(each.tokens for each in plan) / len(plan) == pytest.approx(
        30, rel=0.05
    )
    for hottest, part in itertools.groupby(
        plan, lambda each: 50 * (each.at_s >= 500)
    ):
        counts = Counter(each.number for each in part)
        assert counts.most_common(1)[0][0] == hottest
        assert 1.5 < counts[hottest] / counts[(hottest + 1) % 100] < 2.7


@pytest.mark.parametrize(('share', 'found'), [(0, 1), (0.5, 3), (0.99, 4)])
def test_percentile(share, found):
    assert percentile([4, 1, 3, 2], share) == found


@pytest.fixture(scope='module')
def engine_url(runner):
    (port,) = free_ports(1)
    args = ('--port', str(port), '--first-token-ms', '300')
    args += ('--cached-first-token-ms', '300')
    address = f'127.0.0.1:{port}'
    runner.run(Program('engine', 'emulator.engine', args, f'tcp://{address}'))
    order = {'lora_name': 'a@1#1.1', 'lora_path': 'a/1'}
    loaded = urllib3.request(
        'POST', f'http://{address}/v1/load_lora_adapter', json=order
    )
    assert loaded.status == 200
    return f'http://{address}'


@pytest.mark.parametrize(
    ('model', 'max_in_flight', 'made', 'status'),
    [('a@1#1.1', 50, 18, 200), ('a@1#1.1', 3, 3, 200), ('none', 50, 18, 404)],
)
def test_load_on_an_engine(engine_url, model, max_in_flight, made, status):
    call = StreamCall(engine_url, '/v1/chat/completions', model, 5)
    plan = list(Arrivals(1000, 5, Popularity(1), 1).until(0.1))[:18]
    load = Load(lambda arrival: call, max_in_flight)
    load_calls = asyncio.run(load.run(plan))
    assert len(load_calls) == 18
    records = [load_call.record for load_call in load_calls if load_call.record]
    assert [record.status for record in records] == [status] * made
    assert all(record.is_complete for record in records)
    if status == 200:
        assert {record.produced_by for record in records} == {'a@1'}
        assert {len(record.gaps_s) for record in records} == {4}
        assert min(record.first_token_s for record in records) >= 0.3
        assert describe(load_calls[0])['gap_ms_p50'] >= 30


def test_no_answer_is_recorded():
    (port,) = free_ports(1)
    call = StreamCall(f'http://127.0.0.1:{port}', '/', 'a', 1)
    plan = [Arrival(0, 0, 1)]
    load_calls = asyncio.run(Load(lambda arrival: call, 1).run(plan))
    assert (load_calls[0].record.status, load_calls[0].record.is_complete) == (
        0,
        False,
    )
