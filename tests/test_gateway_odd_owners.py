"""Owner records that name no owner."""

import asyncio

from gateway_parts import HOST, running_gateway

from wasabicross.gateway.changes import OwnerRecordUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.owners import links as links_module


def test_a_record_that_names_no_owner_opens_no_link(monkeypatch):
    dialled = set()

    class RecordedLink(links_module.OwnerLink):
        """Record the host instead of opening a link."""

        async def run(self):
            dialled.add(self._host)

    async def scenario():
        async with running_gateway([]) as bench:
            view = bench.gateway.view
            for number, host in enumerate(('', HOST, '10.0.0.2')):
                record = OwnerRecordUpdate(f'x.{number}', 'f', host, 5)
                view.apply(record, now_s())
            async with asyncio.timeout(5):
                while not dialled:
                    await asyncio.sleep(0.01)

    monkeypatch.setattr(links_module, 'OwnerLink', RecordedLink)
    asyncio.run(scenario())
    assert dialled == {'10.0.0.2'}
