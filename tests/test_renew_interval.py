"""Renewals become less frequent with many peers, within the use lease.

A longer interval would let grants of use expire between two renewals.
"""

import threading

import pytest

from emulator.waiting import wait_until
from wasabicross.messaging.links import listen
from wasabicross.messaging.messages import Hello, Renew, Renewed, Welcome
from wasabicross.ownership.peers import (
    PeerLink,
    max_silence_s,
    renew_interval_s,
)
from wasabicross.stores.instances import Instance

HELLO = Hello('controller', 'a', 'a', 'north', 'token', [], [], [])
LONG_INTERVAL_S = 600


@pytest.mark.parametrize(
    ('peers', 'use_lease_s', 'interval_s'),
    [
        (1, 6.0, 1.0),
        (30, 6.0, 1.0),
        (45, 6.0, 1.5),
        (360, 6.0, 2.0),
        (360, 1.0, 1.0),
        (360, 30.0, 10.0),
    ],
)
def test_the_interval_grows_with_peers(peers, use_lease_s, interval_s):
    assert renew_interval_s(peers, use_lease_s) == interval_s


def link_to(port, events=None, *, is_local=False):
    peer = Instance('b', 'south', '127.0.0.1', port, 'live')
    renew = Renew(1, '', '')
    return PeerLink(
        peer, lambda: HELLO, lambda: renew, events, 6, is_local=is_local
    )


@pytest.mark.parametrize(
    ('interval_s', 'is_local', 'used_s', 'delay_s'),
    [
        (1, True, None, 1),
        (1, False, None, 1),
        (2, False, 99, 2),
        (10, True, None, 2),
        (10, False, None, 10),
        (10, False, 99, 2),
        (10, False, 60, 10),
    ],
)
def test_only_remote_peers_with_idle_servers_are_renewed_seldom(
    interval_s, is_local, used_s, delay_s
):
    link = link_to(1, is_local=is_local)
    link.interval_s = interval_s
    if used_s is not None:
        link.record_use(used_s)
    assert link.renewal_delay_s(100) == delay_s


@pytest.mark.parametrize(
    ('use_lease_s', 'is_local', 'silence_s'),
    [
        (6, True, 6),
        (6, False, 6),
        (1, True, 5),
        (30, True, 6),
        (30, False, 14),
    ],
)
def test_max_silence_exceeds_the_longest_renewal_delay(
    use_lease_s, is_local, silence_s
):
    assert max_silence_s(use_lease_s, is_local=is_local) == silence_s


class Peer:
    """A peer that records its links and counts the renewals."""

    def __init__(self):
        self.links = []
        self.renewals = 0
        self.server = listen('127.0.0.1', 0, self.accept, self.serve)
        self.port = self.server.socket.getsockname()[1]

    def accept(self, link):
        self.links.append(link)
        return Welcome('b')

    def serve(self, link):
        link.run(self)

    def on_message(self, link, message, call_id):
        self.renewals += 1
        link.reply(call_id, Renewed([], [], is_listed=True))


class IgnoringEvents:
    """Ignores all events of a link."""

    def on_message(self, link, message, call_id):
        """Ignore a message."""

    def peer_linked(self, link, peer):
        """Ignore a link."""

    def peer_renewed(self, peer, granted, asked_s):
        """Ignore a grant."""


@pytest.fixture
def peer():
    answering = Peer()
    thread = threading.Thread(target=answering.server.serve_forever)
    thread.start()
    yield answering
    answering.server.shutdown()
    thread.join()


@pytest.fixture
def idle_link(peer):
    link = link_to(peer.port, IgnoringEvents())
    link.interval_s = LONG_INTERVAL_S
    link.start()
    wait_until(lambda: peer.renewals, 30, 'the first renewal')
    yield link
    link.stop()


def test_a_link_that_is_used_is_renewed_at_once(peer, idle_link):
    idle_link.record_use(1e12)
    wait_until(lambda: peer.renewals > 1, 30, 'a renewal for the use')
    idle_link.interval_s = 0.01
    idle_link.record_use(2e12)
    wait_until(lambda: peer.renewals > 3, 30, 'renewals of a used link')


def test_a_link_that_ends_while_idle_is_dialled_again(peer, idle_link):
    peer.links[0].close()
    wait_until(lambda: len(peer.links) > 1, 30, 'a new link')
