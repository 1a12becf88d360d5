"""Convictions of requests that crash servers outlast all gateways."""

import asyncio
import json

import pytest
from gateway_parts import OK, FakeStore, running_gateway
from mortal_server import MortalServer
from raw_caller import ask, request, status_of

from wasabicross.gateway.changes import ConvictionUpdate, InstanceEntry
from wasabicross.gateway.conviction_records import (
    MAX_ACQUITTED,
    MAX_CRASHES,
    CrashKey,
    StoredAcquittal,
    StoredConvictions,
    StoredCrash,
)
from wasabicross.gateway.crashes import crash_evidence
from wasabicross.gateway.crashes.conviction_keeper import ConvictionKeeper
from wasabicross.gateway.crashes.crash_evidence import (
    Crash,
    CrashEvidence,
    Verdict,
)
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.errors import DocumentUnreadable, StoreUnavailable
from wasabicross.gateway.known_convictions import KnownConvictions
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_position import position
from wasabicross.gateway.view import FleetView
from wasabicross.platform.conviction_records import (
    CONVICTIONS_KEY,
    encode_convictions,
)
from wasabicross.platform.records import decode_change, unreadable_change

ONE, TWO = (f'request/{number:032x}' for number in (1, 2))
CONVICTIONS = StoredConvictions(
    (
        StoredCrash(CrashKey('s1', 0), 4.5, frozenset((ONE, 'd4'))),
        StoredCrash(CrashKey('s2', 1000), 0.25, frozenset((ONE,))),
    ),
    (StoredAcquittal(TWO, 2.0),),
)


class Keeping:
    """A gateway that keeps convictions in a store that others use too."""

    def __init__(self, store, instance='front-1', instances=('front-1',)):
        self.store = store
        self.view = FleetView()
        for each in instances:
            self.view.instances[each] = InstanceEntry(each, '', 'dc')
        self.sharing = CrashSharing(CrashEvidence(instance))
        self.evidence = self.sharing.evidence
        self.view.convictions.on_stored = self.sharing.take_stored
        self.keeper = ConvictionKeeper(instance, store, self.view, self.sharing)

    def crash(self, number, at_s, *causes):
        """Record a crash."""
        key = CrashKey(f's{number}', 0)
        self.evidence.add(Crash(key, at_s, frozenset(causes)), at_s)

    def check(self, at_s):
        """Read the store and check what is due."""
        if self.store.convictions.revision:
            self.view.apply(self.store.convictions, at_s)
        asyncio.run(self.keeper.check(at_s))

    def refuses(self, cause, at_s):
        """Tell whether a request is refused."""
        return self.evidence.verdict((cause,), at_s) is Verdict.refused


@pytest.fixture(name='clock')
def _clock(monkeypatch):
    """Have stored records taken at a time that tests set."""
    times = [0.0]
    monkeypatch.setattr(
        'wasabicross.gateway.crashes.crash_sharing.now_s', lambda: times[0]
    )
    return times


def convicted(store, at_s=10.0):
    """Return a gateway that has convicted a request and stored that."""
    first = Keeping(store)
    first.crash(1, at_s - 5, ONE)
    first.crash(2, at_s - 2, ONE, TWO)
    first.check(at_s)
    return first


def test_a_gateway_that_starts_later_refuses_what_was_convicted(clock):
    """After a restart of all gateways it crashed two more servers."""
    store = FakeStore(())
    convicted(store)
    later = Keeping(store, 'front-2')
    clock[0] = 500.0
    later.check(500.0)
    assert later.refuses(ONE, 501.0)
    assert not later.refuses(TWO, 501.0)
    # The conviction isn't longer than if the crashes had been 3 s apart now.
    assert not later.refuses(ONE, 500 + 2 * crash_evidence._FIRST_CONVICTION_S)


def test_what_runs_soundly_is_removed_for_all(clock):
    store = FakeStore(())
    first, second = convicted(store), Keeping(store, 'front-2')
    clock[0] = 11.0
    second.check(11.0)
    assert second.refuses(ONE, 11.0)
    first.evidence.clear((ONE,), 12.0)
    first.check(13.0)
    clock[0] = 13.1
    second.check(13.1)
    assert not second.refuses(ONE, 13.2)
    revision = store.convictions.revision
    second.check(20.0)
    assert store.convictions.revision == revision


@pytest.mark.parametrize(
    ('steps', 'is_written'),
    [
        ([], False),
        ([(1, 5, (ONE,))], False),
        ([(1, 5, (ONE,)), (2, 5.05, (ONE,))], False),
        ([(1, 5, (ONE,)), (2, 6, (TWO,))], False),
        ([(1, 5, (ONE,)), (2, 6, (ONE,))], True),
    ],
)
def test_only_convictions_are_stored(steps, is_written):
    """A calm deployment writes nothing, whatever crashes."""
    keeping = Keeping(FakeStore(()))
    for number, at_s, causes in steps:
        keeping.crash(number, at_s, *causes)
    keeping.check(10.0)
    assert (keeping.store.convictions.revision > 0) is is_written


