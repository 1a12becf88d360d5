"""The path bench prints its figures beside those of direct calls."""

import json

import pytest
from click.testing import CliRunner

from emulator.bench_path import main

ARGS = (
    '--entries=1 --engines=2 --adapters=2 --idle-calls=5 --rate=5 --tokens=5'
    ' --duration-s=2 --ramp-s=0.5 --turns=1'
)


@pytest.fixture(scope='module')
def figures(tmp_path_factory):
    folder = tmp_path_factory.mktemp('bench-path')
    args = [*ARGS.split(), f'--folder={folder}']
    printed = CliRunner().invoke(main, args, catch_exceptions=False)
    lines = [json.loads(line) for line in printed.stdout.splitlines()]
    return {line.get('figure'): line for line in lines}


@pytest.mark.parametrize(
    'name',
    ['idle_first_token_ms_p50', 'gap_ms_p95', 'tokens_per_s'],
)
def test_figures_stand_beside_the_direct_ones(figures, name):
    assert figures[name]['entry'] > 0
    assert figures[name]['direct'] > 0


def test_every_answer_is_whole(figures):
    assert figures['not_whole']['failed'] == 0
    assert figures['not_whole']['calls'] > 0
    assert figures['program']['resident_mb'] > 0
