"""A signal during the start of a gateway ends it in order, or does nothing.

Played with real processes, from the moment at which a signal is handled until the
gateway is ready; that moment comes before anything slow is imported.
"""

import os
import pathlib
import signal
import subprocess
import sys

import pytest
import urllib3

from emulator.fleet import ROOT, Runner
from emulator.soak.deployment import SoakDeployment
from emulator.waiting import wait_until

STEP_S = 0.02
START_TIMEOUT_S = 20
MIN_STEPS = 5

#: Parts of paths of libraries that a gateway loads while it is imported.
SLOW_LIBRARIES = ('/_asyncio.', '/_ssl.', '/pydantic_core/')


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """A deployment whose gateway is started by each test."""
    folder = tmp_path_factory.mktemp('soak')
    with Runner(folder / 'logs') as runner:
        deployment = SoakDeployment(runner, folder, 1, 0)
        deployment.start()
        runner.stop('gateway-0')
        deployment.settings = folder / 'gateway-0.json'
        yield deployment


@pytest.fixture
def start(deployment, tmp_path):
    """Return a function that starts the gateway from the checkout."""
    started = []
    env = {**os.environ, 'WASABICROSS_NODE_FILE': str(deployment.settings)}
    env.pop('PYTHONPATH', None)

    def run():
        log = (tmp_path / 'log').open('ab')
        started.append(
            subprocess.Popen(
                (sys.executable, 'deploy/gateway.py'),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        )
        log.close()
        return started[-1]

    yield run
    for process in started:
        process.kill()
        process.wait()


def is_handled(process, number):
    """Tell whether a process handles or ignores a signal."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    masks = dict(line.split(':\t') for line in status.splitlines())
    handled = int(masks['SigCgt'], 16) | int(masks['SigIgn'], 16)
    return bool(handled & 1 << (number - 1))


def handles_both(process):
    return is_handled(process, signal.SIGTERM) and is_handled(
        process, signal.SIGHUP
    )


def is_ready(deployment):
    gateway = deployment.gateways[0]
    url = f'http://{gateway.host}:{gateway.ready_port}/-/ready'
    try:
        return urllib3.request('GET', url, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def wait_for_handlers(process):
    wait_until(
        lambda: process.poll() is None and handles_both(process),
        START_TIMEOUT_S,
        'signals handled',
    )


def time_out(process, wait_s):
    """Wait for a step, or until a process has ended."""
    try:
        process.wait(wait_s)
    except subprocess.TimeoutExpired:
        return


def test_signals_are_handled_before_anything_slow_is_imported(
    start, deployment
):
    process = start()
    maps = pathlib.Path(f'/proc/{process.pid}/maps')
    loaded = set()
    while len(loaded) < len(SLOW_LIBRARIES) and not is_ready(deployment):
        assert process.poll() is None
        text = maps.read_text()
        found = {each for each in SLOW_LIBRARIES if each in text}
        assert not found or handles_both(process)
        loaded |= found
    assert loaded


def test_hangups_during_the_start_are_harmless(start, deployment):
    process = start()
    wait_for_handlers(process)
    steps = 0
    while not is_ready(deployment):
        assert process.poll() is None
        process.send_signal(signal.SIGHUP)
        steps += 1
        time_out(process, STEP_S)
    assert steps >= MIN_STEPS
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert process.wait(START_TIMEOUT_S) == 0


def test_a_stop_at_any_moment_of_the_start_ends_in_order(start, deployment):
    steps, was_ready = 0, False
    while not was_ready:
        process = start()
        wait_for_handlers(process)
        time_out(process, steps * STEP_S)
        was_ready = is_ready(deployment)
        process.send_signal(signal.SIGTERM)
        assert process.wait(START_TIMEOUT_S) == 0, steps
        steps += 1
    assert steps >= MIN_STEPS
