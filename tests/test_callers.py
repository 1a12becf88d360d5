"""The callers' interface: the id of a request in its answer."""

import io
import random
from types import SimpleNamespace

import pytest

from wasabicross.admission import Admission, AdmissionLimits
from wasabicross.bundles import Route
from wasabicross.callers import CallerApi, CallerLimits
from wasabicross.replies import COMPLETED, OUTCOME_HEADER, Reply
from wasabicross.settings import TenantSettings

ROUTE = Route('/orders', 'service', 'desk', 'orders', ())
SERVED = (('x-request-id', 'of-the-service'), (OUTCOME_HEADER, COMPLETED))


class Service:
    """Answers each request and remembers it."""

    def __init__(self):
        self.seen = []

    def run(self, req):
        self.seen.append(req.request_id)
        return Reply(200, SERVED, (b'done',))


def ask(capacity, **fields):
    service = Service()
    link = SimpleNamespace(bundle=SimpleNamespace(route=lambda path: ROUTE))
    limits = AdmissionLimits(capacity, 8)
    api = CallerApi(
        link,
        [TenantSettings(name='agents', token='tenant-token-1')],
        Admission(limits, random.Random(1)),
        service,
        service,
        CallerLimits(5),
    )
    environ = {
        'PATH_INFO': '/orders',
        'REQUEST_METHOD': 'POST',
        'HTTP_AUTHORIZATION': 'Bearer tenant-token-1',
        'wsgi.input': io.BytesIO(),
        **fields,
    }
    answers = []
    content = api(environ, lambda status, headers: answers.append(headers))
    list(content)
    ids = [text for name, text in answers[0] if name.lower() == 'x-request-id']
    return ids, service.seen


@pytest.mark.parametrize('fields', [{}, {'HTTP_X_REQUEST_ID': 'of-the-caller'}])
def test_an_answer_tells_the_id_that_the_service_was_told(fields):
    told, seen = ask(8, **fields)
    assert told == seen
    assert seen == [fields.get('HTTP_X_REQUEST_ID', seen[0])]


@pytest.mark.parametrize(
    ('capacity', 'fields', 'told'),
    [
        (0, {'HTTP_X_REQUEST_ID': 'refused'}, ['refused']),
        (8, {'HTTP_AUTHORIZATION': 'Bearer wrong-token'}, []),
    ],
)
def test_refusals(capacity, fields, told):
    assert ask(capacity, **fields) == (told, [])
