"""A server reports that it is leaving before the list of servers does."""

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
    """The report takes effect while the list still shows the server as live."""
    call_all(trial)
    # Which engine holds adapters depends on the grants of use so far.
    before = log_lengths(trial)
    number = before.index(max(before))
    trial.fault(trial.dep.engines[number], kind='leaving')
    # Adapters that only this engine held are loaded at the other one.
    call_all(trial)
    leaving, other = log_lengths(trial)[number], log_lengths(trial)[1 - number]
    call_all(trial)
    call_all(trial)
    assert log_lengths(trial)[number] == leaving
    assert log_lengths(trial)[1 - number] > other
