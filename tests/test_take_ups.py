"""Callers take interrupted streams up at another gateway, each way by itself.

The gateways are processes. The ways and what a caller gets are listed in
docs/PLATFORM.md, section 'Take-ups'.
"""

import contextlib
import time

import pytest
from take_up_engines import LAST, Engines
from take_up_parts import AT_ONCE_S, MAX_ALONE_S, MAX_BESIDE_S, Deployment

from emulator.waiting import wait_until

VERSIONS = ('v1', 'v2')


@pytest.fixture(scope='module')
def deployment(runner, tmp_path_factory):
    with Engines() as engines:
        found = Deployment(runner, engines, tmp_path_factory.mktemp('settings'))
        found.start()
        yield found
        runner.close()


@pytest.fixture
def without_store(deployment):
    """The gateway `apart` hears nothing from the store."""
    deployment.cut_off()
    yield
    deployment.heal()


def goes_on(answer, service, version, last):
    """Tell whether an answer is the rest of a stream, without gap or double."""
    if answer.status != 200:
        return False
    expected = [
        (number, f'{service} {version}') for number in range(last + 1, LAST + 1)
    ]
    return answer.read() == expected and answer.read_to_end()


def is_refused_at_once(answer):
    """Tell whether an answer is a refusal with a time, given at once."""
    took_s = (answer.status and answer.answered_s) - answer.asked_s
    after = answer.head.getheader('Retry-After')
    return answer.status == 503 and float(after) > 0 and took_s < AT_ONCE_S


def joins_nothing(answer, service, version, last):
    """Tell whether an answer is the rest of a stream, or a refusal at once."""
    if answer.status == 200:
        return goes_on(answer, service, version, last)
    return is_refused_at_once(answer)


def runs_after(deployment, path, count):
    """Return what engines did for a stream, once they have ended."""
    engines = deployment.engines

    def ended():
        runs = engines.runs_of(path)
        return len(runs) == count and all(each.ended_s for each in runs)

    wait_until(ended, 8, f'ends of {count} runs of {path}')
    return engines.runs_of(path)


def beside_s(runs):
    """Return the longest time for which an engine worked beside the next."""
    return max(
        one.ended_s - other.began_s
        for one, other in zip(runs, runs[1:], strict=False)
    )


@pytest.mark.parametrize('version', VERSIONS)
def test_a_take_up_at_another_gateway_goes_on(deployment, version):
    begun = deployment.begun('first', 'calm', version, leaves=True)
    answer = deployment.take_up('second', begun, 3)
    assert goes_on(answer, 'calm', version, 3)
    first, _ = runs = runs_after(deployment, begun.path, 2)
    assert first.ended_s - begun.answer.left_s < MAX_ALONE_S
    assert beside_s(runs) < MAX_BESIDE_S


def test_no_server_works_on_for_a_caller_that_has_left_a_take_up(deployment):
    begun = deployment.begun('first', 'calm', 'v1', leaves=True)
    answer = deployment.take_up('second', begun, 3)
    answer.read(6)
    answer.leave()
    _, second = runs_after(deployment, begun.path, 2)
    assert second.ended_s - answer.left_s < MAX_ALONE_S


def test_a_take_up_beside_a_caller_that_stays_ends_neither(deployment):
    begun = deployment.begun('first', 'calm', 'v2')
    answer = deployment.take_up('second', begun, 3)
    assert goes_on(answer, 'calm', 'v2', 3)
    assert begun.answer.read_to_end()


@pytest.mark.parametrize('version', VERSIONS)
def test_two_take_ups_at_once_go_on_without_each_others_events(
    deployment, version
):
    begun = deployment.begun('first', 'calm', version, leaves=True)
    answers = [
        deployment.take_up(gateway, begun, 3) for gateway in ('second', 'apart')
    ]
    assert all(goes_on(each, 'calm', version, 3) for each in answers)


