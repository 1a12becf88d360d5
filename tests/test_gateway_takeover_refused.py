"""A silent server that ends, and then the server that was to take over too."""

import asyncio

import pytest
from gateway_parts import PATIENT
from raw_caller import status_of
from scripted_server import FAILED, NOT_RUN
from test_gateway_takeover import (
    BEGUN,
    CFG3,
    MISSING,
    REST,
    SAFE,
    assert_is_whole,
    attempts,
    first_server_is_silent,
)

from wasabicross.gateway.progress import Ending
from wasabicross.gateway.silence_watch import Replacements, SilenceWatch

assert attempts


def test_no_other_server_is_looked_for_once_the_silent_one_has_ended():
    searches = []

    async def scenario():
        asked, refused = asyncio.Event(), asyncio.Event()

        async def find():
            searches.append(1)
            return 'other'

        async def send(_placement, _on_accepted):
            asked.set()
            await refused.wait()
            return Ending.not_run

        watch = SilenceWatch(Replacements(find, send), lambda: None)
        with watch.limit(0.0):
            await asked.wait()
        waiting = asyncio.ensure_future(watch.successor())
        await asyncio.sleep(0)
        refused.set()
        async with asyncio.timeout(2):
            assert await waiting is None
        watch.end()

    asyncio.run(scenario())
    assert len(searches) == 1


@pytest.mark.parametrize(
    ('first', 'other', 'status'),
    [
        ([0.65, NOT_RUN], [0.4, NOT_RUN], 503),
        ([0.65, MISSING], [0.4, NOT_RUN], 503),
        ([0.65, 'close'], [0.4, NOT_RUN], 502),
        ([0.65, FAILED], [0.4, 'close'], 502),
    ],
)
def test_two_servers_that_ended_end_the_request_before_its_time_limit(
    attempts, first, other, status
):
    outcome = first_server_is_silent(
        [[first], [other]], attempts, SAFE, service='desk', cfg=PATIENT
    )
    assert status_of(outcome.received) == status
    assert max(each['took_s'] for each in attempts) < 2


def test_a_third_server_is_asked_at_once_after_two_that_ended(attempts):
    scripts = [[[*BEGUN, 1.2, 'reset']], [[0.5, NOT_RUN]], [REST]]
    outcome = first_server_is_silent(scripts, attempts, cfg=CFG3)
    assert_is_whole(outcome)
