"""The operators' command line, against a served API and admin programs."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
import yaml
from bundle_parts import ALICE, MALLORY, bundle_text
from click.testing import CliRunner
from test_admin import TOKEN, served, server  # noqa: F401
from test_settings import VALID

from emulator.fleet import Program
from emulator.waiting import free_ports, wait_until
from wasabicross.commands.admin_client import AdminClient
from wasabicross.commands.operator_key import OperatorKey
from wasabicross.programs.cli import main


class Shell:
    """Runs commands in a directory with keys and bundle files."""

    def __init__(self, directory, url, token=TOKEN):
        self.directory = directory
        self.client = AdminClient(url, token)
        self.env = {'WASABICROSS_ADMIN_URL': url, 'WASABICROSS_TOKEN': token}
        for name, key in (('alice', ALICE), ('mallory', MALLORY)):
            OperatorKey(name, key).write(directory / name)
        for version in ('1', '2', '3'):
            self.write(version, bundle_text({'a': version}))

    def write(self, name, text):
        (self.directory / f'{name}.yaml').write_text(text)

    def run(self, *args):
        resolved = [
            str(self.directory / arg[1:]) if arg.startswith('@') else arg
            for arg in args
        ]
        return CliRunner().invoke(main, resolved, env=self.env)

    def prepared(self, version):
        result = self.run('prepare', f'@{version}.yaml', '--json')
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)['digest']

    def signed(self, version):
        digest = self.prepared(version)
        result = self.run('sign-off', digest, '--key', '@alice')
        assert result.exit_code == 0, result.output
        return digest


@pytest.fixture
def shell(tmp_path, served):  # noqa: F811
    return Shell(tmp_path, served.url)


def test_whole_way_of_a_bundle(shell, served):  # noqa: F811
    prepared = shell.run('prepare', '@1.yaml')
    digest = prepared.stdout.splitlines()[-1]
    assert prepared.stdout.startswith(
        'bundle 1 (closing): adapters 1 added, 0 removed, 0 changed\n'
    )
    own_file = ('--file', '@1.yaml')
    signed = shell.run('sign-off', digest, '--key', '@alice', *own_file)
    assert signed.output == 'bundle 1 signed by alice\n'
    assert shell.run('status').stdout.startswith('no bundle is in force yet\n')
    served.instances.set_bundles(1, 1)
    rolled = shell.run('roll', digest)
    assert rolled.exit_code == 0
    assert rolled.stderr == (
        'bundle 1 is in force in 1 of 1 reachable data centres; '
        'unreachable: bur\n'
    )
    head, _, ltn, bur = shell.run('status').stdout.splitlines()
    assert head.startswith(f'bundle 1 ({digest[:12]}) rolled by alice at ')
    assert ltn.split() == ['ltn', 'in', 'force', '1', '2026', '2']
    assert bur.split()[:2] == ['bur', 'unreachable']
    second = shell.signed('2')
    superseded = shell.run('supersede', second, '--number', '1', '--no-wait')
    assert superseded.exit_code == 0
    lines = shell.run('history').stdout.splitlines()
    assert [line.split()[1] for line in lines] == ['2', '1']
    bundles = json.loads(shell.run('history', '--json').stdout)['bundles']
    assert [each['digest'] for each in bundles] == [second, digest]


def test_progress_is_told_until_all_have_the_bundle(shell, served):  # noqa: F811
    digest = shell.signed('1')
    bundle_numbers = iter([(0, 0), (0, 0), (1, 0), (1, 1)])
    instances = served.instances.instances

    def propagating():
        served.instances.set_bundles(*next(bundle_numbers, (1, 1)))
        return instances()

    served.instances.instances = propagating
    rolled = shell.run('roll', digest)
    assert rolled.exit_code == 0
    assert [line.split()[6] for line in rolled.stderr.splitlines()] == [
        '0',
        '1',
    ]


def lost_race(shell, served):  # noqa: F811
    served.instances.set_bundles(9)
    mine, theirs = shell.signed('1'), shell.signed('2')
    shell.run('roll', theirs, '--no-wait')
    return ('roll', mine)


def still_rolling(shell, served):  # noqa: F811
    shell.run('roll', shell.signed('1'), '--no-wait')
    served.instances.set_bundles(0)
    return ('roll', shell.signed('2'))


def spreading(shell, served):  # noqa: F811
    served.instances.set_bundles(0)
    return ('roll', shell.signed('1'), '--wait-s', '0')


def wrong_token(shell, served):  # noqa: F811
    shell.env['WASABICROSS_TOKEN'] = 'wrong-token'
    return ('status',)


def unreachable(shell, served):  # noqa: F811
    shell.env['WASABICROSS_ADMIN_URL'] = f'http://127.0.0.1:{free_ports(1)[0]}'
    return ('status',)


def store_down(shell, served):  # noqa: F811
    served.keys.is_down = True
    return ('prepare', '@1.yaml')


def wrong_key(shell, served):  # noqa: F811
    return ('sign-off', shell.prepared('1'), '--key', '@mallory')


def other_file(shell, served):  # noqa: F811
    digest = shell.prepared('1')
    return ('sign-off', digest, '--key', '@alice', '--file', '@2.yaml')


def no_key_file(shell, served):  # noqa: F811
    return ('sign-off', shell.prepared('1'), '--key', '@1.yaml')


def bad_bundle(shell, served):  # noqa: F811
    shell.write('bad', bundle_text({'a@': '1'}, routes=[]))
    return ('prepare', '@bad.yaml')


@pytest.mark.parametrize(
    ('arrange', 'code', 'text'),
    [
        (lost_race, 3, 'race_lost:\nbundle 1 ('),
        (still_rolling, 3, 'still_rolling:\nbundle 1 has not reached ltn'),
        (spreading, 6, 'still spreading after 0 s'),
        (wrong_token, 5, 'unauthorised:'),
        (unreachable, 4, 'unreachable:'),
        (store_down, 4, 'store_unavailable:'),
        (wrong_key, 3, 'signature_refused:'),
        (other_file, 3, 'draft_mismatch:'),
        (
            no_key_file,
            2,
            'Invalid value for --key: private_key: Field required',
        ),
        (bad_bundle, 3, 'bundle_invalid:\nroutes: Tuple should have'),
        (lambda *_: ('roll', 'abc'), 2, 'must be 64 hexadecimal digits'),
        (lambda *_: ('prepare',), 2, "Missing argument 'FILE'"),
    ],
)
def test_exit_codes(shell, served, arrange, code, text):  # noqa: F811
    result = shell.run(*arrange(shell, served))
    assert (result.exit_code, text in result.stderr) == (code, True)


def test_error_as_json(shell):
    result = shell.run('roll', 'f' * 64, '--json')
    assert result.exit_code == 3
    assert json.loads(result.stderr)['error']['code'] == 'unknown_bundle'


def test_keygen_never_replaces_a_key(tmp_path):
    path = tmp_path / 'key'
    args = ['keygen', 'bob', '--out', str(path)]
    first = CliRunner().invoke(main, args)
    written = path.read_text()
    key = OperatorKey.from_file(path).ok
    assert first.stdout == f'bob: {key.public_key}\n'
    assert path.stat().st_mode & 0o777 == 0o600
    assert CliRunner().invoke(main, args).exit_code == 2
    assert path.read_text() == written


class Programs:
    """Runs the key-value stand-in and admin programs."""

    def __init__(self, runner, directory):
        self.runner = runner
        self.directory = directory
        (port,) = free_ports(1)
        self.kv = f'http://127.0.0.1:{port}'
        args = ('--port', str(port))
        runner.run(Program('kv', 'emulator.kv', args, f'{self.kv}/stats'))

    def start(self, name):
        """Start an admin program; return the URL of its API."""
        ports = free_ports(6)
        pair = {'port': ports[0], 'metrics_port': ports[1]}
        document = {
            **VALID,
            'admin': pair,
            'controller': {'port': ports[2], 'metrics_port': ports[3]},
            'entries': [
                {'name': 'a', 'port': ports[4], 'metrics_port': ports[5]},
            ],
            'trusted_keys': {'alice': bytes(ALICE.verify_key).hex()},
            'platform': {**VALID['platform'], 'kv': {'url': self.kv}},
        }
        settings = self.directory / f'{name}.settings'
        settings.write_text(yaml.dump(document))
        args = ('--config', str(settings))
        ready = f'http://127.0.0.1:{pair["metrics_port"]}/readyz'
        self.runner.run(
            Program(name, 'wasabicross.programs.admin', args, ready)
        )
        return f'http://127.0.0.1:{pair["port"]}'

    def fault(self, **faults):
        resp = urllib3.request('POST', f'{self.kv}/fault', json=faults)
        assert resp.status == 200

    def calls(self):
        return urllib3.request('GET', f'{self.kv}/stats').data

    def events(self, name):
        lines = self.runner.log_path(name).read_text().splitlines()
        return [json.loads(line)['name'] for line in lines]


@pytest.fixture(scope='module')
def programs(runner, tmp_path_factory):
    return Programs(runner, tmp_path_factory.mktemp('programs'))


def test_lost_answer_and_race_between_real_processes(programs, tmp_path):
    urls = [programs.start(name) for name in ('first', 'second')]
    shells = []
    for at, url in enumerate(urls):
        directory = tmp_path / str(at)
        directory.mkdir()
        shells.append(Shell(directory, url))
    programs.fault(drop_swaps=1, drop_prefix='bundle/current')
    first = shells[0].signed('1')
    assert shells[0].run('roll', first, '--no-wait').exit_code == 0
    programs.fault(drop_swaps=0)
    digests = [shells[0].signed('2'), shells[1].signed('3')]
    with ThreadPoolExecutor(2) as pool:
        results = list(
            pool.map(
                lambda shell, digest: shell.client.supersede(digest, 1),
                shells,
                digests,
            )
        )
    (lost,) = [result.error for result in results if result.is_error()]
    assert lost.code == 'race_lost'
    lines = shells[1].run('history').stdout.splitlines()
    assert [line.split()[1] for line in lines] == ['2', '1']


def test_planned_stop_finishes_the_request_in_progress(programs, tmp_path):
    shell = Shell(tmp_path, programs.start('stopped'))
    programs.fault(slow_ms=200)
    before = programs.calls()
    with ThreadPoolExecutor(1) as pool:
        prepared = pool.submit(shell.client.prepare, bundle_text({'z': '9'}))
        wait_until(lambda: programs.calls() != before, 5, 'prepare began')
        exit_code = programs.runner.stop('stopped')
        assert prepared.result().ok['name'] == 'closing'
    programs.fault(slow_ms=0)
    assert exit_code == 0
    assert programs.events('stopped') == [
        'program_started',
        'program_stopping',
        'bundle_prepared',
        'program_stopped',
    ]
    assert shell.run('status').exit_code == 4
