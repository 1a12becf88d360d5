"""Explain a request from the logs of all machines, and find their outages."""

import json

import pytest
from click.testing import CliRunner

from wasabicross.commands.explain import explain, find_outages, read_lines
from wasabicross.programs.cli import main


def line(second, name, source='front-1 ', **fields):
    frame = {
        'time': f'2026-03-30T17:43:{second:09.6f}+00:00',
        'level': 'INFO',
        'program': 'gateway',
        'event': 1,
        'name': name,
    }
    return source + json.dumps({**fields, **frame})


LOG = [
    'no log line',
    '{"not": "one"}',
    line(9, 'adapter_loaded', 'front-2 ', server='s1', adapter='a1'),
    line(1, 'adapter_loaded', 'front-2 ', server='s1', adapter='a1'),
    line(8, 'adapter_loaded', 'front-2 ', server='s1', adapter='a9'),
    line(8.5, 'store_lost', 'front-2 ', reason='silent'),
    line(9.5, 'engine_silent', 'front-2 ', server='s1'),
    line(9.6, 'engine_silent', 'front-2 ', server='s2'),
    line(10, 'request_sent', request='r1', server='s1', adapter='a1'),
    line(10.1, 'request_refused', request='r1', server='s1', status=502),
    line(10.05, 'request_sent', request='r2', server='s1', adapter='a1'),
    line(20, 'store_back', 'front-2 '),
]


def test_own_lines_and_what_they_met_in_order_of_time():
    events = explain('r1', read_lines(LOG))
    assert [(each.name, each.source) for each in events] == [
        ('store_lost', 'front-2'),
        ('adapter_loaded', 'front-2'),
        ('engine_silent', 'front-2'),
        ('request_sent', 'front-1'),
        ('request_refused', 'front-1'),
    ]


def test_command_reads_standard_input():
    shown = CliRunner().invoke(main, ['explain', 'r1'], input='\n'.join(LOG))
    assert shown.exit_code == 0
    assert '17:43:10.100 front-1 request_refused' in shown.output


def test_unknown_request_is_told():
    shown = CliRunner().invoke(main, ['explain', 'r9'], input='\n'.join(LOG))
    assert shown.exit_code != 0
    assert 'r9: not in these logs' in shown.output


STARTED = 'program_started'
STOPPED = 'program_stopped'


@pytest.mark.parametrize(
    ('log', 'told'),
    [
        ([line(1, STARTED), line(2, STOPPED), line(3, STARTED)], []),
        (
            # Attempts that the stop has cut are logged after it.
            [
                line(1, STARTED),
                line(2, STOPPED),
                line(2.1, 'request_sent'),
                line(3, STARTED),
            ],
            [],
        ),
        (
            [line(1, STARTED), line(2, 'store_lost'), line(5, STARTED)],
            [('front-1', '17:43:02.000', '17:43:05.000')],
        ),
        (
            [
                line(1, STARTED),
                line(1, STARTED, '0.5 front-2 '),
                line(2, 'store_lost', '1.5 front-2 '),
                line(9, 'store_lost'),
            ],
            [('front-2', '17:43:02.000', '')],
        ),
        (
            [
                line(1, STARTED),
                line(1, STARTED, 'front-2 '),
                line(5.9, 'store_lost'),
            ],
            [],
        ),
        ([], []),
    ],
)
def test_programs_that_ended_without_a_stop_are_found(log, told):
    assert find_outages(read_lines(log)) == told


def test_a_request_that_no_machine_has_logged_may_have_been_lost_with_one():
    log = [line(1, STARTED), line(2, 'store_lost'), line(5, STARTED)]
    shown = CliRunner().invoke(main, ['explain', 'r9'], input='\n'.join(log))
    assert shown.exit_code != 0
    assert (
        'front-1 wrote nothing from 17:43:02.000 '
        'until its start at 17:43:05.000' in shown.output
    )
    assert 'ended without a stop' in shown.output
