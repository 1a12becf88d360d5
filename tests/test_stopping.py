"""A planned stop ends a program even if the platform is unreachable."""

import json
import signal
import subprocess
import sys

import pytest
import yaml
from test_listening import settings

from emulator.waiting import wait_until

STOP_TIMEOUT_S = 20


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize(
    ('program', 'args'),
    [('controller', ()), ('admin', ()), ('entry', ('--name', 'a'))],
)
def test_stop_without_platform(tmp_path, program, args, number):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(settings()))
    log = tmp_path / 'log'
    command = (sys.executable, '-m', f'wasabicross.programs.{program}')
    with log.open('wb') as stderr:
        running = subprocess.Popen(
            (*command, '--config', str(path), *args), stderr=stderr
        )
    try:
        wait_until(
            lambda: '"program_started"' in log.read_text(), 20, 'started'
        )
        running.send_signal(number)
        assert running.wait(STOP_TIMEOUT_S) == 0
    finally:
        running.kill()
    names = [json.loads(line)['name'] for line in log.read_text().splitlines()]
    assert names[-1] == 'program_stopped'
    assert 'thread_failed' not in names
