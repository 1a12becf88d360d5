"""Keyed calls are answered as soon as an entry is ready."""

import threading

import pytest
from promise_parts import SHORT_TIMES, Trial, small_shape

CALLS = 24
#: Requests may last longer than key ranges take to get their first owners.
TIMES = {**SHORT_TIMES['servers'], 'max_request_s': 30}


@pytest.fixture
def trial(runner, tmp_path_factory):
    shape = small_shape(
        services=1,
        settings={**SHORT_TIMES, 'servers': TIMES},
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


def test_first_keyed_calls_are_answered(trial):
    answers = []

    def call(number):
        answers.append(
            trial.call(
                trial.dep.entries[number % 2],
                {'order': number},
                path='/orders',
                headers={'Idempotency-Key': f'first-{number}'},
            )
        )

    threads = [
        threading.Thread(target=call, args=(number,)) for number in range(CALLS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(40)
    assert [answer.status for answer in answers] == [200] * CALLS
