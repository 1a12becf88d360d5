"""A test run that is terminated leaves none of its processes running."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys

import pytest

from emulator.waiting import wait_until

TESTS = pathlib.Path(__file__).parent

#: Starts a process that starts another one, writes both ids and waits.
LONG_TEST = """
import pathlib, subprocess, sys

def test_long():
    script = (
        'import os, subprocess, sys; '
        'child = subprocess.Popen([sys.executable, "-c", '
        '"import signal; signal.pause()"]); '
        'open("pids", "w").write(f"{os.getpid()} {child.pid}\\\\n"); '
        'child.wait()'
    )
    subprocess.run([sys.executable, '-c', script])
"""


def is_running(pid):
    try:
        state = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return False
    return state.rpartition(')')[2].split()[0] != 'Z'


@pytest.mark.parametrize('jobs', ['0', '2'])
def test_a_run_that_is_ended_leaves_nothing(tmp_path, jobs):
    shutil.copy(TESTS / 'run_ending.py', tmp_path)
    (tmp_path / 'test_long.py').write_text(LONG_TEST)
    args = ('-p', 'run_ending', '-n', jobs, 'test_long.py')
    command = (sys.executable, '-m', 'pytest', *args)
    env = {**os.environ, 'PYTHONPATH': str(tmp_path)}
    run = subprocess.Popen(command, cwd=tmp_path, env=env)
    pid_file = tmp_path / 'pids'
    wait_until(
        lambda: pid_file.exists() and pid_file.read_text().endswith('\n'),
        30,
        'pids',
    )
    pids = [int(pid) for pid in pid_file.read_text().split()]
    assert all(is_running(pid) for pid in pids)

    run.send_signal(signal.SIGTERM)

    run.wait(10)
    wait_until(
        lambda: not any(is_running(pid) for pid in pids), 10, 'all ended'
    )