@pytest.mark.parametrize('version', VERSIONS)
def test_a_take_up_of_a_take_up_goes_on(deployment, version):
    begun = deployment.begun('first', 'calm', version, leaves=True)
    second = deployment.take_up('second', begun, 3)
    assert second.read(6) == [
        (number, f'calm {version}') for number in (4, 5, 6)
    ]
    second.leave()
    third = deployment.take_up('apart', begun, 6)
    assert goes_on(third, 'calm', version, 6)
    runs = runs_after(deployment, begun.path, 3)
    assert runs[1].ended_s - second.left_s < MAX_ALONE_S
    assert beside_s(runs) < MAX_BESIDE_S


def test_a_take_up_after_the_last_event_gets_no_event(deployment):
    begun = deployment.begun('first', 'calm', 'v1', LAST, leaves=True)
    answer = deployment.take_up('second', begun, LAST)
    assert answer.status == 200
    assert answer.read() == []
    assert answer.read_to_end()


def test_a_take_up_that_names_no_attempt_is_refused_at_once(deployment):
    begun = deployment.begun('first', 'calm', 'v2', leaves=True)
    answer = deployment.take_up('second', begun, 3, Resumes='')
    assert is_refused_at_once(answer)
    runs_after(deployment, begun.path, 1)


def test_a_take_up_of_an_unknown_attempt_gets_one_version(deployment):
    """Its first gateway may have ended, so the division decides."""
    begun = deployment.begun('first', 'calm', 'v1', leaves=True)
    unknown = deployment.request_id('v2')
    answer = deployment.take_up('second', begun, 3, Resumes=unknown)
    assert joins_nothing(answer, 'calm', 'v2', 3)


@pytest.mark.parametrize('service', ['calm', 'other'])
@pytest.mark.parametrize('version', VERSIONS)
def test_a_take_up_goes_on_at_the_service_that_began_the_stream(
    deployment, service, version
):
    """The id of each attempt chooses one of the two services of the route."""
    while True:
        request_id = deployment.request_id(version)
        begun = deployment.begun_by('first', 'split', request_id)
        begun.answer.leave()
        if begun.version == f'{service} {version}':
            break
    answers = [deployment.take_up('second', begun, 3) for _ in range(4)]
    assert all(goes_on(each, service, version, 3) for each in answers)


def test_a_take_up_of_an_attempt_at_another_route_gets_one_version(deployment):
    begun = deployment.begun('first', 'other', 'v1', leaves=True)
    path = f'/calm/{begun.request_id}'
    answer = deployment.take_up('second', begun._replace(path=path), 3)
    assert joins_nothing(answer, 'calm', 'v1', 3)


def test_an_attempt_that_brought_no_event_binds_no_later_one(deployment):
    request_id = deployment.request_id('v1')
    path = f'/calm/{request_id}'
    engines = deployment.engines.of('calm')
    for each in engines:
        each.silent.add(path)
    empty = deployment.ask('first', path, request_id)
    assert empty.status in {502, 503, 504}
    for each in engines:
        each.silent.clear()
    later = deployment.request_id('v2')
    begun = deployment.begun_by('second', 'calm', later, Resumes=request_id)
    begun.answer.leave()
    assert begun.version == 'calm v2'
    answer = deployment.take_up('first', begun, 3)
    assert goes_on(answer, 'calm', 'v2', 3)


def test_a_take_up_whose_version_is_full_is_refused_at_once(deployment):
    begun = deployment.begun('first', 'full', 'v1', leaves=True)
    (full,) = deployment.engines.of('full', 'v1')
    full.is_full = True
    answer = deployment.take_up('second', begun, 3)
    assert is_refused_at_once(answer)
    runs_after(deployment, begun.path, 1)


@pytest.mark.parametrize('is_listed', [True, False])
def test_a_take_up_whose_version_is_gone_is_refused_at_once(
    deployment, is_listed
):
    service = 'gone' if is_listed else 'unlisted-gone'
    begun = deployment.begun('first', service, 'v1', leaves=True)
    (gone,) = deployment.engines.of(service, 'v1')
    deployment.engines.call(gone.end())
    if is_listed:
        deployment.put(f'servers/{gone.name}', None)
    answer = deployment.take_up('second', begun, 3)
    assert is_refused_at_once(answer)
    runs_after(deployment, begun.path, 1)


