"""A refusal states when to retry, within the time that the caller has."""

import pytest
from gateway_parts import run_request
from raw_caller import request, status_of
from scripted_server import NOT_RUN


def test_refusal_tells_when_to_come_back():
    received, servers, took_s = run_request(
        [[[NOT_RUN]], [[NOT_RUN]]], request('/unsafe/x', b'x')
    )
    assert status_of(received) == 503
    assert b'retry-after: ' in received.lower()
    assert took_s < 0.5
    assert sum(len(server.seen) for server in servers) == 2


@pytest.mark.parametrize(
    ('time_left', 'latest_s'),
    [
        (b'Time-Left-Ms: 5000\r\n', 5 / 3),
        (b'Time-Left-Ms: 900\r\n', 0.3),
        # Without the header field, the route's time limit counts.
        (b'', 0.8 / 3),
    ],
)
def test_a_refused_caller_is_told_to_come_back_while_it_waits(
    time_left, latest_s
):
    sent = request('/unsafe/x', b'x').replace(
        b'Time-Left-Ms: 5000\r\n', time_left
    )
    received, _, _ = run_request([[[NOT_RUN]], [[NOT_RUN]]], sent)
    retry_after = received.lower().partition(b'retry-after: ')[2].split()[0]
    assert 0 < float(retry_after) <= latest_s
