"""Which part of a prompt the evidence of crashes convicts, and for how long."""

import itertools

import pytest

from wasabicross.gateway.crashes import crash_evidence
from wasabicross.gateway.crashes.crash_evidence import (
    Crash,
    CrashEvidence,
    CrashKey,
    Verdict,
)

#: A first part that all share, parts of callers, the culprit, a document.
FIRST, ANNE, BERT, CARL, DEADLY, PAPER = 'f0', 'a1', 'b2', 'c3', 'd4', 'e5'


def crash(number, at_s, *parts):
    """Return the crash of one server."""
    return Crash(CrashKey(f's{number}', 1000 + number), at_s, frozenset(parts))


def evidence_of(*steps):
    """Return the evidence after crashes and sound runs `(at_s, parts)`."""
    evidence = CrashEvidence()
    for step in steps:
        record(evidence, step)
    return evidence


def record(evidence, step):
    """Record a crash or a sound run."""
    if isinstance(step, Crash):
        evidence.add(step, step.at_s)
    else:
        evidence.clear(step[1], step[0])


def is_refused(evidence, *parts, now_s=20.0):
    """Tell whether a request with these parts is refused."""
    return evidence.verdict(parts, now_s) is Verdict.refused


#: Two crashes by requests of two callers, whose first part is sound.
TWO_CRASHES = (
    (4.5, (FIRST, PAPER)),
    crash(1, 5, FIRST, ANNE, DEADLY, PAPER),
    crash(2, 6, FIRST, BERT, DEADLY),
    (6.4, (FIRST,)),
)


def test_the_culprit_is_found_among_bystanders():
    evidence = evidence_of(*TWO_CRASHES)
    assert evidence.convicted() == {DEADLY}
    assert is_refused(evidence, FIRST, CARL, DEADLY)


@pytest.mark.parametrize(
    'parts', [(FIRST,), (FIRST, ANNE), (FIRST, BERT, PAPER), (ANNE, BERT), ()]
)
def test_sound_requests_of_the_same_callers_are_served(parts):
    """A conviction names one part, never all parts of a prompt."""
    assert not is_refused(evidence_of(*TWO_CRASHES), *parts)


@pytest.mark.parametrize('steps', itertools.permutations(TWO_CRASHES))
def test_the_order_of_reports_does_not_matter(steps):
    evidence = evidence_of(*steps, *steps)
    assert evidence.convicted() == {DEADLY}
    assert evidence.crashes_of(DEADLY) == 2


def test_a_crash_that_three_gateways_report_counts_once():
    evidence = evidence_of(
        crash(1, 5, DEADLY, ANNE), crash(1, 5.4, DEADLY), crash(1, 6, DEADLY)
    )
    assert evidence.crashes_of(DEADLY) == 1
    assert not is_refused(evidence, DEADLY)


def test_the_same_server_crashes_twice():
    first = crash(1, 5, DEADLY)
    again = first._replace(key=CrashKey('s1', 9000), at_s=9)
    assert is_refused(evidence_of(first, again), DEADLY)


def test_servers_that_are_lost_together_convict_nothing():
    """A rack without power takes parts with it that many requests share."""
    lost = [crash(number, 5 + number / 50, ANNE) for number in range(90)]
    assert not is_refused(evidence_of(*lost), ANNE)


@pytest.mark.parametrize('sound_s', [5.5, 6.5, 9.0])
def test_a_sound_run_between_or_after_crashes_clears(sound_s):
    steps = (crash(1, 5, ANNE), (sound_s, (ANNE,)), crash(2, 6, ANNE))
    assert not is_refused(evidence_of(*steps), ANNE)


def test_a_part_that_turned_deadly_is_convicted_though_it_was_sound():
    """A sound run clears what was before, not what follows long after."""
    steps = ((1, (ANNE,)), crash(1, 5, ANNE), crash(2, 6, ANNE))
    assert is_refused(evidence_of(*steps), ANNE)


