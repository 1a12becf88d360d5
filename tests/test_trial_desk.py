"""Trial permits: who gets one, and when a loss convicts a suspect."""

import pytest
from trial_parts import INNOCENT, KILLER, OTHER, FakeLink

from wasabicross.controllers.trial_permit_service import (
    NO_KEEPER,
    TrialPermitService,
)
from wasabicross.messaging.messages import (
    EndTrial,
    SuspectRunning,
    TakeTrial,
    TrialAnswer,
    TrialLost,
)
from wasabicross.ownership.trial_permits import TrialPermits


def test_forwarded_question_is_not_forwarded_again():
    service = TrialPermitService(
        TrialPermits(60), lambda server_id: server_id != 'b', None
    )
    link = FakeLink('controller')
    service.handle_request(TakeTrial('b', KILLER, 'p'), link, 1, 0)
    assert link.answer == NO_KEEPER
    service.handle_request(TakeTrial('a', KILLER, 'p'), link, 1, 0)
    assert link.answer == TrialAnswer(agreed=True)


@pytest.mark.parametrize(
    ('steps', 'sole'),
    [
        (['take'], True),
        ([], False),
        (['take', 'occupy'], False),
        (['take', 'occupy', 'leave'], False),
        (['occupy', 'leave', 'take'], True),
        (['occupy', 'take'], False),
    ],
)
def test_loss_of_a_trial_convicts_only_the_sole_suspect(steps, sole):
    service = TrialPermitService(
        TrialPermits(60), lambda _server_id: True, None
    )
    link = FakeLink('controller')
    for step in steps:
        if step == 'take':
            service.handle_request(TakeTrial('a', KILLER, 'p'), link, 1, 0)
        elif step == 'occupy':
            service.handle_notice(SuspectRunning('a', INNOCENT, 'q'), link, 0)
        else:
            service.handle_notice(EndTrial('a', INNOCENT, 'q'), link, 0)
    service.handle_request(TrialLost('a', KILLER, 'p'), link, 1, 1)
    assert link.answer == TrialAnswer(agreed=sole)


@pytest.mark.parametrize(('now_s', 'is_granted'), [(59, False), (61, True)])
def test_new_owner_waits_for_the_permits_of_the_last(now_s, is_granted):
    permits = TrialPermits(60)
    permits.block_until_expiry('a', 0)
    assert permits.acquire('a', KILLER, 'p', now_s) is is_granted
    assert permits.acquire('b', KILLER, 'p', now_s)


def test_what_was_never_returned_lapses():
    permits = TrialPermits(60)
    assert permits.acquire('a', KILLER, 'p', 0)
    permits.record_unpermitted_run('b', INNOCENT, 'q', 0)
    permits.block_until_expiry('c', 0)
    assert not any(permits.acquire(each, OTHER, 'r', 59) for each in 'abc')
    assert all(permits.acquire(each, OTHER, 'r', 60) for each in 'abc')
    assert len(permits) == 3
