"""Settings: merged files, all faults reported at once, and shared options."""

import copy

import click
import pytest
import yaml
from click.testing import CliRunner

from wasabicross.runtime.options import settings_options, settings_or_exit
from wasabicross.runtime.settings import load_settings

VALID = {
    'instance': {
        'instance_id': 'bilbao-1',
        'data_centre': 'bilbao-hall',
        'host': '127.0.0.1',
    },
    'controller': {'port': 7100, 'metrics_port': 7101},
    'entries': [
        {'name': 'a', 'port': 7200, 'metrics_port': 7201},
        {'name': 'b', 'port': 7202, 'metrics_port': 7203, 'max_requests': 8},
    ],
    'admin': {'port': 7300, 'metrics_port': 7301},
    'platform': {
        'kv': {'url': 'http://127.0.0.1:7400', 'timeout_s': 1},
        'instance_list': {'url': 'http://127.0.0.1:7401'},
    },
    'trusted_keys': {'alice': 'ab' * 32},
    'tenants': [{'name': 'desk', 'token': 'tenant-token-1', 'weight': 2}],
    'operators': [{'name': 'alice', 'token': 'operator-token-1'}],
    'peer_token': 'peer-token-1',
    'servers': {'fencing': ['draft-1']},
    'data_centres': ['bilbao-hall', 'gijon-hall'],
}


def changed(path, value):
    document = copy.deepcopy(VALID)
    *parents, last = path.split('.')
    node = document
    for step in parents:
        node = node[int(step) if isinstance(node, list) else step]
    node[int(last) if isinstance(node, list) else last] = value
    return document


def load(tmp_path, *documents):
    paths = []
    for number, document in enumerate(documents):
        text = document if isinstance(document, str) else yaml.dump(document)
        paths.append(tmp_path / f'{number}.yaml')
        paths[-1].write_text(text)
    return load_settings(paths)


def faults(tmp_path, *documents):
    return {str(fault) for fault in load(tmp_path, *documents).error.faults}


def test_later_file_replaces_whole_sections(tmp_path):
    cfg = load(tmp_path, VALID, {'servers': {'max_request_s': 9}}).ok
    assert cfg.servers.max_request_s == 9
    assert cfg.servers.fencing == ()
    assert cfg.entry('b').max_requests == 8
    assert cfg.entry(None) is None


@pytest.mark.parametrize(
    ('path', 'value', 'fault'),
    [
        ('nonsense', 1, 'nonsense: Extra inputs are not permitted'),
        ('controller.port', '7100', 'controller.port: Input should be'),
        ('controller.port', 70000, 'controller.port: Input should be less'),
        ('controller.port', 7203, 'entries.1.metrics_port: port is already'),
        ('entries.1.name', 'a', 'entries.1.name: entry name is already used'),
        ('entries', [], 'entries: Tuple should have at least 1 item'),
        ('instance.data_centre', 'ltn', 'instance.data_centre: is not one of'),
        ('instance.host', 'localhost', 'instance.host: Value error'),
        ('trusted_keys.alice', 'zz', 'trusted_keys.alice: Value error'),
        ('trusted_keys.alice', 'abcd', 'trusted_keys.alice: Value error, must'),
        ('trusted_keys.bob', 'ab' * 32, 'trusted_keys.bob: public key is'),
        ('peer_token', 'tenant-token-1', 'peer_token: token is already used'),
        ('peer_token', 'short', 'peer_token: String should have at least'),
        ('platform.kv.timeout_s', 0, 'platform.kv.timeout_s: Input should'),
        ('platform.kv.timeout_s', float('inf'), 'platform.kv.timeout_s: '),
        ('platform.kv.url', 'ftp://x', 'platform.kv.url: String should match'),
        ('data_centres', ['bilbao-hall'] * 2, 'data_centres.1: data centre'),
        ('logs', {'format': 'xml'}, "logs.format: Input should be 'json'"),
    ],
)
def test_fault_is_told_with_its_path(tmp_path, path, value, fault):
    reported = faults(tmp_path, changed(path, value))
    assert [text for text in reported if text.startswith(fault)]
    assert not [text for text in reported if 'tenant-token' in text]


def test_all_faults_are_told_at_once(tmp_path):
    document = changed('admin.port', 7100)
    document['nonsense'] = 1
    document['instance'] = {'data_centre': 'ltn'}
    reported = {text.split(':')[0] for text in faults(tmp_path, document)}
    assert reported == {
        'nonsense',
        'admin.port',
        'instance.instance_id',
        'instance.host',
        'instance.data_centre',
    }


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('- 1', 'must be a mapping of sections'),
        ('', 'must be a mapping of sections'),
        ('a: [', 'not YAML'),
        ('a: \x01', 'not YAML'),
        ('a: !!python/name:os.system', 'not YAML'),
        ('logs: {level: INFO, level: DEBUG}', "'level' is given twice"),
        ('logs: {}\nlogs: {}', "line 2: key 'logs' is given twice"),
    ],
)
def test_unreadable_text(tmp_path, text, fault):
    assert any(fault in reported for reported in faults(tmp_path, text))


def test_missing_file(tmp_path):
    (fault,) = load_settings([tmp_path / 'none.yaml']).error.faults
    assert 'not readable' in fault.message


@click.command()
@settings_options('wasabicross-entry', named=True)
def program(config, check_config, name):
    cfg = settings_or_exit(config, check_config=check_config, name=name)
    click.echo(cfg.entry(name).port)


@pytest.mark.parametrize(
    ('document', 'args', 'code', 'output'),
    [
        (VALID, ['--check-config'], 0, 'ok\n'),
        (VALID, ['--name', 'b'], 0, '7202\n'),
        (VALID, ['--name', 'c'], 2, "entries: none is named 'c'\n"),
        (
            changed('admin', {'port': 7100}),
            ['--check-config'],
            2,
            'admin.metrics_port: Field required\n'
            'admin.port: port is already used by controller.port\n',
        ),
        (VALID, ['--version'], 0, 'wasabicross-entry, version 0.1.0\n'),
    ],
)
def test_options(tmp_path, document, args, code, output):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.dump(document))
    result = CliRunner().invoke(program, ['--config', str(path), *args])
    assert (result.exit_code, result.output) == (code, output)
