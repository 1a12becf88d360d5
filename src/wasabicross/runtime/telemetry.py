"""Metrics of one process, and an HTTP server for metrics and readiness."""

import json
import threading
from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import REGISTRY, CollectorRegistry, Histogram
from prometheus_client.exposition import make_wsgi_app

from wasabicross.runtime.http_server import HttpServer
from wasabicross.runtime.listening import bind_http
from wasabicross.runtime.running import StartResult

_THREADS = 2
_STOP_TIMEOUT_S = 1
_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.58,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
_PROPAGATION_BUCKETS_S = (
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    17.0,
    60.0,
    600.0,
)
_RATIO_BUCKETS = (0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0)

FIRST_TOKEN_SECONDS = Histogram(
    'wasabicross_first_token_seconds',
    'From the accepted request to the first byte of its answer.',
    ('tenant', 'request_class'),
    buckets=_LATENCY_BUCKETS_S,
)
LOAD_STALL_SECONDS = Histogram(
    'wasabicross_load_stall_seconds',
    'How long a request waited for its adapter to load.',
    ('tenant', 'request_class'),
    buckets=_LATENCY_BUCKETS_S,
)
BATCH_FILL_RATIO = Histogram(
    'wasabicross_batch_fill_ratio',
    'Share of the batch in use on the chosen server at dispatch.',
    ('request_class',),
    buckets=_RATIO_BUCKETS,
)
BUNDLE_PROPAGATION_SECONDS = Histogram(
    'wasabicross_bundle_spread_seconds',
    'From the accepted roll to the bundle being in force here.',
    ('data_centre',),
    buckets=_PROPAGATION_BUCKETS_S,
)

_StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Readiness:
    """Named conditions, all of which must hold for a process to be ready.

    :param names: conditions that initially do not hold.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._lock = threading.Lock()
        self._conditions = dict.fromkeys(names, False)

    def declare(self, name: str, *, holds: bool) -> None:
        """Set whether a condition holds.

        :param name: the condition.
        :param holds: whether it holds now.
        """
        with self._lock:
            self._conditions[name] = holds

    def missing(self) -> tuple[str, ...]:
        """Return the conditions that do not hold."""
        with self._lock:
            return tuple(
                name for name, holds in self._conditions.items() if not holds
            )


class MetricsServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz`` on its own port.

    :param host: IP address to bind.
    :param port: port to bind, 0 for any free port.
    :param readiness: conditions that ``/readyz`` reports.
    :param registry: metrics that ``/metrics`` returns.
    """

    def __init__(
        self,
        host: str,
        port: int,
        readiness: Readiness,
        registry: CollectorRegistry = REGISTRY,
    ) -> None:
        self._readiness = readiness
        self._metrics: Any = make_wsgi_app(registry)
        self._server = HttpServer(
            (host, port),
            self._answer,
            numthreads=_THREADS,
            shutdown_timeout=_STOP_TIMEOUT_S,
        )
        self._thread = threading.Thread(
            target=self._server.serve,
            name='metrics',
            daemon=True,
        )

    @property
    def port(self) -> int:
        """The bound port."""
        return int(self._server.bind_addr[1])

    def start(self) -> StartResult:
        """Bind the port and serve in a thread, or return `PortUnavailable`."""
        bound = bind_http(self._server)
        if bound.is_ok():
            self._thread.start()
        return bound

    def stop(self) -> None:
        """Stop serving; safe to call more than once."""
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join(_STOP_TIMEOUT_S)

    def _answer(
        self,
        environ: dict[str, Any],
        start_response: _StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/metrics':
            body: Iterable[bytes] = self._metrics(environ, start_response)
            return body
        if path == '/healthz':
            return _json_answer(start_response, '200 OK', {'healthy': True})
        if path == '/readyz':
            return self._answer_readiness(start_response)
        return _json_answer(start_response, '404 Not Found', {})

    def _answer_readiness(
        self,
        start_response: _StartResponse,
    ) -> Iterable[bytes]:
        missing = self._readiness.missing()
        status = '503 Service Unavailable' if missing else '200 OK'
        content = {'ready': not missing, 'missing': list(missing)}
        return _json_answer(start_response, status, content)


def _json_answer(
    start_response: _StartResponse,
    status: str,
    content: dict[str, Any],
) -> Iterable[bytes]:
    body = json.dumps(content).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start_response(status, headers)
    return [body]
