"""Operators race, and administration APIs stop during a roll."""

import json
import signal

import pytest
from caller_parts import ADAPTERS, watched_entries
from promise_parts import POLICY, Trial, start_trial

from emulator.deployment import HOST, OPERATOR_TOKEN
from emulator.fleet import Program
from emulator.operator import Operator, bundle_text
from emulator.waiting import wait_until
from wasabicross.bundles.bundle_keys import CURRENT_KEY

SEED = 20261210
#: Delay of each call to the key-value service, so that other calls interleave.
SLOW_MS = 300
PROPAGATION_S = 20
DONE = 0
REFUSED = 3
NO_ANSWER = 4
STILL_PROPAGATING = 6


class OperatedTrial(Trial):
    """A deployment in which operators roll all bundles, the first included."""

    def roll(self, versions):
        self.runner.wait_ready()
        number = Operator(self.dep).roll(bundle_text(versions, policy=POLICY))
        self.versions[number] = versions
        return number


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    return start_trial(runner, tmp_path_factory, OperatedTrial, admins=True)


@pytest.fixture
def watched(trial):
    """Send traffic that checks the order of bundles in each entry's answers."""
    with watched_entries(trial, SEED) as by_entry:
        yield by_entry
        trial.fault(trial.dep.kv, slow_ms=0, drop_swaps=0, drop_prefix='')
    for entry in trial.dep.entries:
        in_force = trial.bundles_at(entry)
        assert in_force == sorted(set(in_force))


class Command:
    """An operator's command in its own process."""

    def __init__(self, trial, admin, *args, wait_s=PROPAGATION_S):
        self.name = f'command-{trial.next_number()}'
        self._runner = trial.runner
        options = (
            '--json',
            '--wait-s',
            str(wait_s),
            '--url',
            f'http://{HOST}:{admin.port}',
            '--token',
            OPERATOR_TOKEN,
        )
        program = Program(
            self.name, 'wasabicross.programs.cli', (*args, *options)
        )
        self._runner.start(program)

    def wait(self):
        """Return the exit code and the JSON objects that were printed."""
        code = self._runner.wait(self.name, 2 * PROPAGATION_S)
        lines = self._runner.log_path(self.name).read_text().splitlines()
        printed = [json.loads(line) for line in lines if line.startswith('{')]
        return code, printed


def sign_off(trial, admin_number, stem):
    """Prepare and sign a bundle; return its digest and its versions."""
    versions = dict.fromkeys(ADAPTERS, f'{stem}-{trial.next_number()}')
    text = bundle_text(versions, policy=POLICY)
    return Operator(trial.dep, admin_number).sign_off(text), versions


def next_number(trial):
    return trial.store().current().ok.pointer.number + 1


def is_everywhere(trial, number):
    return all(
        Operator(trial.dep, admin_number).is_in_force_everywhere(number)
        for admin_number in range(len(trial.dep.admins))
    )


def args_of(action, digest, number):
    if action == 'roll':
        return ('roll', digest)
    return ('supersede', digest, '--number', str(number - 1))


@pytest.mark.parametrize('lost', [0, 1], ids=['answered', 'answer lost'])
@pytest.mark.parametrize('actions', [
    ('roll', 'roll'),
    ('supersede', 'supersede'),
    ('roll', 'supersede'),
], ids='-'.join)  # fmt: skip
def test_race(trial, watched, actions, lost):
    """One command wins; the other reports the lost race and changes nothing."""
    number = next_number(trial)
    wait_until(
        lambda: is_everywhere(trial, number - 1), PROPAGATION_S, 'propagation'
    )
    admins = trial.dep.admins
    signed = [sign_off(trial, at, f'racer-{at}') for at in range(len(admins))]
    trial.fault(
        trial.dep.kv, slow_ms=SLOW_MS, drop_swaps=lost, drop_prefix=CURRENT_KEY
    )
    # Both are registered before either can be in force.
    racers = [
        Command(trial, admin, *args_of(action, digest, number))
        for admin, action, (digest, _) in zip(
            admins, actions, signed, strict=True
        )
    ]
    pointer = wait_until(
        lambda: (
            trial.store().current().ok.pointer.number == number
            and trial.store().current().ok.pointer
        ),
        PROPAGATION_S,
        'a winner',
    )
    trial.versions[number] = dict(signed)[pointer.digest]
    ended = [racer.wait() for racer in racers]
    winner = [digest for digest, _ in signed].index(pointer.digest)
    code, printed = ended[winner]
    assert code == DONE, printed
    assert printed[-1]['digest'] == pointer.digest
    code, printed = ended[1 - winner]
    assert code == REFUSED, printed
    assert printed[-1]['error']['code'] == 'race_lost'
    assert str(number) in printed[-1]['error']['message']
    trial.wait_in_force(number)
    assert trial.store().current().ok.pointer == pointer
    if lost:
        assert trial.ask(trial.dep.kv, '/stats')['dropped']


def before_the_swap(trial, number):
    """Tell whether the old pointer is kept; the swap is in progress or next."""
    return trial.store().past_pointer(number - 1).is_ok()


def after_the_swap(trial, number):
    """Tell whether the swap took effect; its lost answer causes a retry."""
    return trial.store().current().ok.pointer.number == number


@pytest.mark.parametrize(
    ('signal_sent', 'codes'),
    [
        (signal.SIGTERM, {DONE, STILL_PROPAGATING}),
        (signal.SIGKILL, {NO_ANSWER}),
    ],
    ids=['stopped', 'killed'],
)
@pytest.mark.parametrize(
    'has_reached',
    [before_the_swap, after_the_swap],
    ids=lambda each: each.__name__,
)
def test_admin_ends_in_a_roll(trial, watched, has_reached, signal_sent, codes):
    """The command, repeated through the other API, rolls the bundle once."""
    number = next_number(trial)
    wait_until(
        lambda: is_everywhere(trial, number - 1), PROPAGATION_S, 'propagation'
    )
    first, other = trial.dep.admins
    digest, versions = sign_off(trial, 0, 'stopped')
    trial.versions[number] = versions
    trial.fault(
        trial.dep.kv, slow_ms=SLOW_MS, drop_swaps=1, drop_prefix=CURRENT_KEY
    )
    command = Command(trial, first, 'roll', digest, wait_s=1)
    wait_until(
        lambda: has_reached(trial, number), PROPAGATION_S, has_reached.__name__
    )
    if signal_sent is signal.SIGKILL:
        trial.runner.kill(first.name)
    else:
        trial.runner.terminate(first.name)
    repeated = Command(trial, other, 'roll', digest)
    code, printed = command.wait()
    assert code in codes, printed
    code, printed = repeated.wait()
    assert code == DONE, printed
    assert (printed[0]['number'], printed[0]['digest']) == (number, digest)
    if signal_sent is signal.SIGTERM:
        assert trial.runner.wait(first.name) == 0
    trial.runner.restart(first.name)
    trial.wait_in_force(number)
    history = trial.store().past_pointer(number - 1)
    assert history.is_ok()
    assert next_number(trial) == number + 1
