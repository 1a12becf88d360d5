"""An instance consents to an eviction once all its entries have drained.

A consent before that would let the owner evict a load that requests still use.
"""

import pytest

from wasabicross.messaging.messages import (
    CloseLoad,
    CloseRefused,
    Hello,
    LoadDrained,
    LoadsForgotten,
    LoadsGone,
    LoadsOpened,
    LoadsSnapshot,
    ServerTerm,
)
from wasabicross.ownership.instance_loads import InstanceLoads

LOAD = 'quote@1#s:2:1'
OTHER = 'quote@1#s:2:2'
SERVER = ServerTerm('s', 2)
CLOSE = CloseLoad('s', LOAD, 2)


class FakeLink:
    """A link that records the messages sent on it.

    :param hello_fields: fields of the hello of its peer.
    """

    def __init__(self, name='owner', **hello_fields):
        fields = {'running': [], 'closed': [], 'opened': [], **hello_fields}
        self.peer = Hello('entry', name, 'i', 'north', 't', **fields)
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


@pytest.fixture
def owner():
    return FakeLink()


@pytest.fixture
def loads():
    known = InstanceLoads(['a', 'b'])
    known.accept_owner(SERVER, 'owner')
    known.open_loads(LoadsOpened(SERVER, [LOAD]))
    return known


@pytest.mark.parametrize(
    ('ends', 'consents'),
    [
        ([], False),
        (['drained a'], False),
        (['drained a', 'drained b'], True),
        (['drained a', 'left b'], False),
        (['drained a', 'left b', 'gone b'], True),
        (['drained a', 'gone b'], False),
        (['left a', 'left b', 'gone a', 'gone b'], True),
    ],
)
def test_consent_needs_every_entry(loads, owner, ends, consents):
    links = {name: FakeLink(name) for name in ('a', 'b')}
    for link in links.values():
        loads.entry_joined(link)
    loads.consent_to_close(CLOSE, owner)
    for end in ends:
        how, name = end.split()
        if how == 'drained':
            loads.entry_drained(name, LOAD)
        elif how == 'left':
            loads.entry_left(links[name])
        else:
            loads.entry_gone(name)
    assert (LoadDrained(LOAD) in owner.sent) is consents
    assert all(CLOSE in link.sent for link in links.values())


def test_entry_that_never_joined_counts_until_it_is_gone(loads, owner):
    loads.consent_to_close(CLOSE, owner)
    loads.entry_gone('a')
    assert owner.sent == []
    loads.entry_gone('b')
    assert owner.sent == [LoadDrained(LOAD)]


@pytest.mark.parametrize(('term', 'accepted'), [(1, False), (2, True)])
def test_owner_of_an_earlier_term_is_refused(loads, owner, term, accepted):
    loads.entry_gone('a')
    loads.entry_gone('b')
    loads.consent_to_close(CLOSE._replace(term=term), owner)
    refused = CloseRefused(LOAD, SERVER)
    assert owner.sent == [LoadDrained(LOAD) if accepted else refused]
    assert loads.accept_owner(SERVER._replace(term=term), 'x') is accepted


def test_closed_load_is_not_opened_again(loads, owner):
    entry = FakeLink('a')
    loads.consent_to_close(CLOSE, owner)
    loads.open_loads(LoadsOpened(SERVER, [LOAD]))
    loads.entry_joined(entry)
    assert loads.server_report(SERVER).opened == []
    assert loads.server_report(SERVER).closed == [LOAD]
    assert LoadsOpened(SERVER, []) in entry.sent


def test_snapshot_has_the_rest_forgotten(loads):
    entry = FakeLink('a')
    loads.entry_joined(entry)
    loads.replace_loads(LoadsSnapshot(SERVER, [OTHER]))
    assert loads.server_report(SERVER).opened == [OTHER]
    assert LoadsForgotten([LOAD]) in entry.sent


def test_paused_controller_forgets_open_loads_and_keeps_closed(loads, owner):
    entry = FakeLink('a')
    loads.entry_joined(entry)
    loads.open_loads(LoadsOpened(SERVER, [OTHER]))
    loads.consent_to_close(CLOSE, owner)
    loads.forget_opened()
    assert loads.server_report(SERVER).opened == []
    assert loads.server_report(SERVER).closed == [LOAD]
    assert entry.sent[-1] == LoadsForgotten([OTHER])


def test_snapshot_of_an_earlier_owner_changes_nothing(loads):
    loads.replace_loads(LoadsSnapshot(SERVER._replace(term=1), []))
    assert loads.server_report(SERVER).opened == [LOAD]


def test_restarted_controller_learns_from_its_entries():
    loads = InstanceLoads(['a', 'b'])
    loads.entry_joined(FakeLink('a', closed=[LOAD]))
    loads.entry_joined(FakeLink('b', opened=[LOAD, OTHER]))
    assert loads.server_report(SERVER).opened == [OTHER]
    assert loads.server_report(SERVER).closed == [LOAD]


def test_gone_load_is_forgotten(loads, owner):
    entry = FakeLink('a')
    loads.entry_joined(entry)
    loads.consent_to_close(CLOSE, owner)
    loads.drop_loads([LOAD])
    assert loads.server_report(SERVER).closed == []
    assert entry.sent[-1] == LoadsGone([LOAD])


@pytest.mark.parametrize(
    ('told', 'owned'),
    [
        ([], {}),
        ([('s', 1, 'i')], {'i': [('s', 1)]}),
        ([('s', 1, 'i'), ('s', 1, 'i')], {'i': [('s', 1)]}),
        ([('s', 1, 'i'), ('s', 2, 'i')], {'i': [('s', 2)]}),
        ([('s', 1, 'i'), ('t', 3, 'i')], {'i': [('s', 1), ('t', 3)]}),
        ([('s', 1, 'i'), ('s', 2, 'j')], {'j': [('s', 2)]}),
        ([('s', 2, 'i'), ('s', 1, 'j')], {'i': [('s', 2)]}),
        (
            [('s', 1, 'i'), ('t', 1, 'i'), ('s', 2, 'j'), ('s', 3, 'i')],
            {'i': [('t', 1), ('s', 3)]},
        ),
    ],
)
def test_a_server_is_its_last_owners(told, owned):
    loads = InstanceLoads(['a'])
    for server_id, term, instance_id in told:
        loads.accept_owner(ServerTerm(server_id, term), instance_id)
    assert loads.owned_by('i') == owned.get('i', [])
    assert loads.owned_by('j') == owned.get('j', [])
