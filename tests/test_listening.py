"""A program whose port is taken logs it and exits with a stable code."""

import copy
import json
import socket
import subprocess
import sys
from contextlib import ExitStack

import pytest
import yaml
from test_settings import VALID

from emulator.waiting import free_ports
from wasabicross.runtime.options import EXIT_PORT

PROGRAMS = [
    ('controller', 'controller', 'port', ()),
    ('controller', 'controller', 'metrics_port', ()),
    ('admin', 'admin', 'port', ()),
    ('admin', 'admin', 'metrics_port', ()),
    ('entry', 'entries', 'port', ('--name', 'a')),
    ('entry', 'entries', 'metrics_port', ('--name', 'a')),
]


def settings():
    """Return settings with free ports; the platform is unreachable."""
    cfg = copy.deepcopy(VALID)
    ports = iter(free_ports(10))
    for section in (cfg['controller'], cfg['admin'], *cfg['entries']):
        section.update(port=next(ports), metrics_port=next(ports))
    for service in cfg['platform'].values():
        service['url'] = f'http://127.0.0.1:{next(ports)}'
    return cfg


def run(tmp_path, cfg, program, args):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(cfg))
    command = (sys.executable, '-m', f'wasabicross.programs.{program}')
    return subprocess.run(
        (*command, '--config', str(path), *args),
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.mark.parametrize(('program', 'section', 'field', 'args'), PROGRAMS)
def test_taken_port(tmp_path, program, section, field, args):
    cfg = settings()
    port = cfg['entries'][0][field] if args else cfg[section][field]
    with ExitStack() as stack:
        taken = stack.enter_context(socket.socket())
        # Closed connections of earlier tests may still linger on the port.
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind(('127.0.0.1', port))
        taken.listen()
        ended = run(tmp_path, cfg, program, args)
    lines = [json.loads(line) for line in ended.stderr.splitlines()]
    logged = [line for line in lines if line['name'] == 'port_unavailable']
    assert [(line['event'], line['host'], line['port']) for line in logged] == [
        (1006, '127.0.0.1', port)
    ]
    assert logged[0]['reason']
    assert ended.returncode == EXIT_PORT == 3
    assert 'program_started' not in ended.stderr


def test_address_of_another_machine(tmp_path):
    cfg = settings()
    cfg['instance']['host'] = '192.0.2.1'
    ended = run(tmp_path, cfg, 'admin', ())
    assert ended.returncode == EXIT_PORT
    assert '"port_unavailable"' in ended.stderr
    assert 'Traceback' not in ended.stderr
