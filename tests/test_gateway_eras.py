"""Gateways over a store that returns from an older copy."""

import asyncio
import base64
import contextlib
import itertools
import json
from typing import NamedTuple

import pytest
import virtual_time
from gateway_parts import settings_at
from restorable_store import RestorableStore
from test_gateway_view import server

from wasabicross.gateway import owned_groups
from wasabicross.gateway.changes import OwnerRecordUpdate, ServerEntryUpdate
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.messages import StoreStatus, StoreUpdate
from wasabicross.gateway.owned_groups import OwnedGroups
from wasabicross.gateway.ownership import TAKEOVER_S
from wasabicross.gateway.registration import Registration
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_following import store_follower
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_follower import StoreFollower
from wasabicross.gateway.store_following.store_relay import (
    RelayStatuses,
    StoreRelay,
)
from wasabicross.gateway.store_position import position
from wasabicross.gateway.view import FleetView

GROUP = 'dc.0'
HOSTS = {'a': '10.0.0.1', 'b': '10.0.0.2'}
GAP_S = 3.0


def loop_s():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch):
    for module in (owned_groups, store_follower):
        monkeypatch.setattr(module, 'now_s', loop_s)


class Order(NamedTuple):
    """A moment at which a gateway could order loads."""

    at_s: float
    holder: str
    term: int


class Machine:
    """A gateway's follower, groups and registration at a store."""

    def __init__(self, store, name, is_first=True):
        cfg = settings_at(1, 2, 3)._replace(
            instance=name,
            host=HOSTS[name],
            holder_gap_s=GAP_S,
            is_first_start=is_first,
        )
        self.view = FleetView()
        self.client = store.client()
        self.groups = OwnedGroups(cfg, self.client, self.view)
        self.relay = StoreRelay()
        self.follower = StoreFollower(
            self.client, self.view, self.relay, lambda: True, self._no_copy
        )
        self._registration = Registration(cfg, self.client, self.view)
        self._tasks = []
        self.orders = []
        self._name = name

    async def start(self):
        """Start as a process does."""
        self._tasks = [asyncio.ensure_future(self.follower.run())]
        await self.follower.is_initialised.wait()
        self._tasks += [
            asyncio.ensure_future(each.run())
            for each in (self.groups, self._registration)
        ]
        self._tasks.append(asyncio.ensure_future(self._order()))

    async def stop(self):
        """End at once, like a killed process."""
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def cut(self, is_cut=True):
        """Cut the machine off the store, or connect it again."""
        self.client._client.is_cut = is_cut

    async def _order(self):
        while True:
            term = self.groups.current_term(GROUP, loop_s())
            if term is not None:
                self.orders.append(Order(loop_s(), self._name, term.term))
            await asyncio.sleep(0.05)

    async def _no_copy(self):
        return None


async def until(condition, timeout_s=60):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def record_of(store):
    """Return the owner in the store's record, if there is one."""
    found = store.copied().items.get(f'wasabicross/owner/{GROUP}')
    return json.loads(base64.b64decode(found['value'])) if found else None


def put_owner(store, name, **fields):
    record = {'instance': name, 'host': HOSTS[name], **fields}
    document = base64.b64encode(json.dumps(record).encode()).decode()
    store.put(f'wasabicross/owner/{GROUP}', document)


def check_orders(*machines):
    """Check that owners are apart and terms rise."""
    orders = sorted(itertools.chain(*(each.orders for each in machines)))
    for before, after in itertools.pairwise(orders):
        assert after.term >= before.term
        if before.holder != after.holder:
            assert after.term > before.term
            assert after.at_s - before.at_s >= GAP_S


def owned_by(machine):
    return lambda: machine.groups.current_term(GROUP, loop_s()) is not None


