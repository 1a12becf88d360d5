"""Fixed seeds of the soak break no promise."""

import pytest

from emulator.soak.answer_parts import gets_unframed_answer
from emulator.soak.callers import Traffic
from emulator.soak.play import Size, play
from emulator.soak.routes import RESUMABLE_ROUTES
from emulator.soak.schedule import Fault, schedule_of

SIZE = Size(gateways=3, engines=2, callers=8)
LENGTH_S = 12


@pytest.mark.parametrize('seed', [3])
def test_seed_breaks_nothing(seed, tmp_path):
    faults = schedule_of(seed, LENGTH_S)
    verdict = play(seed, faults, SIZE, tmp_path / 'soak')
    assert verdict.broken == []
    assert verdict.evidence.orders
    assert len(verdict.evidence.injected) == len(faults)


def test_gateways_stop_in_time_beside_a_frozen_one(tmp_path):
    """In seeds 109 and 110 they waited until the frozen one closed its links."""
    faults = (
        Fault(2.0, 'gateway_pause', 3, 14, 0),
        Fault(5.0, 'gateway_stop', 1, 0.3, 0),
        Fault(7.0, 'gateway_stop', 0, 0.1, 0),
    )
    verdict = play(110, faults, Size(), tmp_path / 'soak')
    assert verdict.broken == []


def test_no_part_of_an_unframed_answer_of_a_killed_server_passes_as_whole(
    tmp_path,
):
    faults = tuple(
        Fault(1 + each * 0.6, kind, each, 0.3, 0)
        for each, kind in enumerate(('server_restart', 'server_leave_soon') * 7)
    )
    verdict = play(1, faults, SIZE, tmp_path / 'soak')
    assert verdict.broken == []
    unframed = [
        each
        for each in verdict.evidence.results
        if each.status == 200 and gets_unframed_answer(each.request_id)
    ]
    assert sum(each.is_complete for each in unframed) > len(unframed) / 2


def test_engines_renewed_unheard_join_no_streams_of_two_versions(tmp_path):
    """Gateways held streams of the next process for those of the former one."""
    faults = tuple(
        Fault(1 + each * 1.3, kind, each, 1.6, 0)
        for each, kind in enumerate(
            ('server_renew_unheard', 'gateway_kill') * 5
        )
    )
    size = Size(gateways=3, engines=4, callers=12)
    verdict = play(1, faults, size, tmp_path / 'soak')
    assert verdict.broken == []
    taken_up = [each for each in verdict.evidence.results if each.began]
    assert any(each.status == 200 and each.is_complete for each in taken_up)


def test_copies_of_refusals_refuse_nothing_that_runs_at_new_ids(tmp_path):
    """A copy counted as the answer to its request, which ran at the next id."""
    size = Size(gateways=3, engines=3, callers=12)
    servers, restarts = 5, 20
    faults = (
        *(
            Fault(1, 'server_refuse_twice', each, 8, 0.5)
            for each in range(servers)
        ),
        *(
            Fault(1.2 + each * 0.4, 'server_new_id', each, 2, 0)
            for each in range(restarts)
        ),
    )
    verdict = play(1, faults, size, tmp_path / 'soak')
    assert verdict.broken == []
    assert len(verdict.evidence.copies) > servers
    assert len(verdict.evidence.server_starts) == servers + restarts


def test_released_engines_join_no_streams_of_callers_that_state_whole_limits(
    tmp_path,
):
    """A former division was left out where a caller seemed to begin just now."""
    faults = (
        *(
            Fault(1 + each * 0.4, 'server_reset', each, 0, 0)
            for each in range(36)
        ),
        *(
            Fault(3 + each * 6, 'engines_release', each, 1.5, 0)
            for each in range(2)
        ),
    )
    traffic = Traffic(RESUMABLE_ROUTES, whole_limits=1)
    size = Size(gateways=3, engines=4, callers=16, traffic=traffic)
    verdict = play(1, faults, size, tmp_path / 'soak')
    assert verdict.broken == []
    taken_up = [each for each in verdict.evidence.results if each.began]
    assert any(each.status == 200 and each.is_complete for each in taken_up)
