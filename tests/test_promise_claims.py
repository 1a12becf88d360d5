"""Keyed calls run at most once when instances die or ranges change hands."""

import threading
from functools import partial
from itertools import islice

import pytest
from claim_parts import (
    Copies,
    at_once,
    check_once,
    is_logged,
    is_settled,
    keys_of,
    order,
    range_owner,
    runs,
    segments,
)
from promise_parts import SHORT_TIMES, Trial, small_shape

from emulator.waiting import wait_until

#: A write to the log carries the whole last segment; one of this size can be
#: told from all else that goes to the service.
SEGMENT_BYTES = range(1_000, 14_000)
#: How calls begin that read a key of the service.
READ = 'GET /v1/key'
OWNERS_S = 30


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(
        instances=2,
        services=1,
        proxied=('instance', 'kv', 'service'),
        # One range, which is never handed on only to share ranges evenly.
        settings={**SHORT_TIMES, 'claims': {'ranges': 1}},
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


@pytest.fixture
def owned(trial):
    """Wait until every entry reaches the range's owner.

    Links that a failed test has left with faults are healed for the next one.
    """
    for entry in trial.dep.entries:
        keys = keys_of(0, f'owned-{entry.name}-{trial.next_number()}')
        wait_until(
            lambda keys=keys, entry=entry: completes(trial, entry, keys),
            OWNERS_S,
            f'an owner for {entry.name}',
        )
    yield
    for entry in trial.dep.entries:
        instance = trial.dep.instance_of(entry.name)
        for target in (trial.dep.kv, *trial.dep.services):
            trial.dep.links.heal((instance, target.name))


def completes(trial, entry, keys):
    """Tell whether an order completes, once its outcome is in the log.

    The outcome is told while it is being written, and a log writes one thing
    at a time: what is held later would hold up that write as well.
    """
    key = next(keys)
    if not order(trial, entry, key).completed:
        return False
    wait_until(lambda: is_settled(trial, 0, key), OWNERS_S, 'the outcome')
    return True


class Instance:
    """An instance that owns a range of keys, and its entry."""

    def __init__(self, trial):
        self.trial = trial
        self.range = 0
        self.name = wait_until(lambda: range_owner(trial, 0), OWNERS_S, 'owner')
        self.others = [
            entry
            for entry in trial.dep.entries
            if trial.dep.instance_of(entry.name) != self.name
        ]
        (self.entry,) = {*trial.dep.entries} - {*self.others}

    def hold(self, kind, direction, text=''):
        """Hold what goes to or comes from a kind of processes."""
        for target in self._targets(kind):
            self.trial.dep.links.fault(
                self.name, target, hold=[direction], hold_text=text
            )

    def waiting(self, kind, direction='up'):
        """Count the bytes that are on their way over the links."""
        return sum(
            self.trial.dep.links.count(self.name, target, direction, 'waiting')
            for target in self._targets(kind)
        )

    def settle(self, stem):
        """Let a call complete, and its outcome be known to have been written.

        A log writes one thing at a time, so an answer that is held would hold
        up the next write as well.
        """
        assert completes(self.trial, self.entry, keys_of(self.range, stem))
        wait_until(lambda: not self.waiting('kv', 'down'), 10, 'the answer')

    def heal(self):
        """Deliver what was held and wait until it has left the links."""
        for kind in ('kv', 'service'):
            for target in self._targets(kind):
                self.trial.dep.links.heal((self.name, target))
            wait_until(lambda kind=kind: not self.waiting(kind), 10, 'delivery')

    def kill(self, programs):
        for name in programs:
            self.trial.runner.kill(name)

    def restart(self, programs):
        for name in programs:
            self.trial.runner.restart(name)

    def _targets(self, kind):
        if kind == 'kv':
            return [self.trial.dep.kv.name]
        return [service.name for service in self.trial.dep.services]


def claim_on_its_way(instance, key, send):
    """The claim has left its owner, and the service has not seen it."""
    trial, number = instance.trial, instance.range
    keys = keys_of(number, f'fill-{key}')
    while len(segments(trial, number)[-1]) not in SEGMENT_BYTES:
        assert completes(trial, instance.entry, keys)
    instance.hold('kv', 'up')
    send()
    wait_until(
        lambda: instance.waiting('kv') > SEGMENT_BYTES.start, 10, 'write'
    )


def claim_written(instance, key, send):
    """The claim is in the log, and its owner does not know it yet."""
    instance.settle(f'settled-{key}')
    instance.hold('kv', 'down')
    send()
    logged = partial(is_logged, instance.trial, instance.range, key)
    wait_until(logged, 10, 'claim in the log')


def order_on_its_way(instance, key, send):
    """The order has left its entry, and no service has seen it."""
    instance.hold('service', 'up')
    send()
    wait_until(lambda: instance.waiting('service'), 10, 'order sent')


def order_run(instance, key, send):
    """The order has run, and its answer has not arrived."""
    instance.hold('service', 'down')
    send()
    wait_until(lambda: runs(instance.trial, key), 10, 'order run')


def wait_for_owner(instance, stem):
    """Wait until the other instances reach an owner of the range."""
    keys = keys_of(instance.range, stem)
    wait_until(
        lambda: order(instance.trial, instance.others[0], next(keys)).completed,
        OWNERS_S,
        'an owner of the range',
    )


def whole_instance(instance):
    return (instance.name, instance.entry.name)


def entry_alone(instance):
    return (instance.entry.name,)


def controller_alone(instance):
    return (instance.name,)


@pytest.mark.parametrize('who', [whole_instance, entry_alone, controller_alone])
@pytest.mark.parametrize(
    'reach',
    [claim_on_its_way, claim_written, order_on_its_way, order_run],
    ids=lambda each: each.__name__,
)
def test_killed(trial, owned, reach, who):
    """What was held arrives only after the kill and after the repeats."""
    instance = Instance(trial)
    key = next(keys_of(instance.range, f'{reach.__name__}-{who.__name__}'))
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(order(trial, instance.entry, key)),
    )
    reach(instance, key, caller.start)
    killed = who(instance)
    instance.kill(killed)
    trial.lapse_leases()
    wait_for_owner(instance, f'{key}-owner')
    answers.extend(at_once(trial, key, instance.others))
    instance.heal()
    answers.extend(at_once(trial, key, instance.others))
    instance.restart(killed)
    caller.join(40)
    wait_until(lambda: trial.is_ready(instance.entry), 10, 'ready again')
    answers.extend(at_once(trial, key, trial.dep.entries))
    check_once(trial, key, answers)


