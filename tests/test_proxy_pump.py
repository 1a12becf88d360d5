"""The byte counts of one direction of a proxied connection."""

import pytest

from emulator.proxy_pump import Faults, Pump


class Sink:
    """Records how many bytes the pump counts as waiting during each send."""

    def __init__(self):
        self.pump = None
        self.waiting = []
        self.sent = b''

    def send(self, data):
        self.waiting.append(self.pump.counts()['waiting'])
        self.sent += data
        return len(data)


def pump_to(sink):
    sink.pump = Pump('up', None, sink, use_reset=bool)
    return sink.pump


def test_bytes_that_pass_never_count_as_waiting():
    sink = Sink()
    pump = pump_to(sink)
    faults = Faults(hold=('up',), hold_text='late')
    pump.enqueue(b'other', faults, now_s=1)
    assert pump.counts()['waiting'] == 0
    pump.deliver(faults, now_s=1)
    assert (sink.sent, sink.waiting) == (b'other', [0])


@pytest.mark.parametrize(
    'faults',
    [
        Faults(hold=('up',)),
        Faults(hold=('up',), hold_text='late'),
        Faults(delay_ms=1000),
    ],
)
def test_bytes_count_as_waiting_until_they_have_left(faults):
    sink = Sink()
    pump = pump_to(sink)
    pump.enqueue(b'late', faults, now_s=1)
    pump.deliver(faults, now_s=1)
    assert pump.counts()['waiting'] == 4
    pump.deliver(Faults(), now_s=2)
    assert (sink.sent, sink.waiting) == (b'late', [4])
    assert pump.counts()['waiting'] == 0
