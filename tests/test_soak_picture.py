"""The SVG picture of a soak run shows its outcomes and faults."""

import xml.etree.ElementTree as ET

import pytest

from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence
from emulator.soak.injected import InjectedFault
from emulator.soak.picture import draw, outcomes_by_second

WHOLE = CallResult('r', 'safe', '', 0, 'g', 100.0, 100.2, 200, is_complete=True)
REFUSED = WHOLE._replace(sent_s=101.0, ended_s=101.1, status=503)
LATER = WHOLE._replace(sent_s=102.5, ended_s=102.7)


@pytest.mark.parametrize(
    ('got', 'heights'),
    [
        ([], {}),
        ([WHOLE], {'whole': [1]}),
        ([WHOLE, REFUSED], {'503': [0, 1], 'whole': [1, 0]}),
        (
            [LATER, WHOLE, WHOLE, REFUSED],
            {'503': [0, 1, 0], 'whole': [2, 0, 1]},
        ),
    ],
)
def test_outcomes_are_counted_by_the_second_of_their_end(got, heights):
    assert outcomes_by_second(got, 100.0) == heights


def test_the_picture_names_what_it_shows(tmp_path):
    path = tmp_path / 'run.svg'
    fault = InjectedFault('store_down', '', 100.5, 101.5)
    seen = Evidence(
        [WHOLE, REFUSED, LATER], [], [], [], [], [fault], [], [], [], 101.5
    )

    draw(seen, 'seed 7: 0 broken', path)

    text = path.read_text()
    assert ET.fromstring(text).tag.endswith('svg')
    # Each text is drawn as shapes, with the text itself in a comment.
    for label in ('seed 7: 0 broken', 'whole', '503', 'store_down'):
        assert f'<!-- {label} -->' in text


def test_a_run_without_faults_is_drawn(tmp_path):
    path = tmp_path / 'run.svg'
    draw(Evidence([], [], [], [], [], [], [], [], [], 0), 'empty', path)
    assert path.exists()
