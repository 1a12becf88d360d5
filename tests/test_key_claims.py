"""An entry repeats a claim while the range of its key has no owner yet.

Without that, keyed calls would fail right after a start or a change of owner.
"""

import time
from types import SimpleNamespace

import pytest
from expression import Error, Ok

from wasabicross.callers.key_claims import KeyClaims
from wasabicross.messaging.errors import LinkClosed
from wasabicross.messaging.messages import (
    ClaimAnswer,
    ClaimKey,
    Done,
    SettleKey,
)

NO_WAIT_S = 0.0
LONG_WAIT_S = 60.0


def answer(state):
    return Ok(ClaimAnswer(state, 0, '', b'', 2))


class FakeController:
    """Answers claims with the given answers in order, then repeats the last."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.claims = 0
        self.settled = []

    def call(self, message, timeout_s):
        if isinstance(message, SettleKey):
            self.settled.append(message.outcome)
            return Ok(Done())
        assert isinstance(message, ClaimKey)
        self.claims += 1
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]


@pytest.mark.parametrize(
    ('answers', 'wait_s', 'timeout_s', 'status', 'claims', 'settled'),
    [
        (['granted'], LONG_WAIT_S, LONG_WAIT_S, None, 1, []),
        (
            ['not_owned', 'not_owned', 'granted'],
            LONG_WAIT_S,
            LONG_WAIT_S,
            None,
            3,
            [],
        ),
        (['not_owned', 'running'], LONG_WAIT_S, LONG_WAIT_S, 409, 2, []),
        (['not_owned', 'unavailable'], LONG_WAIT_S, LONG_WAIT_S, 503, 2, []),
        (['not_owned', 'granted'], NO_WAIT_S, LONG_WAIT_S, 503, 1, []),
        (['not_owned', 'granted'], LONG_WAIT_S, 0, 503, 1, []),
        (['not_owned', None], LONG_WAIT_S, LONG_WAIT_S, 503, 2, ['not_run']),
    ],
    ids=[
        'owned',
        'owned soon',
        'held by another',
        'service goes',
        'no wait',
        'deadline',
        'link goes',
    ],
)
def test_claim_waits_for_the_first_owner_of_its_range(
    answers, wait_s, timeout_s, status, claims, settled
):
    controller = FakeController(
        answer(state) if state else Error(LinkClosed('gone'))
        for state in answers
    )
    req = SimpleNamespace(
        tenant='t',
        key='k',
        request_id='r',
        deadline_s=time.monotonic() + timeout_s,
    )
    reply = KeyClaims(controller, 'holder', wait_s).claim(req, 'd')
    assert (reply.status if reply else None) == status
    assert controller.claims == claims
    assert controller.settled == settled
