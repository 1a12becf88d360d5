"""The HTTP interface of the callers: request ids, admission, retry times.

A caller needs the id that the service got to trace a request, and retry times
that differ keep refused callers from returning together.
"""

import io
import random
import time
from types import SimpleNamespace

import pytest

from wasabicross.bundles.bundles import Route
from wasabicross.callers.admission import Admission, AdmissionLimits
from wasabicross.callers.caller_api import CallerApi, CallerLimits
from wasabicross.callers.replies import COMPLETED, OUTCOME_HEADER, Reply
from wasabicross.runtime.settings import TenantSettings

MODEL_ROUTE = Route('/v1', 'engine', 'drafting', 'drafts', ('POST',))
ROUTE = Route('/orders', 'service', 'desk', 'orders', ())
SERVED = (('x-request-id', 'of-the-service'), (OUTCOME_HEADER, COMPLETED))


class Service:
    """Answers each request and records its id."""

    def __init__(self):
        self.seen = []

    def run(self, req):
        self.seen.append(req.request_id)
        return Reply(200, SERVED, (b'done',))


def send_request(capacity, **fields):
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
def test_an_answer_has_the_id_that_the_service_received(fields):
    ids, seen = send_request(8, **fields)
    assert ids == seen
    assert seen == [fields.get('HTTP_X_REQUEST_ID', seen[0])]


@pytest.mark.parametrize(
    ('capacity', 'fields', 'told'),
    [
        (0, {'HTTP_X_REQUEST_ID': 'refused'}, ['refused']),
        (8, {'HTTP_AUTHORIZATION': 'Bearer wrong-token'}, []),
    ],
)
def test_refusals(capacity, fields, told):
    assert send_request(capacity, **fields) == (told, [])


class RecordingAdmission(Admission):
    """Records the adapters of requests and the run times of releases."""

    def __init__(self):
        super().__init__(AdmissionLimits(8, 8), random.Random(1))
        self.adapters = []
        self.runs_s = []

    def admit(self, tenant, request_class, adapter, deadline_s, now_s):
        self.adapters.append(adapter)
        return super().admit(tenant, request_class, adapter, deadline_s, now_s)

    def release(self, token, run_s=None):
        self.runs_s.append(run_s)
        super().release(token, run_s)


@pytest.mark.parametrize(
    ('route', 'body', 'adapter'),
    [
        (MODEL_ROUTE, b'{"model": "quote"}', 'quote'),
        (MODEL_ROUTE, b'{"model": 7}', '7'),
        (MODEL_ROUTE, b'no JSON', ''),
        (ROUTE, b'{"model": "quote"}', ''),
    ],
)
@pytest.mark.parametrize('ran_s', [None, 3])
def test_admission_receives_the_adapter_and_the_run_time(
    route, body, adapter, ran_s
):
    admission = RecordingAdmission()
    since_s = None if ran_s is None else time.monotonic() - ran_s
    calls = SimpleNamespace(
        run=lambda req: Reply(200, SERVED, (b'done',), since_s)
    )
    link = SimpleNamespace(bundle=SimpleNamespace(route=lambda path: route))
    tenants = [TenantSettings(name='agents', token='tenant-token-1')]
    api = CallerApi(link, tenants, admission, calls, calls, CallerLimits(5))
    environ = {
        'PATH_INFO': '/v1',
        'REQUEST_METHOD': 'POST',
        'HTTP_AUTHORIZATION': 'Bearer tenant-token-1',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
    }
    list(api(environ, lambda status, headers: None))
    assert admission.adapters == [adapter]
    assert admission.in_flight == 0
    [run_s] = admission.runs_s
    assert run_s == (None if ran_s is None else pytest.approx(ran_s, abs=1))


@pytest.mark.parametrize(
    ('told', 'least', 'distinct'),
    [(('Retry-After', '2'), 2, 3), (('Retry-After', '60'), 60, 1), ((), 0, 0)],
)
def test_callers_refused_together_get_different_retry_times(
    told, least, distinct
):
    headers = (*SERVED, told) if told else SERVED
    calls = SimpleNamespace(run=lambda req: Reply(503, headers, (b'',)))
    link = SimpleNamespace(bundle=SimpleNamespace(route=lambda path: ROUTE))
    tenants = [TenantSettings(name='agents', token='tenant-token-1')]
    admission = Admission(AdmissionLimits(8, 8), random.Random(1))
    api = CallerApi(link, tenants, admission, calls, calls, CallerLimits(5))
    answers = []
    for _ in range(30):
        environ = {
            'PATH_INFO': '/orders',
            'REQUEST_METHOD': 'POST',
            'HTTP_AUTHORIZATION': 'Bearer tenant-token-1',
            'wsgi.input': io.BytesIO(),
        }
        list(api(environ, lambda status, headers: answers.append(headers)))
    retry_after_s = [
        int(text)
        for headers in answers
        for name, text in headers
        if name == 'Retry-After'
    ]
    assert len(retry_after_s) == (30 if told else 0)
    assert all(each >= least for each in retry_after_s)
    assert len(set(retry_after_s)) >= distinct