@pytest.mark.parametrize('version', VERSIONS)
def test_a_take_up_of_a_stream_of_a_gateway_that_is_cut_off_goes_on(
    deployment, without_store, version
):
    begun = deployment.begun('apart', 'calm', version, leaves=True)
    answer = deployment.take_up('second', begun, 3)
    assert goes_on(answer, 'calm', version, 3)
    first, _ = runs = runs_after(deployment, begun.path, 2)
    assert first.ended_s - begun.answer.left_s < MAX_ALONE_S
    assert beside_s(runs) < MAX_BESIDE_S


def test_a_take_up_at_a_gateway_that_is_cut_off_joins_nothing(
    deployment, without_store
):
    begun = deployment.begun('first', 'calm', 'v1', leaves=True)
    answer = deployment.take_up('apart', begun, 3)
    assert joins_nothing(answer, 'calm', 'v1', 3)


@pytest.mark.parametrize('version', VERSIONS)
def test_a_take_up_of_a_stream_of_a_frozen_gateway_goes_on(deployment, version):
    begun = deployment.begun('apart', 'long', version)
    deployment.runner.pause('apart')
    begun.answer.leave()
    try:
        answer = deployment.take_up('second', begun, 3)
        assert answer.read(4) == [(4, f'long {version}')]
    finally:
        deployment.runner.resume('apart')
    awake_s = time.monotonic()
    assert goes_on(answer, 'long', version, 3)
    first, _ = runs_after(deployment, begun.path, 2)
    assert first.ended_s - awake_s < MAX_ALONE_S


def test_a_take_up_that_a_frozen_gateway_reads_late_reaches_no_server(
    deployment,
):
    """Its caller has left, and has taken the stream up elsewhere."""
    begun = deployment.begun('first', 'calm', 'v1', leaves=True)
    deployment.runner.pause('apart')
    try:
        deployment.take_up('apart', begun, 3).leave()
        answer = deployment.take_up('second', begun, 3)
        assert goes_on(answer, 'calm', 'v1', 3)
    finally:
        deployment.runner.resume('apart')
    deployment.begun('apart', 'calm', 'v1', leaves=True)
    runs_after(deployment, begun.path, 2)


@contextlib.contextmanager
def unlisted_restart(deployment, service, knowing):
    """Start a server again as v2; the gateways but for one hear nothing of it."""
    restarted = deployment.engines.of(service, 'v1')[0]
    deployment.cut_off()
    try:
        deployment.engines.call(restarted.start_again('v2'))
        if knowing != 'neither':
            deployment.put(f'servers/{restarted.name}', restarted.entry())
            wait_until(
                lambda: deployment.reaches(knowing, service, 'v2', restarted),
                5,
                f'{knowing} hears of the restart',
            )
        yield
    finally:
        deployment.heal()


#: The gateways at which streams begin and are taken up, by which one hears of a
#: restart.
WAYS = (
    ('first', 'first', 'apart'),
    ('second', 'apart', 'second'),
    ('neither', 'first', 'second'),
)


@pytest.mark.parametrize(('knowing', 'one', 'other'), WAYS)
def test_a_server_that_began_as_another_version_joins_nothing(
    deployment, knowing, one, other
):
    """It has started again before the streams begin."""
    service = f'before-{knowing}'
    with unlisted_restart(deployment, service, knowing):
        begun = [
            deployment.begun_by(one, service, deployment.request_id(version))
            for version in VERSIONS * 6
        ]
        found = [each.version for each in begun]
        answers = taken_up(deployment, other, begun)
    assert set(found) == {f'{service} {version}' for version in VERSIONS}
    assert joined(answers, found) == []
    assert sum(each.status == 200 for each in answers) >= len(answers) / 2


