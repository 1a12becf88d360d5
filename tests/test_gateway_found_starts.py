"""A start that a process tells a gateway itself, before any other word on it."""

from types import SimpleNamespace

import pytest
from gateway_parts import server_entry

from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.errors import VersionUnproved
from wasabicross.gateway.server_notices import ServerNotice
from wasabicross.gateway.streams.version_checks import VersionChecks
from wasabicross.gateway.view import FleetView

LISTED_MS = 1_000
LATER_MS = 9_000_000
LISTED = server_entry('i-0', 'llm', 1, software_version='v1').server._replace(
    start_ms=LISTED_MS
)


@pytest.mark.parametrize(
    ('found_ms', 'is_refused'),
    [(LATER_MS, False), (LISTED_MS, True), (0, True)],
)
def test_a_pause_of_the_former_process_binds_no_process_that_told_its_start(
    found_ms, is_refused
):
    view = FleetView()
    view.apply(ServerEntryUpdate(LISTED), 0)
    view.notices.starts._unix_s = lambda: LATER_MS / 1000
    pause = ServerNotice(is_leaving=False, pause_s=3600)
    view.notices.on_notice(LISTED, pause, 0)
    life = SimpleNamespace(reports_start=lambda _server: True)
    checks = VersionChecks(view, None, None, life)
    conn = SimpleNamespace(start_ms=found_ms)
    if found_ms == LISTED_MS:
        checks.prove(LISTED, conn, 10.0)
    else:
        with pytest.raises(VersionUnproved):
            checks.prove(LISTED, conn, 10.0)
    assert view.refuses_requests(LISTED, 10.0) is is_refused
