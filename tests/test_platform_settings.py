"""The settings file of a gateway: decoded values, and messages of faults."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.settings import Address
from wasabicross.platform.settings import PATH_VARIABLE, decode_settings

ROOT = pathlib.Path(__file__).parent.parent

SETTINGS = {
    'nodeName': 'front-bilbao-hall-1',
    'ip': '10.1.0.38',
    'zone': 'bilbao-hall',
    'zones': {'bilbao-hall': 'cantabria', 'gijon-hall': 'cantabria'},
    'listen': {'front': '10.1.0.38:8149', 'ready': '10.1.0.38:8141'},
    'portRange': [7380, 7395],
    'platform': {'address': '10.200.1.7:8142'},
    'bounds': {
        'retryRatio': 0.2,
        'retrySlack': 54,
        'graceS': 8,
        'leaseMs': 3000,
    },
    'seeds': ['10.1.0.38:8144', '10.2.0.40:8144'],
    'limits': {'cpuShare': 0.5, 'cores': 2, 'linkMbps': 100.0},
    'somethingNew': {'unknown': True},
}


def encoded(**changes):
    document = {**SETTINGS, **changes}
    return json.dumps(document).encode()


def test_settings():
    cfg = decode_settings(encoded())
    assert cfg.instance == 'front-bilbao-hall-1'
    assert cfg.data_centres == ('bilbao-hall', 'gijon-hall')
    assert cfg.callers == Address('10.1.0.38', 8149)
    assert cfg.peer_port == 7380
    assert cfg.forwarding_port == 7395
    assert cfg.holder_gap_s == 3
    assert cfg.seeds == ('10.1.0.38', '10.2.0.40')
    assert (cfg.cores, cfg.link_mbps) == (1.0, 100.0)


@pytest.mark.parametrize(
    ('fields', 'is_first_start'),
    [({}, False), ({'bootstrap': False}, False), ({'bootstrap': True}, True)],
)
def test_first_start(fields, is_first_start):
    assert decode_settings(encoded(**fields)).is_first_start is is_first_start


@pytest.mark.parametrize(
    ('document', 'fault'),
    [
        (b'{', 'settings'),
        (b'[]', 'listen: missing'),
        (encoded(nodeName=7), 'nodeName: wrong type'),
        (encoded(listen={'front': 'x'}), 'listen.front: not HOST:PORT'),
        (encoded(portRange=[1]), 'portRange'),
        (encoded(portRange='7380'), 'portRange: wrong type'),
        (encoded(limits={'cores': 1}), 'limits.cpuShare: missing'),
        (encoded(bounds={}), 'bounds.retryRatio: missing'),
        (encoded(platform=None), 'platform: wrong type'),
        (encoded(bootstrap=1), 'bootstrap: wrong type'),
        (b'[' * 100_000, 'settings'),
        (encoded(platform={'address': '10.0.0.1:\xb2'}), 'not HOST:PORT'),
        (encoded(platform={'address': '10.0.0.1:99999'}), 'not HOST:PORT'),
        (encoded(limits={'cpuShare': 10**400, 'cores': 1}), 'limits.cpuShare'),
        (encoded(limits={'cpuShare': -1, 'cores': 1}), 'limits.cpuShare'),
    ],
)
def test_fault_is_named(document, fault):
    with pytest.raises(DocumentUnreadable, match=fault.replace('.', r'\.')):
        decode_settings(document)


@pytest.mark.parametrize(
    ('content', 'message'),
    [
        (None, 'No such file'),
        (b'{}', 'settings: listen: missing'),
        (encoded(ip=None), 'settings: ip: wrong type'),
    ],
)
def test_program_ends_with_one_line_and_exit_code_2(tmp_path, content, message):
    path = tmp_path / 'boot.json'
    if content is not None:
        path.write_bytes(content)
    process = subprocess.run(
        [sys.executable, str(ROOT / 'deploy' / 'gateway.py')],
        env={**os.environ, PATH_VARIABLE: str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 2
    (line,) = process.stderr.splitlines()
    assert message in line


def test_gateways_forward_nothing_where_they_have_one_port():
    cfg = decode_settings(encoded(portRange=[7380, 7380]))
    assert cfg.forwarding_port == 0
