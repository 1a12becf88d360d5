"""A server that says itself that it is leaving, while the list lags."""

import pytest
from caller_parts import ADAPTERS, model_document
from promise_parts import start_trial


@pytest.fixture
def trial(runner, tmp_path_factory):
    return start_trial(
        runner,
        tmp_path_factory,
        data_centres=('north',),
        instances=2,
        engines=2,
    )


def call_all(trial):
    """Call each adapter through each entry."""
    answers = [
        trial.call(entry, model_document(adapter))
        for entry in trial.dep.entries
        for adapter in ADAPTERS
    ]
    assert all(answer.completed for answer in answers), answers


def log_lengths(trial):
    return [len(trial.log(each)['log']) for each in trial.dep.engines]


def test_own_word_of_leaving(trial):
    """It counts while the list goes on to show the server as live."""
    call_all(trial)
    # Which engines were granted use by then decides where adapters are.
    before = log_lengths(trial)
    at = before.index(max(before))
    trial.fault(trial.dep.engines[at], kind='leaving')
    # What is held nowhere else is loaded where it can be used.
    call_all(trial)
    leaving, other = log_lengths(trial)[at], log_lengths(trial)[1 - at]
    call_all(trial)
    call_all(trial)
    assert log_lengths(trial)[at] == leaving
    assert log_lengths(trial)[1 - at] > other
