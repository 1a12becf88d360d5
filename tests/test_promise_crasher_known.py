"""An instance refuses a crasher that others found before it joined them."""

from functools import partial

import pytest
from caller_parts import ADAPTERS
from promise_parts import FAST_ENGINE, Trial, small_shape

from emulator.waiting import wait_until

MARKER = 'crash-this-engine'


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(
        data_centres=('north', 'south'),
        engines=2,
        engine_args=(*FAST_ENGINE, '--crash-marker', MARKER),
        proxied=('instance',),
    )
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


def crasher(text):
    return {
        'model': ADAPTERS[0],
        'max_tokens': 4,
        'stream': False,
        'messages': [{'role': 'user', 'content': f'{MARKER} {text}'}],
    }


def restart_lost_engines(trial):
    """Restart the engines that were lost; return their names."""
    running = trial.runner.running()
    names = [
        each.name for each in trial.dep.engines if each.name not in running
    ]
    for name in names:
        trial.runner.restart(name)
    return names


def send_until_refused(trial, entry, text):
    """Send a crasher to one entry until the entry refuses it."""

    def refused():
        answer = trial.call(entry, crasher(text))
        restart_lost_engines(trial)
        return answer.status == 422

    wait_until(refused, 40, f'{text} refused')


def links(trial):
    north, south = (place.name for place in trial.dep.controllers)
    return (north, south), (south, north)


def cut_off(trial):
    trial.dep.links.cut(*links(trial))


def heal(trial):
    trial.dep.links.heal(*links(trial))


def cut_to_south(trial):
    """Cut the link that north opens to south; that from south stays."""
    trial.dep.links.cut(links(trial)[0])


def instance_of_south(trial):
    controller, entry = trial.dep.controllers[1], trial.dep.entries[1]
    return controller.name, entry.name


def kill(trial):
    for name in instance_of_south(trial):
        trial.runner.kill(name)


def restart(trial):
    for name in instance_of_south(trial):
        trial.runner.restart(name)


def replace(trial):
    kill(trial)
    restart(trial)


def change_nothing(trial):
    """Change nothing."""


def runs_requests(trial):
    return trial.call(trial.dep.entries[1], {'model': ADAPTERS[1]}).completed


def count_opened_links(trial):
    """Count the links that south has opened to north."""
    north, south = (place.name for place in trial.dep.controllers)
    lines = trial.runner.log_path(south).read_text().splitlines()
    return sum('peer_linked' in line and north in line for line in lines)


def wait_joined(trial, opened_before):
    """Wait until south is linked to north and has received earlier updates."""
    south = trial.dep.entries[1]
    wait_until(partial(trial.is_ready, south), 20, 'south ready')
    wait_until(partial(runs_requests, trial), 20, 'requests at south')
    wait_until(
        lambda: count_opened_links(trial) > opened_before,
        20,
        'a new link to north',
    )
    trial.wait_in_force(trial.roll(dict.fromkeys(ADAPTERS, '1')))


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (cut_off, heal),
        (kill, restart),
        (change_nothing, replace),
        (cut_to_south, replace),
    ],
    ids=['cut-off', 'down-meanwhile', 'replaced-later', 'link-one-way'],
)
def test_found_elsewhere(trial, before, after, request):
    """South was cut off when north found the crasher, or was replaced later."""
    text = request.node.callspec.id
    north, south = trial.dep.entries
    before(trial)
    send_until_refused(trial, north, text)
    opened = count_opened_links(trial)
    after(trial)
    wait_joined(trial, opened)
    answer = trial.call(south, crasher(text))
    heal(trial)
    assert restart_lost_engines(trial) == []
    assert answer.status == 422


def test_found_before_its_controller_was_replaced(trial):
    """A new controller learns of a known crasher from its entry."""
    north, _ = trial.dep.entries
    send_until_refused(trial, north, 'controller')
    opened = count_opened_links(trial)
    both = [place.name for place in trial.dep.controllers]
    for name in both:
        trial.runner.kill(name)
    for controller in both:
        trial.runner.restart(controller)
    wait_joined(trial, opened)
    opened = count_opened_links(trial)
    replace(trial)
    wait_joined(trial, opened)
    answer = trial.call(trial.dep.entries[1], crasher('controller'))
    assert restart_lost_engines(trial) == []
    assert answer.status == 422
