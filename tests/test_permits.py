"""Permits go to those that wait, and copies get theirs after them."""

import pytest

from wasabicross.load_budget import LoadBudget
from wasabicross.messages import PermitGranted, PermitLoad, PermitReturned
from wasabicross.permits import PermitDesk


class RecordingLink:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


@pytest.mark.parametrize(
    ('asked', 'order'),
    [
        ([('a', 0), ('b', 3)], 'ba'),
        ([('a', 0)], 'a'),
        ([('a', 1), ('b', 3)], 'ba'),
    ],
)
def test_copies_come_after_waiting_requests(asked, order):
    desk, link = PermitDesk(LoadBudget(), 1), RecordingLink()
    for adapter, waiting in asked:
        desk.ask(PermitLoad('s', 'dc', adapter, '1', waiting, 1), link, 1)
    for now_s in range(1, 4):
        desk.grant_due(now_s)
    assert [granted.adapter for granted in link.sent] == list(order)


@pytest.mark.parametrize(('server', 'repeats'), [('s', 2), ('other', 1)])
def test_only_the_server_that_has_the_permit_is_told_again(server, repeats):
    desk, link = PermitDesk(LoadBudget(), 1), RecordingLink()
    desk.ask(PermitLoad('s', 'dc', 'a', '1', 1, 1), link, 1)
    desk.grant_due(1)
    desk.ask(PermitLoad(server, 'dc', 'a', '1', 1, 1), link, 2)
    assert link.sent == [PermitGranted('s', 'a', '1')] * repeats
    desk.give_back(PermitReturned('s', 'dc', 'a', '1', True), 3)
    desk.ask(PermitLoad('other', 'dc', 'a', '1', 1, 1), link, 4)
    desk.grant_due(4)
    assert link.sent[-1] == PermitGranted('other', 'a', '1')


def test_permit_of_a_server_that_vanished_goes_to_another():
    desk, link = PermitDesk(LoadBudget(), 1), RecordingLink()
    for server, now_s in (('gone', 1), ('other', 2), ('other', 12)):
        desk.ask(PermitLoad(server, 'dc', 'a', '1', 1, 1), link, now_s)
        desk.grant_due(now_s)
    desk.grant_due(13)
    assert [granted.server_id for granted in link.sent] == ['gone', 'other']
