"""Concurrent copies of a crasher cost at most one server per entry plus one."""

import random
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest
from caller_parts import ADAPTERS, Traffic, model_document
from promise_parts import FAST_ENGINE, Trial, small_shape

from emulator.waiting import wait_until

SEED = 20261210
MARKER = 'crash-this-engine'


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    """Start six engines, each of which soon holds the one adapter in use."""
    shape = small_shape(
        instances=2,
        engines=3,
        engine_args=(*FAST_ENGINE, '--batch', '2', '--crash-marker', MARKER),
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


def hot_adapter(rng):
    text = f'text {rng.randint(0, 10**9)}'
    return model_document(ADAPTERS[0], tokens=20, text=text)


def holders(trial):
    return [each for each in trial.dep.engines if trial.log(each)['ready']]


def lost_engines(trial):
    running = trial.runner.running()
    return [each.name for each in trial.dep.engines if each.name not in running]


@pytest.mark.parametrize('copies', [4, 12, 40])
def test_first_wave(trial, copies):
    rng = random.Random(f'{SEED}/{copies}')
    document = model_document(
        ADAPTERS[0], stream=False, text=f'{MARKER} {copies}'
    )
    entries = trial.dep.entries
    max_lost = len(entries) + 1
    with Traffic(trial, 24, hot_adapter, SEED) as traffic:
        wait_until(lambda: len(holders(trial)) > max_lost, 40, 'holders')
        with ThreadPoolExecutor(copies) as pool:
            copies_sent = [
                pool.submit(trial.call, entries[turn % len(entries)], document)
                for turn in range(copies)
            ]
        repeats = [
            trial.call(rng.choice(entries), document) for _ in range(copies)
        ]
        lost = lost_engines(trial)
        for name in lost:
            trial.runner.restart(name)
        traffic.wait_for(20)
    answers = [*(each.result() for each in copies_sent), *repeats]
    assert 1 <= len(lost) <= max_lost
    assert not [each for each in answers if each.status == 200]
    assert not [each for each in traffic.answers if each.status == 422]
    for entry in entries:
        wait_until(partial(is_refused, trial, entry, document), 20, 'refusal')
    assert not lost_engines(trial)


def is_refused(trial, entry, document):
    return trial.call(entry, document).status == 422
