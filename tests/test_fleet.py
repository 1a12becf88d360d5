"""The process runner, waiting for conditions, and free ports."""

import json
import subprocess
import sys

import pytest

from emulator.fleet import Program, ProgramFailed, Runner
from emulator.waiting import free_ports, wait_until


def kv_program(name='kv'):
    (port,) = free_ports(1)
    url = f'http://127.0.0.1:{port}/stats'
    return Program(name, 'emulator.kv', ('--port', str(port)), url)


@pytest.fixture
def own_runner(tmp_path):
    with Runner(tmp_path / 'logs') as test_runner:
        yield test_runner


@pytest.mark.parametrize(
    ('end', 'exit_code'), [(Runner.stop, 0), (Runner.kill, -9)]
)
def test_program_ends_and_starts_again(own_runner, end, exit_code):
    program = kv_program()
    own_runner.run(program, kv_program('other'))
    first_pid = own_runner.pid('kv')
    end(own_runner, 'kv')
    assert own_runner.exit_codes() == {'kv': exit_code, 'other': None}
    assert own_runner.running() == ['other']
    with pytest.raises(ProgramFailed):
        own_runner.wait_ready('kv')
    own_runner.restart('kv')
    assert own_runner.pid('kv') != first_pid


def test_paused_program_answers_once_resumed(own_runner):
    own_runner.run(kv_program())
    own_runner.pause('kv')
    assert not own_runner.is_ready('kv')
    own_runner.resume('kv')
    own_runner.wait_ready('kv')


def test_paused_program_is_ended(tmp_path):
    with Runner(tmp_path) as paused_runner:
        paused_runner.run(kv_program())
        paused_runner.pause('kv')
    assert paused_runner.exit_codes() == {'kv': 0}


def test_program_that_ignores_the_stop_is_killed(own_runner):
    ignore = 'import signal; signal.signal(15, signal.SIG_IGN); print("deaf")'
    args = ('-n', '1', '-s', ignore, 'signal.pause()')
    own_runner.start(Program('deaf', 'timeit', args))
    wait_until(lambda: own_runner.log_tail('deaf'), 5, 'deaf program')
    own_runner.close(timeout_s=0.2)
    assert own_runner.exit_codes() == {'deaf': -9}


def test_failed_program_shows_its_log(own_runner):
    own_runner.start(
        Program('broken', 'emulator.missing', (), 'tcp://127.0.0.1:1')
    )
    with pytest.raises(ProgramFailed, match='No module named emulator.miss'):
        own_runner.wait_ready()


def test_name_in_use_is_refused(own_runner):
    own_runner.run(kv_program())
    with pytest.raises(ValueError, match='kv is running'):
        own_runner.start(kv_program())


def test_tcp_readiness(own_runner):
    program = kv_program()
    address = program.ready.removesuffix('/stats').replace('http', 'tcp')
    own_runner.run(program._replace(ready=address))
    assert own_runner.is_ready('kv')


def test_no_readiness_while_nobody_listens(own_runner):
    (silent,) = free_ports(1)
    own_runner.start(kv_program()._replace(ready=f'tcp://127.0.0.1:{silent}'))
    assert not own_runner.is_ready('kv')


def test_condition_that_never_holds():
    with pytest.raises(TimeoutError, match='rain: not within 0.02 s'):
        wait_until(lambda: False, 0.02, 'rain')


def test_ports_are_different():
    assert len(set(free_ports(100))) == 100


def test_ports_of_another_process_are_others():
    script = 'from emulator.waiting import free_ports; print(free_ports(50))'
    others = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
    )
    assert not set(free_ports(50)) & set(json.loads(others.stdout))