def paused(instance):
    """The owner stands still until another owns its range."""
    instance.trial.runner.pause(instance.name)


def killed(instance):
    instance.trial.runner.kill(instance.name)


def back(instance, change):
    if change is paused:
        # It may write, and can't read that another owns its range.
        instance.hold('kv', 'up', READ)
        instance.trial.runner.resume(instance.name)
    else:
        instance.trial.runner.restart(instance.name)


@pytest.mark.parametrize('change', [paused, killed], ids=['paused', 'killed'])
def test_range_changes_its_owner(trial, owned, change):
    """Copies arrive before, during and after; some reach the old owner."""
    instance = Instance(trial)
    stem = f'changed-{change.__name__}'
    early, late = islice(keys_of(instance.range, stem), 2)
    answers = {early: at_once(trial, early, trial.dep.entries), late: []}
    change(instance)
    waves = [Copies(trial, late, trial.dep.entries)]
    trial.lapse_leases()
    wait_until(
        lambda: range_owner(trial, instance.range) not in {'', instance.name},
        OWNERS_S,
        'another owner',
    )
    new = next(keys_of(instance.range, f'{stem}-new'))
    answers[new] = []
    wait_until(
        lambda: (
            answers[new].append(order(trial, instance.others[0], new))
            or answers[new][-1].completed
        ),
        OWNERS_S,
        'a claim at the new owner',
    )
    # These wait for the old owner and are the first that it reads.
    stale = [
        (key, Copies(trial, key, [instance.entry], copies=2))
        for key in (early, late, new)
    ]
    back(instance, change)
    for key in answers:
        stale.append((key, Copies(trial, key, trial.dep.entries)))
    for key, wave in [*((late, wave) for wave in waves), *stale]:
        answers[key].extend(wave.join())
    instance.heal()
    wait_until(lambda: trial.is_ready(instance.entry), 10, 'ready again')
    for key, got in answers.items():
        got.extend(order(trial, entry, key) for entry in trial.dep.entries)
        check_once(trial, key, got)
    assert runs(trial, early) == 1
    assert runs(trial, new) == 1
