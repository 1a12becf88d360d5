"""Log output is bounded and never blocks on a slow reader."""

import os
import time

import pytest

from wasabicross.gateway.log_output import LogOutput

LINE = 'x' * 999 + '\n'


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_come_whole_and_in_order(pipe):
    reader, writer = pipe
    output = LogOutput(writer)
    for number in range(3):
        output.write(f'line {number}\n')
        output.flush()
    assert os.read(reader, 100) == b'line 0\nline 1\nline 2\n'


def test_reader_that_stops_delays_nothing(pipe):
    reader, writer = pipe
    output = LogOutput(writer)
    started_s = time.monotonic()
    for _ in range(2000):
        output.write(LINE)
        output.flush()
    assert time.monotonic() - started_s < 1
    assert output.take_dropped() > 1000
    assert output.take_dropped() == 0
    output_bytes = os.read(reader, 10**6)
    assert set(output_bytes.split(b'\n')[:-1]) == {LINE[:-1].encode()}


def test_volume_is_bounded_though_somebody_reads(pipe):
    reader, writer = pipe
    output = LogOutput(writer)
    os.set_blocking(reader, False)
    read_bytes = 0
    for _ in range(2000):
        output.write(LINE)
        output.flush()
        read_bytes += len(os.read(reader, 10**6)) if output.dropped == 0 else 0
    assert read_bytes < 600_000
    assert output.dropped > 1000


def test_line_goes_on_where_the_reader_stopped(pipe):
    reader, writer = pipe
    output = LogOutput(writer)
    for _ in range(100):
        output.write(LINE)
    output.flush()
    received = b''
    while len(received) < 100 * len(LINE):
        received += os.read(reader, 10**6)
        output.flush()
    assert received == LINE.encode() * 100


def test_reader_that_has_gone_is_no_error():
    reader, writer = os.pipe()
    output = LogOutput(writer)
    os.close(reader)
    output.write(LINE)
    output.flush()
    assert output.take_dropped() == 1
    os.close(writer)
