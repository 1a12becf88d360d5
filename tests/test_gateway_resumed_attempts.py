"""Which attempt of its caller a request states to resume."""

import pytest

from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.platform.headers import PlatformDialect

LONG = b'9' * 5000


@pytest.mark.parametrize(
    ('stated', 'resumes'),
    [
        ([], ''),
        ([b''], ''),
        ([b'9c41'], '9c41'),
        ([b'9c41', b'9c41'], '9c41'),
        ([b'9c41', b'7b02'], ''),
        ([LONG], LONG.decode()),
        ([b'\xff\x01'], '\xff\x01'),
    ],
)
def test_attempt_that_began_the_stream(stated, resumes):
    fields = [(b'host', b'a'), *((b'resumes', each) for each in stated)]
    req = CallerRequest(b'POST', b'/x', fields, b'', 0)
    assert PlatformDialect().parse_request(req).resumes == resumes
