"""Which software version a process is known to run."""

from types import SimpleNamespace

import pytest
from gateway_parts import server_entry

from wasabicross.gateway.errors import VersionUnproved
from wasabicross.gateway.server_health import ServerHealth
from wasabicross.gateway.version_proof import (
    VersionGround,
    VersionProof,
)

LISTED_MS = 2_000
LISTED = server_entry('i-0', 'llm', 1, software_version='v1').server._replace(
    start_ms=LISTED_MS
)


@pytest.mark.parametrize(
    ('listed_ms', 'found_ms', 'names_start', 'ground'),
    [
        (LISTED_MS, LISTED_MS, True, VersionGround.same_start),
        # The id stands for one start where nothing names any.
        (0, 0, True, VersionGround.same_id),
        (0, LISTED_MS, True, VersionGround.same_id),
        (LISTED_MS, 0, False, VersionGround.same_id),
    ],
)
def test_proof(listed_ms, found_ms, names_start, ground):
    server = LISTED._replace(start_ms=listed_ms)
    conn = SimpleNamespace(start_ms=found_ms)
    proof = VersionProof(server, conn, names_start=names_start)
    assert proof.ground is ground
    assert proof.software_version == 'v1'


@pytest.mark.parametrize('found_ms', [0, LISTED_MS - 1, LISTED_MS + 1])
def test_an_entry_of_another_start_proves_no_version(found_ms):
    conn = SimpleNamespace(start_ms=found_ms)
    with pytest.raises(VersionUnproved):
        VersionProof(LISTED, conn, names_start=True)


@pytest.mark.parametrize(
    ('later_s', 'is_unlisted'), [(0.5, True), (1.0, False)]
)
def test_a_server_whose_restart_is_not_listed_is_asked_again_later(
    later_s, is_unlisted
):
    health = ServerHealth('i-0')
    health.on_unlisted_start(10.0)
    assert health.runs_unlisted_start(10.0 + later_s) is is_unlisted
