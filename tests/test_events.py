"""The catalogue of events and the log lines made from it."""

import io
import json
import logging
import re
from collections import Counter
from pathlib import Path

import pytest

from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import configure_logs, log_event
from wasabicross.runtime.settings import LogSettings

PAGE = Path(__file__).parent.parent / 'docs' / 'EVENTS.md'
ROW = re.compile(r'^\| (\d+) \| (\w+) \| (\w+) \| (.+?) \|', re.MULTILINE)


def test_page_lists_each_event_once():
    listed = [match[:3] for match in ROW.findall(PAGE.read_text())]
    known = [
        (str(event.number), event.name.lower(), event.level)
        for event in Event.__members__.values()
    ]
    assert listed == sorted(known)


def test_numbers_are_unique():
    numbers = Counter(event.number for event in Event.__members__.values())
    assert [number for number, times in numbers.items() if times > 1] == []
    assert len(Event) == len(Event.__members__)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'bundle': 7, 'request': 'r{1}'}, {'bundle': 7, 'request': 'r{1}'}),
        ({'event': 1, 'name': 'x'}, {'event': 3001, 'name': 'bundle_in_force'}),
        ({'reason': ValueError('a\nb')}, {'reason': 'a\nb'}),
    ],
)
def test_json_line(fields, expected):
    stream = io.StringIO()
    configure_logs(LogSettings(format='json'), 'entry', stream)
    log_event(Event.BUNDLE_IN_FORCE, **fields)
    (line,) = stream.getvalue().splitlines()
    logged = json.loads(line)
    assert {'program': 'entry', 'level': 'INFO', 'event': 3001}.items() <= (
        logged.items()
    )
    assert expected.items() <= logged.items()


def test_human_line_and_level():
    stream = io.StringIO()
    configure_logs(LogSettings(format='human', level='ERROR'), 'admin', stream)
    log_event(Event.BUNDLE_IN_FORCE, bundle=1)
    log_event(Event.BUNDLE_REFUSED, bundle=2, reason='forged')
    (line,) = stream.getvalue().splitlines()
    assert line.endswith('admin 3002 bundle_refused bundle=2 reason="forged"')


def test_library_warnings_become_events():
    stream = io.StringIO()
    configure_logs(LogSettings(), 'entry', stream)
    logging.getLogger('urllib3').info('silent')
    logging.getLogger('urllib3').warning('odd %s', 'answer')
    (line,) = stream.getvalue().splitlines()
    assert json.loads(line)['text'] == 'odd answer'