@pytest.mark.parametrize(('knowing', 'one', 'other'), WAYS)
def test_a_server_that_goes_on_as_another_version_joins_nothing(
    deployment, knowing, one, other
):
    """It starts again while the streams are interrupted."""
    service = f'after-{knowing}'
    begun = [
        deployment.begun(one, service, version) for version in VERSIONS * 6
    ]
    found = [each.version for each in begun]
    with unlisted_restart(deployment, service, knowing):
        answers = taken_up(deployment, other, begun)
    assert joined(answers, found) == []
    assert sum(each.status == 200 for each in answers) >= len(answers) / 2


@pytest.mark.parametrize(('knowing', 'one', 'other'), WAYS[1:])
def test_a_take_up_whose_last_server_runs_another_version_is_refused_at_once(
    deployment, knowing, one, other
):
    service = f'alone-{knowing}'
    begun = [deployment.begun(one, service, version) for version in VERSIONS]
    with unlisted_restart(deployment, service, knowing):
        gone, kept = taken_up(deployment, other, begun)
    assert is_refused_at_once(gone)
    assert goes_on(kept, service, 'v2', 3)
    runs_after(deployment, begun[0].path, 1)


def test_a_take_up_at_servers_that_are_slow_to_tell_their_starts_runs_once(
    deployment,
):
    begun = deployment.begun('first', 'mute', 'v1', leaves=True)
    mute(deployment, 'mute')
    answer = deployment.take_up('second', begun, 3)
    assert goes_on(answer, 'mute', 'v1', 3)
    runs_after(deployment, begun.path, 2)


def test_nothing_is_sent_for_a_caller_that_leaves_while_starts_are_asked_for(
    deployment,
):
    begun = deployment.begun('first', 'mute-left', 'v1', leaves=True)
    mute(deployment, 'mute-left')
    left = deployment.take_up('second', begun, 3)
    left.leave()
    stays = deployment.take_up('second', begun, 3)
    assert goes_on(stays, 'mute-left', 'v1', 3)
    runs_after(deployment, begun.path, 2)


def mute(deployment, service):
    """Have servers tell their starts slowly, and be asked for these again."""
    engines = deployment.engines
    for each in engines.of(service):
        each.mute_s = 0.4
        engines.call(each.drop_connections())


def taken_up(deployment, gateway, begun):
    """Return take-ups of all streams, whose callers leave."""
    for each in begun:
        each.answer.leave()
    return [deployment.take_up(gateway, each, 3) for each in begun]


def joined(answers, found):
    """Return the answers that aren't the rest of their streams, nor refused."""
    return [
        (version, answer.status, answer.read())
        for answer, version in zip(answers, found, strict=True)
        if not joins_nothing(answer, *version.split(), 3)
    ]


def test_take_ups_of_streams_that_a_stop_cuts_go_on(deployment):
    begun = [
        deployment.begun('stopping', 'long', version) for version in VERSIONS
    ]
    deployment.runner.terminate('stopping')
    lasts = [each.answer.read()[-1][0] for each in begun]
    assert all(3 < last < LAST for last in lasts)
    answers = [
        deployment.take_up('second', each, last)
        for each, last in zip(begun, lasts, strict=True)
    ]
    for answer, each, last in zip(answers, begun, lasts, strict=True):
        assert goes_on(answer, *each.version.split(), last)
        assert beside_s(runs_after(deployment, each.path, 2)) < MAX_BESIDE_S


def test_take_ups_of_streams_that_a_kill_cuts_go_on(deployment):
    begun = [
        deployment.begun('killed', 'calm', version) for version in VERSIONS
    ]
    deployment.runner.kill('killed')
    killed_s = time.monotonic()
    lasts = [each.answer.read()[-1][0] for each in begun]
    answers = [
        deployment.take_up('second', each, last)
        for each, last in zip(begun, lasts, strict=True)
    ]
    for answer, each, last in zip(answers, begun, lasts, strict=True):
        assert goes_on(answer, *each.version.split(), last)
        first, _ = runs = runs_after(deployment, each.path, 2)
        assert first.ended_s - killed_s < MAX_ALONE_S
        assert beside_s(runs) < MAX_BESIDE_S
    deployment.runner.restart('killed')
    answer = deployment.take_up('killed', begun[0], lasts[0])
    assert joins_nothing(answer, 'calm', 'v1', lasts[0])
