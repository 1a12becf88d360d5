"""Metrics of a gateway, served on the same port as its readiness."""

from prometheus_client import Counter, Gauge, Histogram, generate_latest

from wasabicross.gateway.configuration import Route

#: Path at which the metrics are served, and their content type.
PATH = '/metrics'
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'

_LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.6,
    0.8,
    1.0,
    2.0,
    5.0,
    15.0,
)
_REQUEST_LABELS = ('service', 'request_class')

REQUESTS = Counter(
    'wasabicross_gateway_requests',
    'Requests by how they ended for the caller.',
    (*_REQUEST_LABELS, 'outcome'),
)
FIRST_BYTE_SECONDS = Histogram(
    'wasabicross_gateway_first_byte_seconds',
    'From the arrival of a request to the start of its answer.',
    _REQUEST_LABELS,
    buckets=_LATENCY_BUCKETS_S,
)
LOAD_WAIT_SECONDS = Histogram(
    'wasabicross_gateway_load_wait_seconds',
    'How long a request waited for its adapter before it was sent.',
    _REQUEST_LABELS,
    buckets=_LATENCY_BUCKETS_S,
)
ATTEMPTS = Counter(
    'wasabicross_gateway_attempts',
    'Attempts at servers by how they ended.',
    ('service', 'ending'),
)
LOOP_DELAY_SECONDS = Histogram(
    'wasabicross_gateway_loop_delay_seconds',
    'How late the event loop ran what was due, four times a second.',
    buckets=(0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2),
)
UNCONFIRMED_REFUSALS = Counter(
    'wasabicross_gateway_unconfirmed_refusals',
    'Answers withheld from callers, as they might have repeated a run.',
    ('service', 'status'),
)
SKIPPED_ANSWERS = Counter(
    'wasabicross_gateway_skipped_answers',
    'Answers to other requests than the one whose answer was due.',
)
FORWARDED = Counter(
    'wasabicross_gateway_forwarded',
    'Attempts at other gateways for requests without a server in reach.',
    ('service', 'ending'),
)
WITHHELD = Counter(
    'wasabicross_gateway_withheld',
    'Times that a request was not sent to a server, as its limit left no room.',
    ('service',),
)
REFUSALS = Counter(
    'wasabicross_gateway_refusals',
    'Requests that the gateway answered itself or cut, by reason.',
    ('reason',),
)
UNANSWERED = Counter(
    'wasabicross_gateway_unanswered',
    'Connections closed before the answer to a request was complete, by cause.',
    ('cause',),
)
ORDERS = Counter(
    'wasabicross_gateway_orders',
    'Orders to engines by kind and answer.',
    ('order', 'answer'),
)
ANSWER_ENDS = Counter(
    'wasabicross_gateway_answer_ends',
    'Attempts at servers by what shows that their answer is complete.',
    ('service', 'proof'),
)
END_CHECK_SECONDS = Histogram(
    'wasabicross_gateway_end_check_seconds',
    'Time from the end of a connection until it was known whether that was the '
    'end of its answer.',
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 2, 3),
)
START_QUESTION_SECONDS = Histogram(
    'wasabicross_gateway_start_question_seconds',
    'Time until the process behind a connection had told its start, before the '
    'first resumable stream on it.',
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 2, 3),
)
LOADS = Counter(
    'wasabicross_gateway_loads',
    'Adapters that requests waited for, by whether they were loaded.',
    ('outcome',),
)
STORE_CALLS = Counter(
    'wasabicross_gateway_store_calls',
    "Calls to the platform's store by operation and result.",
    ('operation', 'outcome'),
)
STORE_RESTORES = Counter(
    'wasabicross_gateway_store_restores',
    'Returns of the store from an older copy.',
)
CONFIGURATION_VERSION = Gauge(
    'wasabicross_gateway_configuration_version',
    'Version of the configuration in force.',
)
STREAM_DIVISION = Gauge(
    'wasabicross_gateway_stream_division',
    "Number of the division of a service's streams in force.",
    ('service',),
)
CRASHES = Counter(
    'wasabicross_gateway_server_crashes',
    'Servers found crashed under requests that they may have begun.',
)
PARTS = Counter(
    'wasabicross_gateway_prompt_parts',
    'Parts of prompts by how the evidence of crashes against them changed.',
    ('change',),
)
CRASHING_REQUESTS = Counter(
    'wasabicross_gateway_crashing_requests',
    'Whole requests by how the evidence of crashes against them changed.',
    ('change',),
)
TAKE_UPS = Counter(
    'wasabicross_gateway_take_ups',
    'Interrupted streams that callers took up again, by how that ended.',
    ('service', 'outcome'),
)
UNDER_WAY = Gauge(
    'wasabicross_gateway_under_way',
    'Requests that are being answered.',
)


def request_class(route: Route) -> str:
    """Return the class of a route's requests, a label with few values.

    :param route: the route.
    """
    return f'{route.kind.value}-{route.priority}'


def render_metrics() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest()
