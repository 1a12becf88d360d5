"""What a gateway concludes of a server from its own requests."""

import pytest

from wasabicross.gateway import server_health as health_module
from wasabicross.gateway.server_health import HealthByServer, ServerHealth


def after(outcomes):
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
        # One failure in seven is what some services answer on a calm day.
        ('++++++-++++++-++++++-', True),
    ],
)
def test_failures_shut_a_server_out(outcomes, is_healthy):
    assert after(outcomes).is_healthy(10.1) is is_healthy


def fail(health, now_s):
    for _ in range(3):
        health.on_failure(now_s)
    return health.excluded_until_s - now_s


def test_time_out_grows_and_starts_again_after_calm():
    health = ServerHealth()
    lengths = []
    now_s = 100.0
    for pause_s in (0, 0, 0, 60):
        now_s += pause_s
        lengths.append(fail(health, now_s))
        now_s = health.excluded_until_s
    assert lengths == [1, 2, 4, 1]


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
def told(monkeypatch):
    """Events that are logged, with what they tell."""
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


OUT = ('SERVER_SHUT_OUT', 'unreachable', 's1')
FAILED = ('SERVER_SHUT_OUT', 'failures', 's1')
BACK = ('SERVER_BACK', None, 's1')


@pytest.mark.parametrize(
    ('steps', 'lines'),
    [
        ([], []),
        ([probed], []),
        ([unreachable], [OUT]),
        ([unreachable, unreachable], [OUT]),
        ([unreachable, probed], [OUT, BACK]),
        ([unreachable, probed, unreachable], [OUT, BACK, OUT]),
        ([fail_three_times], [FAILED]),
        ([fail_three_times, fail_three_times], [FAILED]),
    ],
)
def test_each_change_of_mind_is_told_once(told, steps, lines):
    servers = HealthByServer()
    for step in steps:
        step(servers['s1'])
    assert told == lines