@pytest.mark.parametrize(
    ('lost', 'restarts'),
    [('claim', False), ('claim', True), ('renewals', False), ('none', True)],
)
def test_owner_before_the_last_does_not_resume(lost, restarts):
    """The copy may name the machine that owned the group before."""

    async def scenario():
        store = RestorableStore()
        put_owner(store, 'b', era='1')
        old = store.copied()
        a, b = Machine(store, 'a'), Machine(store, 'b')
        await a.start()
        await until(owned_by(a))
        claimed = store.copied()
        if not restarts:
            await b.start()
        await asyncio.sleep(7)
        copies = {'claim': old, 'renewals': claimed, 'none': store.copied()}
        a.cut()
        store.restore(copies[lost])
        if restarts:
            await b.start()
        await asyncio.sleep(1)
        a.cut(is_cut=False)
        restored_s = loop_s()
        await asyncio.sleep(TAKEOVER_S + 5)
        assert record_of(store) == {
            'instance': 'a',
            'host': HOSTS['a'],
            'era': '2',
        }
        assert a.orders[-1].at_s > restored_s + TAKEOVER_S
        assert not b.orders
        await a.stop()
        await until(owned_by(b))
        check_orders(a, b)
        await b.stop()

    virtual_time.run(scenario())


@pytest.mark.parametrize('is_owner_cut', [True, False])
def test_lost_first_claim_is_not_taken_over_early(is_owner_cut):
    async def scenario():
        store = RestorableStore(era=0)
        old = store.copied()
        a, b = Machine(store, 'a'), Machine(store, 'b')
        await a.start()
        await until(owned_by(a))
        await b.start()
        await asyncio.sleep(5)
        a.cut(is_owner_cut)
        store.restore(old)
        await asyncio.sleep(4 * TAKEOVER_S)
        assert bool(b.orders) is is_owner_cut
        assert record_of(store)['instance'] == ('b' if is_owner_cut else 'a')
        check_orders(a, b)
        await a.stop()
        await b.stop()

    virtual_time.run(scenario())


def test_a_claim_that_nobody_else_saw_is_not_overtaken():
    """The copy lacks the record, and other gateways never saw it."""

    async def scenario():
        store = RestorableStore()
        old = store.copied()
        b = Machine(store, 'b')
        await b.start()
        put_owner(store, 'a', era='1')
        store.restore(old)
        restored_s = loop_s()
        await until(owned_by(b))
        await asyncio.sleep(1)
        assert b.orders[0].at_s >= restored_s + TAKEOVER_S
        await b.stop()

    virtual_time.run(scenario())


def put_server(store, adapters):
    entry = {
        'service': 'llm',
        'address': '10.0.0.9:80',
        'zone': 'dc',
        'slots': 8,
        'state': 'ready',
        'seq': 1,
        'models': [
            {
                'name': 'm0',
                'version': 1,
                'adapters': [f'a{each}@1' for each in range(adapters)],
            }
        ],
    }
    document = base64.b64encode(json.dumps(entry).encode()).decode()
    store.put('servers/i-1', document)


@pytest.mark.parametrize(
    ('is_first', 'adapters'), [(False, 0), (False, 3), (True, 1), (True, 20)]
)
def test_a_gateway_that_starts_after_a_loss_waits_for_the_lost_owner(
    is_first, adapters
):
    """Guards against two owners: the first claim is lost with the copy, its
    owner can't reach the store and goes on, and a gateway starts.
    """

    async def scenario():
        store = RestorableStore()
        old = store.copied()
        a = Machine(store, 'a')
        await a.start()
        await until(owned_by(a))
        await asyncio.sleep(3)
        a.cut()
        store.restore(old)
        put_server(store, adapters)
        b = Machine(store, 'b', is_first)
        await b.start()
        await until(owned_by(b))
        await asyncio.sleep(1)
        assert a.orders
        assert b.orders
        check_orders(a, b)
        await a.stop()
        await b.stop()

    virtual_time.run(scenario())


