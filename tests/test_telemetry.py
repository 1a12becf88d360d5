"""The metrics server serves health, readiness and metrics."""

import pytest
import urllib3
from prometheus_client import CollectorRegistry, Counter

from wasabicross.runtime.telemetry import MetricsServer, Readiness


@pytest.fixture
def served():
    registry = CollectorRegistry()
    Counter('seen', 'Seen.', registry=registry).inc()
    readiness = Readiness(('bundle', 'platform'))
    server = MetricsServer('127.0.0.1', 0, readiness, registry)
    server.start()
    yield f'http://127.0.0.1:{server.port}', readiness
    server.stop()
    server.stop()


@pytest.mark.parametrize(
    ('path', 'status', 'content'),
    [
        ('/healthz', 200, '{"healthy": true}'),
        ('/metrics', 200, 'seen_total 1.0'),
        ('/readyz', 503, '"missing": ["bundle", "platform"]'),
        ('/other', 404, '{}'),
    ],
)
def test_paths(served, path, status, content):
    answer = urllib3.request('GET', served[0] + path, retries=False)
    assert answer.status == status
    assert content in answer.data.decode()


def test_ready_once_all_conditions_hold(served):
    url, readiness = served
    readiness.declare('bundle', holds=True)
    assert readiness.missing() == ('platform',)
    readiness.declare('platform', holds=True)
    assert urllib3.request('GET', f'{url}/readyz', retries=False).status == 200
    readiness.declare('accepting', holds=False)
    assert urllib3.request('GET', f'{url}/readyz', retries=False).status == 503
