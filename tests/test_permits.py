"""Load permits go to waiting requests first and to copies after them.

A permit that is neither used nor returned would block a load elsewhere.
"""

import time
from threading import Event, Thread

import pytest

from emulator.waiting import wait_until
from wasabicross.loads import permits
from wasabicross.loads.load_budget import LoadBudget
from wasabicross.loads.load_queue import LoadQueue
from wasabicross.loads.permits import PermitIssuer
from wasabicross.messaging.messages import (
    PermitGranted,
    PermitLoad,
    PermitReturned,
    WantLoad,
)


class RecordingLink:
    """A link that records the messages sent on it."""

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
    issuer, link = PermitIssuer(LoadBudget(), 1), RecordingLink()
    for adapter, waiting in asked:
        issuer.request_permit(
            PermitLoad('s', 'dc', adapter, '1', waiting, 1), link, 1
        )
    for now_s in range(1, 4):
        issuer.grant_due(now_s)
    assert [granted.adapter for granted in link.sent] == list(order)


@pytest.mark.parametrize(('server', 'repeats'), [('s', 2), ('other', 1)])
def test_only_the_server_that_has_the_permit_is_granted_again(server, repeats):
    issuer, link = PermitIssuer(LoadBudget(), 1), RecordingLink()
    issuer.request_permit(PermitLoad('s', 'dc', 'a', '1', 1, 1), link, 1)
    issuer.grant_due(1)
    issuer.request_permit(PermitLoad(server, 'dc', 'a', '1', 1, 1), link, 2)
    assert link.sent == [PermitGranted('s', 'a', '1')] * repeats
    issuer.return_permit(PermitReturned('s', 'dc', 'a', '1', True), 3)
    issuer.request_permit(PermitLoad('other', 'dc', 'a', '1', 1, 1), link, 4)
    issuer.grant_due(4)
    assert link.sent[-1] == PermitGranted('other', 'a', '1')


def test_permit_of_a_server_that_vanished_goes_to_another():
    issuer, link = PermitIssuer(LoadBudget(), 1), RecordingLink()
    for server, now_s in (('gone', 1), ('other', 2), ('other', 12)):
        issuer.request_permit(
            PermitLoad(server, 'dc', 'a', '1', 1, 1), link, now_s
        )
        issuer.grant_due(now_s)
    issuer.grant_due(13)
    assert [granted.server_id for granted in link.sent] == ['gone', 'other']


@pytest.mark.parametrize(
    ('asked_s', 'granted'), [((1,), 'b'), ((1, 2, 3), 'ab'), ((1, 3), 'ab')]
)
def test_what_is_no_longer_asked_for_takes_no_permit(asked_s, granted):
    issuer, link = PermitIssuer(LoadBudget(loads_per_s=1), 1), RecordingLink()
    issuer.request_permit(PermitLoad('s', 'dc', 'first', '1', 9, 9), link, 0.9)
    issuer.grant_due(0.9)
    for now_s in asked_s:
        issuer.request_permit(
            PermitLoad('s', 'dc', 'a', '1', 5, now_s), link, now_s
        )
    issuer.request_permit(PermitLoad('s', 'dc', 'b', '1', 1, 1), link, 3)
    link.sent.clear()
    for now_s in (3, 4):
        issuer.grant_due(now_s)
    assert [each.adapter for each in link.sent] == list(granted)


@pytest.mark.parametrize(
    ('waiting', 'now_s', 'is_due'),
    [(1, 1, True), (1, 1.5, False), (0, 4.5, True), (0, 6, False)],
)
def test_load_requests_that_are_not_repeated_are_dropped(
    waiting, now_s, is_due
):
    queue = LoadQueue('s', RecordingPermits())
    load_request = WantLoad('a', '1', 'base', 'group', 'draft', waiting, [])
    queue.add(load_request, RecordingLink(), 0)
    assert bool(queue.due(now_s)) is is_due


@pytest.mark.parametrize(
    ('adapter', 'waiting', 'unused'),
    [('a', 2, ['a']), ('other', 2, []), ('a', 0, [])],
)
def test_what_another_server_loaded_is_no_longer_requested(
    adapter, waiting, unused
):
    permits = RecordingPermits()
    queue = LoadQueue('s', permits)
    load_request = WantLoad('a', '1', 'base', 'group', 'draft', waiting, [])
    queue.add(load_request, RecordingLink(), 0)
    queue.add_permit('a', '1')
    queue.drop_satisfied(adapter, '1')
    assert permits.unused == unused
    assert len(queue) == (not unused)


def test_unused_permits_do_not_fill_the_budget():
    issuer, link = PermitIssuer(LoadBudget(), 1), RecordingLink()
    for number in range(20):
        now_s = number + 1
        name = f'a{number}'
        issuer.request_permit(
            PermitLoad('s', 'dc', name, '1', 1, 1), link, now_s
        )
        issuer.grant_due(now_s)
        issuer.return_permit(
            PermitReturned('s', 'dc', name, '1', False, False), now_s
        )
    assert len(link.sent) == 20


def test_an_idle_issuer_grants_what_is_requested_later(monkeypatch):
    monkeypatch.setattr(permits, 'IDLE_INTERVAL_S', 600)
    issuer, link, stop = PermitIssuer(LoadBudget(), 1), RecordingLink(), Event()
    thread = Thread(target=issuer.run, args=(stop,), daemon=True)
    thread.start()
    for number in range(3):
        name = f'a{number}'
        asked = PermitLoad('s', 'dc', name, '1', 1, 1)
        issuer.request_permit(asked, link, time.monotonic())
        wait_until(lambda: len(link.sent) > number, 30, 'a grant')  # noqa: B023
        returned = PermitReturned('s', 'dc', name, '1', True)
        issuer.return_permit(returned, time.monotonic())
    stop.set()
    issuer.request_permit(
        PermitLoad('s', 'dc', 'last', '1', 1, 1), link, time.monotonic()
    )
    thread.join(30)
    assert not thread.is_alive()


class RecordingPermits:
    """Records the adapters whose permits are returned unused."""

    def __init__(self):
        self.unused = []

    def request(self, server_id, load_request, waiting_since_s):
        """Grant nothing."""

    def return_unused(self, server_id, adapter, version):
        self.unused.append(adapter)


@pytest.mark.parametrize(
    ('permitted_first', 'end'),
    [(True, 'decline'), (False, 'decline'), (True, 'expire'), (True, 'remove')],
)
def test_permit_that_nothing_waits_for_is_returned(permitted_first, end):
    permits = RecordingPermits()
    queue = LoadQueue('s', permits)
    load_request = WantLoad('a', '1', 'base', 'group', 'draft', 1, [])
    queue.add(load_request, RecordingLink(), 0)
    (queued,) = queue.due(0)
    assert not queue.take_permit(queued, 0)
    if permitted_first:
        queue.add_permit('a', '1')
    if end == 'expire':
        assert queue.due(60) == []
    else:
        getattr(queue, end)(queued)
    if not permitted_first:
        queue.add_permit('a', '1')
    assert permits.unused == ['a']
    assert not queue.take_permit(queued, 60)