def test_a_gateway_that_first_reads_after_a_loss_waits_for_the_lost_owner():
    """Guards against two owners: all start, and one is late to read."""

    async def scenario():
        store = RestorableStore()
        old = store.copied()
        a, b = Machine(store, 'a'), Machine(store, 'b')
        b.cut()
        starting = asyncio.ensure_future(b.start())
        await a.start()
        await until(owned_by(a))
        a.cut()
        store.restore(old)
        b.cut(is_cut=False)
        await starting
        await until(owned_by(b))
        await asyncio.sleep(1)
        check_orders(a, b)
        await a.stop()
        await b.stop()

    virtual_time.run(scenario())


@pytest.mark.parametrize(
    ('era', 'is_first', 'claims_early'),
    [(0, False, True), (0, True, True), (1, True, True), (1, False, False)],
)
def test_first_claims_wait_only_where_a_record_may_be_lost(
    era, is_first, claims_early
):
    async def scenario():
        store = RestorableStore(era)
        put_server(store, 0)
        a = Machine(store, 'a', is_first)
        began_s = loop_s()
        await a.start()
        await until(owned_by(a))
        assert (loop_s() - began_s < 3) is claims_early
        await a.stop()

    virtual_time.run(scenario())


def test_owner_keeps_a_claim_that_it_has_not_read_yet():
    async def scenario():
        store = RestorableStore()
        put_owner(store, 'b', era='1')
        old = store.copied()
        a = Machine(store, 'a')
        await a.start()
        await until(owned_by(a))
        store.restore(old)
        assert a.view.owners[GROUP].instance == 'b'
        await asyncio.sleep(TAKEOVER_S)
        assert record_of(store)['instance'] == 'a'
        times_s = [order.at_s for order in a.orders]
        pauses_s = [
            after - before for before, after in itertools.pairwise(times_s)
        ]
        assert max(pauses_s) < 0.1
        await a.stop()

    virtual_time.run(scenario())


def test_claim_under_a_revision_that_was_given_out_again():
    """A gateway that doesn't know of the new era claims under the old one."""

    async def scenario():
        store = RestorableStore()
        b = Machine(store, 'b')
        put_owner(store, 'a', era='1')
        copy = store.copied()
        await b.start()
        await asyncio.sleep(TAKEOVER_S - 1)
        store.restore(copy)
        with pytest.raises(StoreUnavailable):
            await b.client.write_owner(
                GROUP, 'b', HOSTS['b'], position(1, copy.revision)
            )
        found = await b.client.read()
        assert found.changes[0].is_restored
        await asyncio.sleep(3)
        assert not b.orders
        await b.stop()

    virtual_time.run(scenario())


def test_lost_registrations_are_written_again():
    async def scenario():
        store = RestorableStore()
        old = store.copied()
        a = Machine(store, 'a')
        await a.start()
        await until(lambda: 'a' in a.view.instances)
        for _ in range(2):
            store.restore(old)
            await until(lambda: a.view.era == store.era)
            key = 'wasabicross/instance/a'
            await until(lambda: key in store.copied().items)
        await a.stop()

    virtual_time.run(scenario())


def test_a_kept_registration_is_not_written_again(monkeypatch):
    async def scenario():
        store = RestorableStore()
        a = Machine(store, 'a')
        await a.start()
        await until(lambda: 'a' in a.view.instances)
        await until(owned_by(a))
        monkeypatch.delattr(type(a.client), 'register_instance')
        store.restore(store.copied())
        await until(lambda: a.view.era == 2)
        await asyncio.sleep(2)
        assert not any(task.done() for task in a._tasks)
        await a.stop()

    virtual_time.run(scenario())


def restored_view(**known):
    """Return a view of era 1 that has just met era 2."""
    view = FleetView()
    view.on_era(1, 0)
    view.apply(ServerEntryUpdate(server(**known)), 0)
    view.on_era(2, 100)
    return view


@pytest.mark.parametrize(
    ('is_written_again', 'left'), [(True, {'s1'}), (False, set())]
)
def test_servers_that_the_copy_lacks_have_time_to_return(
    is_written_again, left
):
    view = restored_view()
    view.remove_unlisted(frozenset(), 100)
    assert set(view.servers) == {'s1'}
    if is_written_again:
        view.apply(ServerEntryUpdate(server()), 102)
    view.remove_expired(103)
    assert set(view.servers) == left


