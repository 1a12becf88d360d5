"""Wants tell how many wait and for how long, wherever they are placed."""

import pytest

from wasabicross.loads.load_queue import LoadQueue
from wasabicross.loads.load_requests import LoadRequestSender
from wasabicross.messaging.messages import WantLoad

WANT = WantLoad('a', '1', 'base', 'group', 'draft', 0, [])


def told(sent):
    return [(want.waiting, want.waited_s) for want in sent]


def test_wait_counts_from_the_first_that_waits():
    sent = []
    wants = LoadRequestSender(sent.append)
    with wants.waiting(WANT, 10):
        wants.send(WANT, 10)
        with wants.waiting(WANT, 11):
            wants.send(WANT, 11)
            wants.send(WANT, 11.1)
        wants.send(WANT, 12)
    with wants.waiting(WANT, 20):
        wants.send(WANT, 20.5)
    wants.send(WANT, 30)
    assert told(sent) == [(1, 0), (2, 1), (1, 2), (1, 0.5), (0, 0)]


class NoPermits:
    """Keeps since when the requests wait that a permit is asked for."""

    def __init__(self):
        self.since_s = []

    def request(self, server_id, load_request, waiting_since_s):
        self.since_s.append(waiting_since_s)


class NoLink:
    """Takes what is sent."""

    def send(self, message):
        return True


@pytest.mark.parametrize(
    ('wants', 'since_s'),
    [
        # One that was declined elsewhere has waited before it comes.
        ([(10, 4)], 6),
        ([(10, 0)], 10),
        ([(10, 1), (11, 5)], 6),
        ([(10, 4), (11, 0)], 6),
    ],
)
def test_a_want_keeps_its_age_where_it_comes_to(wants, since_s):
    permits = NoPermits()
    queue = LoadQueue('s', permits)
    for now_s, waited_s in wants:
        want = WANT._replace(waiting=1, waited_s=waited_s)
        queue.add(want, NoLink(), now_s)
    (wanted,) = queue.due(11)
    queue.take_permit(wanted, 11)
    assert permits.since_s == [since_s]