def test_of_two_tied_parts_neither_is_convicted_alone():
    """One caller sent both crashing requests and nothing else."""
    tied = (crash(1, 5, ANNE, DEADLY), crash(2, 6, ANNE, DEADLY))
    evidence = evidence_of(*tied)
    assert is_refused(evidence, FIRST, ANNE, DEADLY)
    assert not is_refused(evidence, FIRST, ANNE, PAPER)
    assert not is_refused(evidence, FIRST, BERT, DEADLY)


@pytest.mark.parametrize(
    'step', [crash(3, 7, BERT, DEADLY), (7, (FIRST, ANNE))]
)
def test_a_tie_ends_with_a_crash_of_one_or_a_sound_run_of_the_other(step):
    evidence = evidence_of(
        crash(1, 5, ANNE, DEADLY), crash(2, 6, ANNE, DEADLY), step
    )
    assert is_refused(evidence, FIRST, CARL, DEADLY)
    assert not is_refused(evidence, FIRST, ANNE, PAPER)


#: Digests of whole requests.
ONE, TWO, THREE = (f'request/{number:032x}' for number in (1, 2, 3))


def test_a_part_is_not_convicted_for_one_request_that_came_again():
    """Other requests of the same caller were refused."""
    evidence = evidence_of(crash(1, 5, ANNE, ONE), crash(2, 6, ANNE, ONE))
    assert is_refused(evidence, ANNE, ONE)
    assert not is_refused(evidence, ANNE, TWO)
    record(evidence, (6.5, (ANNE, TWO)))
    assert is_refused(evidence, ANNE, ONE)


def test_a_deadly_part_of_several_requests_is_convicted():
    evidence = evidence_of(crash(1, 5, DEADLY, ONE), crash(2, 6, DEADLY, TWO))
    assert is_refused(evidence, DEADLY, THREE)


@pytest.mark.parametrize(
    ('steps', 'refused'),
    [
        ((), ()),
        (((6.4, (TWO,)),), (ONE,)),
        ((crash(3, 7, ONE, THREE),), (ONE,)),
        ((crash(3, 7, ONE, TWO),), (ONE, TWO)),
    ],
    ids=['two crashes', 'one is sound', 'one crashes', 'both crash again'],
)
def test_of_two_requests_at_the_same_crashes_the_third_one_tells(
    steps, refused
):
    """A request that was twice beside a deadly one was refused with it."""
    evidence = evidence_of(crash(1, 5, ONE, TWO), crash(2, 6, ONE, TWO), *steps)
    found = [each for each in (ONE, TWO) if is_refused(evidence, each)]
    assert found == list(refused)


def test_a_service_that_crashes_by_itself_has_no_read_refused():
    """Its callers ask the same again and again, so all are at each crash."""
    reads = [f'request/{number:032x}' for number in range(10, 16)]
    evidence = evidence_of(*(crash(each, each, *reads) for each in range(5, 9)))
    assert not any(is_refused(evidence, read) for read in reads)
    record(evidence, crash(9, 9, reads[0], ONE))
    assert is_refused(evidence, reads[0])
    assert not is_refused(evidence, reads[1])


def test_requests_are_kept_before_parts_in_a_crash_with_too_many():
    parts = [f'{number:03x}' for number in range(200)]
    evidence = evidence_of(crash(1, 5, *parts, ONE, TWO))
    assert evidence.is_suspect((ONE,))
    assert evidence.is_suspect((TWO,))


def test_a_conviction_ends_in_one_trial():
    evidence = evidence_of(*TWO_CRASHES)
    later_s = 6 + 2 * crash_evidence._FIRST_CONVICTION_S + 1
    assert evidence.verdict((DEADLY,), later_s) is Verdict.trial
    assert evidence.verdict((DEADLY,), later_s + 0.1) is Verdict.refused


def test_a_sound_trial_clears():
    evidence = evidence_of(*TWO_CRASHES)
    evidence.clear((FIRST, DEADLY), 2000)
    assert evidence.verdict((DEADLY,), 2001) is Verdict.go
    assert not evidence.crashes_of(DEADLY)