def test_one_of_many_gateways_writes():
    """All learn of a conviction at the same moment."""
    instances = tuple(f'front-{number}' for number in range(360))
    writers = []
    for each in instances:
        keeping = Keeping(FakeStore(()), each, instances)
        keeping.crash(1, 5, ONE)
        keeping.crash(2, 6, ONE)
        keeping.check(10.0)
        if keeping.store.convictions.revision:
            writers.append(each)
    assert len(writers) == 1


def test_a_write_without_an_answer_is_tried_again():

    class SilentStore(FakeStore):
        """A store that is away at first."""

        is_away = True

        async def write_convictions(self, stored, revision):
            """Fail once."""
            if self.is_away:
                self.is_away = False
                raise StoreUnavailable('away')
            return await super().write_convictions(stored, revision)

    keeping = convicted(SilentStore(()))
    assert not keeping.store.convictions.revision
    keeping.check(12.0)
    assert keeping.store.convictions.revision


def test_a_record_that_an_older_copy_of_the_store_lacks_is_written_again():
    known = KnownConvictions()

    def apply(stored, revision, *, is_removed=False):
        change = ConvictionUpdate(stored, revision, is_removed=is_removed)
        known.apply(change, 0, 0)

    apply(CONVICTIONS, position(1, 40))
    known.on_new_content(2)
    assert known.record.revision == position(2, 0)
    apply(CONVICTIONS, position(2, 30))
    apply(None, position(2, 20))
    assert known.record.stored == CONVICTIONS
    apply(None, position(2, 50), is_removed=True)
    assert known.record.revision == position(2, 0)


def test_a_record_is_read_as_it_was_written():
    document = encode_convictions(CONVICTIONS)
    item = StoredItem(CONVICTIONS_KEY, 7, document)
    assert decode_change(item) == ConvictionUpdate(CONVICTIONS, 7)


ENCODED = json.loads(encode_convictions(CONVICTIONS))


@pytest.mark.parametrize(
    'odd',
    [
        [],
        {},
        {**ENCODED, 'crashes': 'none'},
        {**ENCODED, 'crashes': [{}]},
        {**ENCODED, 'crashes': ENCODED['crashes'] * MAX_CRASHES},
        {**ENCODED, 'crashes': [{**ENCODED['crashes'][0], 'age': -1}]},
        {**ENCODED, 'crashes': [{**ENCODED['crashes'][0], 'causes': [1]}]},
        {**ENCODED, 'acquitted': [{'cause': '', 'age': 1}]},
        {**ENCODED, 'acquitted': ENCODED['acquitted'] * (MAX_ACQUITTED + 1)},
    ],
)
def test_a_record_that_cannot_be_read_is_written_anew(odd):
    item = StoredItem(CONVICTIONS_KEY, 7, json.dumps(odd).encode())
    with pytest.raises(DocumentUnreadable):
        decode_change(item)
    assert unreadable_change(item) == ConvictionUpdate(None, 7)


def test_removing_the_record_is_known():
    item = StoredItem(CONVICTIONS_KEY, 8, None)
    assert decode_change(item) == ConvictionUpdate(None, 8, is_removed=True)


def mortals():
    """Return servers that a request crashes."""
    return [
        MortalServer([OK], lambda each: b'/deadly' in each.head, crash_at_once)
        for _ in range(3)
    ]


def crash_at_once(_received):
    """Return what comes of an answer before its server ends."""
    return [0.02]


async def convicted_by(servers):
    """Return the record that a gateway writes after two crashes."""
    async with running_gateway(servers) as bench:
        for number in range(2):
            deadly = request('/safe/deadly', Request_Id=f'r{number}')
            await ask(bench.port, deadly)
        async with asyncio.timeout(5):
            while not bench.store.convictions.revision:
                await asyncio.sleep(0.02)
        return bench.store.convictions


def test_a_request_crashes_no_server_after_all_gateways_were_restarted():
    """Its conviction was forgotten, so it crashed two more."""

    async def scenario():
        record = await convicted_by(mortals())
        restarted = mortals()
        async with running_gateway(restarted) as bench:
            bench.gateway.view.apply(record, 0)
            answered = await ask(bench.port, request('/safe/deadly'))
        return status_of(answered), sum(each.deadly for each in restarted)

    assert asyncio.run(scenario()) == (422, 0)
