"""Claims that arrive while the range of their key changes its owner.

The entry must find the new owner, and a claim whose outcome was in doubt must
not block its key.
"""

import threading
import time
from concurrent.futures import Future
from types import SimpleNamespace

import pytest
from expression import Error, Ok
from memory_store import MemoryStore

from wasabicross.callers.key_claims import KeyClaims
from wasabicross.claims import claim_service
from wasabicross.claims.claim_ranges import ClaimRanges, RangeOwner
from wasabicross.claims.claim_service import LINK_SETUP_S, ClaimService
from wasabicross.messaging.errors import LinkRefused
from wasabicross.messaging.messages import ClaimKey, Refusal

HORIZON_S = 3600.0
MAX_RUN_S = 60.0
OWNER_KEY = 'claims/0/owner'


class DirectLink:
    """A link to a service in the same process, which answers by `reply`."""

    def __init__(self, service, kind):
        self.peer = SimpleNamespace(kind=kind)
        self.closed = threading.Event()
        self._service = service
        self._answers = []

    def request(self, message):
        fut = Future()
        self._answers.append(fut)
        is_claim = isinstance(message, ClaimKey)
        handle = self._service.claim if is_claim else self._service.settle
        handle(message, self, len(self._answers) - 1)
        return fut

    def call(self, message, timeout_s):
        return self.request(message).result(timeout_s)

    def reply(self, call_id, message):
        is_refused = isinstance(message, Refusal)
        answer = Error(LinkRefused('')) if is_refused else Ok(message)
        self._answers[call_id].set_result(answer)
        return True


class Instances:
    """Two instances, of which `a` owns the only range at first."""

    def __init__(self):
        self.store = MemoryStore()
        self.services = {}
        self.linked_from_s = 0
        self.ranges = {name: self._add(name) for name in ('a', 'b')}
        self.ranges['a'].step(1, time.monotonic())
        assert self.ranges['a'].owned() == [0]

    def _add(self, name):
        ranges = ClaimRanges(
            self.store,
            RangeOwner(name, '127.0.0.1', 1),
            1,
            HORIZON_S,
            MAX_RUN_S,
            lambda: name,
        )
        self.services[name] = ClaimService(
            ranges, lambda other: self._link(name, other), lambda: 2
        )
        return ranges

    def _link(self, name, other):
        """Return the link of an instance to another one, or None to itself."""
        if name == other or time.monotonic() < self.linked_from_s:
            return None
        return DirectLink(self.services[other], 'controller')

    def lapse_lease(self):
        """Remove the key of the owner without the knowledge of the owner."""
        version = self.store.get(OWNER_KEY).ok.version
        self.store.compare_and_swap(OWNER_KEY, None, version)

    def take(self):
        self.ranges['b'].step(1, time.monotonic())
        assert self.ranges['b'].owned() == [0]

    def claim(self, name, request_id, key=None):
        """Claim a key, by default the request id, at the entry of an instance."""
        claims = KeyClaims(DirectLink(self.services[name], 'entry'), name)
        req = SimpleNamespace(
            tenant='t',
            key=key or request_id,
            request_id=request_id,
            deadline_s=time.monotonic() + MAX_RUN_S,
        )
        return claims.claim(req, '00')


@pytest.fixture
def instances():
    created = Instances()
    yield created
    for service in created.services.values():
        service.stop()


def given_up(instances):
    """Let the owner release the range, as it does to even out the shares."""
    instances.ranges['a'].stop()


def lapsed(instances):
    """Let the lease of the owner lapse without its knowledge."""
    instances.lapse_lease()


@pytest.mark.parametrize('name', ['a', 'b'])
@pytest.mark.parametrize(
    'lose', [given_up, lapsed], ids=lambda each: each.__name__
)
def test_claim_finds_the_owner_that_has_taken_the_range(instances, lose, name):
    assert instances.claim('b', 'early') is None
    lose(instances)
    instances.take()
    assert instances.claim(name, 'late') is None


@pytest.mark.parametrize('name', ['a', 'b'])
def test_claim_in_doubt_is_released(instances, name):
    """The write is stored, but its owner is deposed before the answer."""
    assert instances.claim('b', 'early') is None
    instances.lapse_lease()
    instances.store.faults['claims/0/0'].extend(['lost', instances.take])
    reply = instances.claim(name, 'first', key='same')
    assert (reply.status, b'"claim_unavailable"' in reply.content[0]) == (
        503,
        True,
    )
    assert instances.claim('b', 'second', key='same') is None


@pytest.mark.parametrize('name', ['a', 'b'])
def test_claim_waits_while_its_range_is_being_taken(instances, name):
    """The key of the new owner is written, but the log is not read yet."""
    replies = []
    claim = threading.Thread(
        target=lambda: replies.append(instances.claim(name, 'early'))
    )

    def claim_meanwhile():
        claim.start()
        claim.join(0.1)

    instances.lapse_lease()
    instances.store.faults['claims/0/0'].append(claim_meanwhile)
    instances.take()
    claim.join(5)
    assert replies == [None]


def test_claim_waits_for_links_after_a_start(instances):
    instances.linked_from_s = time.monotonic() + 0.3
    assert instances.claim('b', 'early') is None


def test_claim_is_refused_at_once_where_a_link_is_lost(instances, monkeypatch):
    later_s = time.monotonic() + LINK_SETUP_S
    monkeypatch.setattr(claim_service.time, 'monotonic', lambda: later_s)
    instances.linked_from_s = later_s + 1
    link = DirectLink(instances.services['b'], 'entry')
    answer = link.call(ClaimKey('t', 'key', '00', 'holder'), 5)
    assert answer.ok.state == 'unavailable'
