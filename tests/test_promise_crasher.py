"""A crasher crashes few servers, and no other request is refused for it."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest
from caller_parts import ADAPTERS, Traffic, any_adapter, check_answers
from promise_parts import FAST_ENGINE, Trial, small_shape

from emulator.waiting import wait_until

SEED = 20261208
MARKER = 'crash-this-engine'
#: Servers that a request may crash: the first one and that of its trial.
MAX_LOST = 2
COPIES = 6


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(
        data_centres=('north', 'south'),
        engines=2,
        engine_args=(*FAST_ENGINE, '--crash-marker', MARKER),
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


def crasher(adapter, text=MARKER):
    return {
        'model': adapter,
        'max_tokens': 4,
        'stream': False,
        'messages': [{'role': 'user', 'content': text}],
    }


def restart_lost_engines(trial):
    """Restart the engines that were lost; return their names."""
    running = trial.runner.running()
    names = [
        each.name for each in trial.dep.engines if each.name not in running
    ]
    for name in names:
        trial.runner.restart(name)
    return names


def test_crasher(trial):
    """A crasher is sent repeatedly through both data centres amid traffic."""
    with Traffic(trial, 6, any_adapter, SEED) as traffic:
        traffic.wait_for(20)
        copies = []
        for turn in range(COPIES):
            entry = trial.dep.entries[turn % 2]
            copies.append(trial.call(entry, crasher(ADAPTERS[0])))
            traffic.wait_for(10)
        lost = restart_lost_engines(trial)
        traffic.wait_for(20)
    assert 1 <= len(lost) <= MAX_LOST
    assert copies[-1].status == 422
    assert json.loads(copies[-1].body)['error']['code'] == 'crashes_servers'
    assert copies[-1].outcome == 'not-run'
    assert not [copy for copy in copies if copy.status == 200]
    wait_until(lambda: traffic.answers, 1, 'answers')
    complete = [each for each in traffic.answers if each.completed]
    cut = [
        each
        for each in traffic.answers
        if each.status == 200 and not each.is_complete
    ]
    assert len(cut) <= MAX_LOST * 6
    refused = [each for each in traffic.answers if each.status == 422]
    assert not refused
    # The logs of crashed engines are lost.
    logged = trial.requests()
    assert check_answers(
        trial, [each for each in complete if each.request_id in logged]
    )


def test_copies_at_one_moment(trial):
    """Each entry sends its copies to one server; the trial uses one more."""
    document = crasher(ADAPTERS[0], f'{MARKER} at once')
    with Traffic(trial, 6, any_adapter, SEED) as traffic:
        traffic.wait_for(20)
        with ThreadPoolExecutor(COPIES) as pool:
            copies = [
                pool.submit(trial.call, trial.dep.entries[turn % 2], document)
                for turn in range(COPIES)
            ]
        traffic.wait_for(10)
        last = [trial.call(each, document) for each in trial.dep.entries]
        lost = restart_lost_engines(trial)
        traffic.wait_for(20)
    assert 1 <= len(lost) <= len(trial.dep.entries) + 1
    assert not [each for each in copies if each.result().status == 200]
    assert {answer.status for answer in last} == {422}
    assert not [each for each in traffic.answers if each.status == 422]
