"""The JSON lines of the bench are rendered as a page with a table."""

import json

from emulator.bench_table import COLUMNS, table


def test_table():
    head = {
        'options': {'firm': 'stalls', 'seed': 1},
        'stall_s_knowing_the_future': 1.5,
        'stall_s_slots_for_all': 2.5,
    }
    figures = {
        'contender': 'policy',
        'calls': 9,
        'ends': {'200 completed': 8, '429 not-run': 1},
        'stall_s_total': 3.5,
        'stall_s_p99': None,
    }
    failed = {'contender': 'random', 'failed': 'a port was taken'}
    lines = list(table(map(json.dumps, (head, failed, figures))))
    assert 'firm stalls, seed 1' in lines[1]
    assert '1.5 s' in lines[2]
    assert '2.5 s' in lines[2]
    assert lines[4].count('|') == lines[-1].count('|') == len(COLUMNS) + 1
    assert 'failed' in lines[6]
    cells = [cell.strip() for cell in lines[-1].split('|')]
    assert cells[1:6] == ['policy', '9', '8', '', '3.5']
