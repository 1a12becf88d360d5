"""The slopes are least-squares lines through the measured figures."""

import json

import pytest
from click.testing import CliRunner

from emulator.slope_fit import Line, fit
from emulator.slopes import main


@pytest.mark.parametrize(
    ('sizes', 'figures', 'line'),
    [
        ((0, 1, 2), (3, 5, 7), Line(3, 2)),
        ((10, 20, 30), (1, 1, 1), Line(1, 0)),
        ((0, 2, 4), (0, 3, 0), Line(1, 0)),
    ],
)
def test_the_line_has_the_least_squared_errors(sizes, figures, line):
    fitted = fit(sizes, figures)
    assert fitted == pytest.approx(line)
    assert fitted.at(10) == pytest.approx(line.at_zero + 10 * line.slope)


def test_a_line_needs_two_sizes():
    with pytest.raises(ValueError, match='two sizes'):
        fit((4, 4), (1, 2))


def test_a_controller_costs_more_with_more_peers():
    args = '--part=peers --size=2 --size=6 --seconds=2'.split()
    printed = CliRunner().invoke(main, args, catch_exceptions=False)
    printed_lines = [json.loads(line) for line in printed.stdout.splitlines()]
    few, many = (line for line in printed_lines if 'part' in line)
    lines = {line.get('slope_of'): line for line in printed_lines}
    assert many['controller_threads'] > few['controller_threads']
    assert many['link_segments_per_s'] > few['link_segments_per_s']
    assert lines['peers.link_payload_bytes_per_s']['each'] > 0