@pytest.mark.parametrize(
    ('known', 'restored', 'at_s', 'used'),
    [
        ({'is_leaving': True}, {}, 100.1, (1, True)),
        ({'is_leaving': True}, {'start_ms': 9}, 100.1, (9, False)),
        ({'start_ms': 9}, {'start_ms': 1}, 100.1, (9, False)),
        ({'start_ms': 9}, {'start_ms': 1}, 103, (1, False)),
        ({}, {'is_leaving': True}, 100.1, (1, True)),
    ],
)
def test_older_entries_of_servers(known, restored, at_s, used):
    view = restored_view(**known)
    view.apply(ServerEntryUpdate(server(**restored)), at_s)
    (found,) = view.servers.values()
    assert (found.start_ms, found.is_leaving) == used


def test_an_earlier_start_that_is_not_written_again_leaves():
    view = restored_view(start_ms=9)
    view.apply(ServerEntryUpdate(server(start_ms=1)), 100.1)
    view.remove_expired(103)
    assert not view.servers


@pytest.mark.parametrize(
    ('change', 'owner', 'revision'),
    [
        (None, 'a', position(2, 0)),
        (
            OwnerRecordUpdate(GROUP, 'b', 'b', position(2, 5), False, True),
            'a',
            position(2, 5),
        ),
        (
            OwnerRecordUpdate(GROUP, 'b', 'b', position(2, 5)),
            'b',
            position(2, 5),
        ),
    ],
)
def test_known_owner_stays_until_another_claims_in_the_new_era(
    change, owner, revision
):
    view = FleetView()
    view.on_era(1, 0)
    view.apply(OwnerRecordUpdate(GROUP, 'a', 'a', position(1, 9), True), 1)
    view.on_era(2, 100)
    if change:
        view.apply(change, 100)
    found = view.owners[GROUP]
    assert (found.instance, found.revision) == (owner, revision)
    assert found.unchanged_since_s == 100


@pytest.mark.parametrize(
    ('relay_era', 'revision', 'is_current'),
    [(1, 9, True), (1, 10, False), (0, 9, False), (2, 1, False)],
)
def test_relays_of_another_era(relay_era, revision, is_current):
    relays = RelayStatuses()
    status = StoreStatus(position(relay_era, revision), is_lost=False)
    relays.on_status('10.0.0.1', status, 0)
    assert relays.is_current(position(1, 9), 0) is is_current


def stored(key, era, revision, document=b'{}'):
    return StoredItem(key, position(era, revision), document)


@pytest.mark.parametrize(
    ('since', 'is_applied'), [(position(1, 9), True), (position(1, 8), False)]
)
def test_followers_take_a_new_era_from_a_relay(since, is_applied):
    async def scenario():
        store = RestorableStore()
        follower = Machine(store, 'a').follower
        follower._revision = position(1, 9)
        items = (stored('x/1', 1, 5), stored('x/2', 1, 6))
        follower.copy.replace(items, position(1, 9))
        changed = stored('x/2', 2, 6, b'2')
        follower.on_update(StoreUpdate(since, position(2, 7), (changed,)))
        return follower.copy

    copy = virtual_time.run(scenario())
    expected = (stored('x/1', 2, 5), stored('x/2', 2, 6, b'2'))
    assert (copy.items == expected) is is_applied
    assert (copy.revision == position(2, 7)) is is_applied


def test_relays_send_what_differs_in_the_new_era():
    copy = StoreCopy()
    items = [stored(f'x/{number}', 1, number) for number in (1, 2, 3)]
    copy.replace(items, position(1, 3))
    content = [stored('x/1', 2, 1), stored('x/2', 2, 2, b'2')]
    changes = copy.changes_to(content, position(2, 2))
    assert changes == (content[1], StoredItem('x/3', position(2, 2), None))
    assert copy.lost_items(content) == 2
    assert copy.restored(changes, position(2, 2)) == tuple(content)
