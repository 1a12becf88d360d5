"""Orders carry a fencing term only to engines that check it."""

import pytest
from caller_parts import ADAPTERS, model_document
from promise_parts import FAST_ENGINE, start_trial

from emulator.waiting import wait_until


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    return start_trial(
        runner,
        tmp_path_factory,
        data_centres=('north', 'south'),
        # Fewer slots than adapters, so that both engines load some.
        engine_args=(*FAST_ENGINE, '--slots', '2'),
        further_args={'north': ('--no-fencing',)},
    )


def loads_at(trial, engine):
    return [
        each for each in trial.log(engine)['log'] if each['event'] == 'load'
    ]


def loaded_everywhere(trial):
    for entry in trial.dep.entries:
        for adapter in ADAPTERS:
            trial.call(entry, model_document(adapter))
    return all(loads_at(trial, engine) for engine in trial.dep.engines)


@pytest.mark.parametrize(
    ('data_centre', 'has_term'), [('north', False), ('south', True)]
)
def test_terms_of_orders(trial, data_centre, has_term):
    wait_until(lambda: loaded_everywhere(trial), 20, 'loads everywhere')
    (engine,) = (
        each for each in trial.dep.engines if each.data_centre == data_centre
    )
    terms = [each['term'] for each in loads_at(trial, engine)]
    assert {term > 0 for term in terms} == {has_term}
