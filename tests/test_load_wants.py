"""Load requests say how many requests wait, and since when.

The controller ranks loads by this, so it must survive a request to a second
server.
"""

import pytest

from wasabicross.loads.load_queue import LoadQueue
from wasabicross.loads.load_requests import LoadRequestSender
from wasabicross.messaging.messages import WantLoad

LOAD_REQUEST = WantLoad('a', '1', 'base', 'group', 'draft', 0, [])


def waits(sent):
    return [
        (load_request.waiting, load_request.waited_s) for load_request in sent
    ]


def test_wait_counts_from_the_first_that_waits():
    sent = []
    sender = LoadRequestSender(sent.append)
    with sender.waiting(LOAD_REQUEST, 10):
        sender.send(LOAD_REQUEST, 10)
        with sender.waiting(LOAD_REQUEST, 11):
            sender.send(LOAD_REQUEST, 11)
            sender.send(LOAD_REQUEST, 11.1)
        sender.send(LOAD_REQUEST, 12)
    with sender.waiting(LOAD_REQUEST, 20):
        sender.send(LOAD_REQUEST, 20.5)
    sender.send(LOAD_REQUEST, 30)
    assert waits(sent) == [(1, 0), (2, 1), (1, 2), (1, 0.5), (0, 0)]


class RecordingPermits:
    """Records since when the requests of a permit have waited."""

    def __init__(self):
        self.since_s = []

    def request(self, server_id, load_request, waiting_since_s):
        self.since_s.append(waiting_since_s)


class IgnoringLink:
    """Accepts and ignores messages."""

    def send(self, message):
        return True


@pytest.mark.parametrize(
    ('wants', 'since_s'),
    [
        # A request that another server declined has waited before.
        ([(10, 4)], 6),
        ([(10, 0)], 10),
        ([(10, 1), (11, 5)], 6),
        ([(10, 4), (11, 0)], 6),
    ],
)
def test_a_load_request_keeps_its_age_at_another_server(wants, since_s):
    permits = RecordingPermits()
    queue = LoadQueue('s', permits)
    for now_s, waited_s in wants:
        load_request = LOAD_REQUEST._replace(waiting=1, waited_s=waited_s)
        queue.add(load_request, IgnoringLink(), now_s)
    (queued,) = queue.due(11)
    queue.take_permit(queued, 11)
    assert permits.since_s == [since_s]
