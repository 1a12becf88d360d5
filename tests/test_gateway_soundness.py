"""Health of a server as a gateway infers it from its own requests."""

import pytest

from wasabicross.gateway import server_health as health_module
from wasabicross.gateway.server_health import HealthByServer, ServerHealth


def health_after(outcomes):
    health = ServerHealth()
    for outcome in outcomes:
        if outcome == '+':
            health.on_answer()
        else:
            health.on_failure(10)
    return health


@pytest.mark.parametrize(
    ('outcomes', 'is_healthy'),
    [
        ('', True),
        ('+++--', True),
        ('---', False),
        ('+-+-+-', False),
        # Some services fail one request in seven in normal operation.
        ('++++++-++++++-++++++-', True),
    ],
)
def test_failures_shut_a_server_out(outcomes, is_healthy):
    assert health_after(outcomes).is_healthy(10.1) is is_healthy


def fail(health, now_s):
    for _ in range(3):
        health.on_failure(now_s)
    return health.excluded_until_s - now_s


def test_time_out_grows_and_starts_again_after_calm():
    health = ServerHealth()
    exclusions_s = []
    now_s = 100.0
    for pause_s in (0, 0, 0, 60):
        now_s += pause_s
        exclusions_s.append(fail(health, now_s))
        now_s = health.excluded_until_s
    assert exclusions_s == [1, 2, 4, 1]


def test_unreachable_server_is_asked_again_at_the_same_pace():
    health = ServerHealth()
    now_s = 100.0
    pauses = []
    for _ in range(6):
        health.on_probe(now_s, has_passed=False)
        pauses.append(health.excluded_until_s - now_s)
        now_s = health.excluded_until_s
    assert max(pauses) < 1


def test_unreachable_server_is_probed_before_it_is_used():
    health = ServerHealth()
    health.on_unreachable(10)
    assert not health.is_healthy(20)
    health.on_probe(20, has_passed=False)
    assert not health.is_healthy(21)
    health.on_probe(30, has_passed=True)
    assert health.is_healthy(30)


@pytest.fixture
def logged(monkeypatch):
    """Collect the logged events with reason and server."""
    lines = []

    def log_event(event, **fields):
        lines.append((event.name, fields.get('reason'), fields['server']))

    monkeypatch.setattr(health_module, 'log_event', log_event)
    return lines


def unreachable(health):
    health.on_unreachable(10)


def probed(health, *, has_passed=True):
    health.on_probe(12, has_passed=has_passed)


def fail_three_times(health):
    fail(health, 10)


UNREACHABLE_LINE = ('SERVER_SHUT_OUT', 'unreachable', 's1')
FAILURES_LINE = ('SERVER_SHUT_OUT', 'failures', 's1')
BACK_LINE = ('SERVER_BACK', None, 's1')


@pytest.mark.parametrize(
    ('steps', 'lines'),
    [
        ([], []),
        ([probed], []),
        ([unreachable], [UNREACHABLE_LINE]),
        ([unreachable, unreachable], [UNREACHABLE_LINE]),
        ([unreachable, probed], [UNREACHABLE_LINE, BACK_LINE]),
        (
            [unreachable, probed, unreachable],
            [UNREACHABLE_LINE, BACK_LINE, UNREACHABLE_LINE],
        ),
        ([fail_three_times], [FAILURES_LINE]),
        ([fail_three_times, fail_three_times], [FAILURES_LINE]),
    ],
)
def test_each_change_of_mind_is_told_once(logged, steps, lines):
    servers = HealthByServer()
    for step in steps:
        step(servers['s1'])
    assert logged == lines
