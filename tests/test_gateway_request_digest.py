"""Which requests are copies of each other."""

import pytest

from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.crashes.request_digest import (
    is_request_digest,
    request_digest,
)

HOST = (b'host', b'a.example')
WORKSPACE = (b'authorization', b'Bearer one')
REQUEST = CallerRequest(b'POST', b'/a/b?c=1', [HOST, WORKSPACE], b'body', 1.0)


def with_fields(*fields):
    """Return the request with other header fields."""
    return REQUEST._replace(fields=[HOST, WORKSPACE, *fields])


@pytest.mark.parametrize(
    'copy',
    [
        REQUEST._replace(arrived_s=9.0),
        with_fields((b'request-id', b'r2'), (b'time-left-ms', b'400')),
        with_fields((b'last-event-id', b'7'), (b'connection', b'close')),
        with_fields((b'idempotency-key', b'k')),
        REQUEST._replace(fields=[WORKSPACE, (b'host', b'A.example:80')]),
    ],
)
def test_a_request_that_is_sent_again_has_the_same_digest(copy):
    assert request_digest(copy) == request_digest(REQUEST)


@pytest.mark.parametrize(
    'other',
    [
        REQUEST._replace(method=b'PUT'),
        REQUEST._replace(target=b'/a/b?c=2'),
        REQUEST._replace(target=b'/a/b?c=1b', body=b'ody'),
        REQUEST._replace(body=b'bodies'),
        REQUEST._replace(fields=[(b'host', b'b.example'), WORKSPACE]),
        REQUEST._replace(fields=[HOST, (b'authorization', b'Bearer two')]),
    ],
)
def test_other_requests_have_other_digests(other):
    """A conviction would refuse the requests of others."""
    assert request_digest(other) != request_digest(REQUEST)


@pytest.mark.parametrize('part', ['f0', 'request/0', 'request/12345678'])
def test_no_part_of_a_prompt_is_taken_for_a_digest(part):
    assert not is_request_digest(part)
    assert is_request_digest(request_digest(REQUEST))