def test_a_crash_in_a_trial_lengthens_the_conviction():
    evidence = evidence_of(*TWO_CRASHES)
    at_s = 6 + 2 * crash_evidence._FIRST_CONVICTION_S + 1
    evidence.verdict((DEADLY,), at_s)
    evidence.add(crash(3, at_s, DEADLY), at_s)
    again_s = at_s + 2 * crash_evidence._FIRST_CONVICTION_S - 1
    assert evidence.verdict((DEADLY,), again_s) is Verdict.refused


def test_convictions_end_at_different_times_on_different_machines():
    """All machines would try the part at once."""
    ends = set()
    for number in range(20):
        evidence = CrashEvidence(f'front-{number}')
        for each in (crash(1, 5, DEADLY), crash(2, 6, DEADLY)):
            evidence.add(each, each.at_s)
        ends.add(
            next(
                at_s
                for at_s in range(6, 300)
                if evidence.verdict((DEADLY,), at_s) is Verdict.trial
            )
        )
    assert len(ends) > 15
    assert min(ends) >= crash_evidence._FIRST_CONVICTION_S


def test_a_deadly_part_reaches_servers_seldom_after_its_fifth_crash():
    """Trials go on as long as it is deadly, at most three after the fifth."""
    evidence = evidence_of(*TWO_CRASHES)
    trials_s = []
    for at_s in range(10, 20 * 3600, 10):
        if evidence.verdict((FIRST, DEADLY), at_s) is Verdict.trial:
            trials_s.append(at_s)
            evidence.add(crash(at_s, at_s, FIRST, DEADLY), at_s)
    assert 3 <= len(trials_s) <= 3 + 3


def test_old_evidence_is_dropped():
    evidence = evidence_of(crash(1, 5, ANNE), crash(2, 9000, BERT))
    assert evidence.crashes_of(ANNE) == 0


def test_what_callers_send_is_kept_in_bounded_tables():
    evidence = evidence_of(*TWO_CRASHES)
    for number in range(3000):
        parts = [f'{number}-{each}' for each in range(100)]
        evidence.clear([f'sound {each}' for each in parts], 100)
        record(evidence, crash(number + 10, 200 + number, *parts))
    assert len(evidence.crashes) <= crash_evidence.MAX_CRASHES
    assert len(evidence.suspects()) <= (
        crash_evidence.MAX_CRASHES * crash_evidence.MAX_CAUSES
    )
    assert len(evidence._sound_s) <= crash_evidence._MAX_SOUND
    assert evidence.convicted() == {DEADLY}


#: A look-up, which ran soundly a while before two servers were killed under it.
LOOK_UP = f'request/{7:032x}'
KILLED = (crash(1, 5.0, LOOK_UP), crash(2, 5.5, LOOK_UP))
RAN = (0.9, (LOOK_UP,))


@pytest.mark.parametrize('steps', itertools.permutations((RAN, *KILLED)))
def test_a_look_up_that_ran_soundly_survives_two_servers_killed_under_it(steps):
    """All its copies would be refused for over a minute."""
    assert not is_refused(evidence_of(*steps), LOOK_UP)


def test_a_request_that_turned_deadly_ends_three_servers_at_most():
    evidence = evidence_of(RAN, *KILLED, crash(3, 6.2, LOOK_UP))
    assert is_refused(evidence, LOOK_UP)
    assert is_refused(evidence, LOOK_UP, now_s=6.2 + 59)


def test_a_request_that_never_ran_soundly_ends_two_servers():
    assert is_refused(evidence_of(*KILLED), LOOK_UP)


def test_a_conviction_after_three_crashes_lasts_no_longer_than_one_after_two():
    evidence = evidence_of(RAN, *KILLED, crash(3, 6.2, LOOK_UP))
    assert not is_refused(evidence, LOOK_UP, now_s=6.2 + 121)
