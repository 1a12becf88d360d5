"""The pages list each error code and each metric that the code has."""

import importlib
import pkgutil
import re

import pytest
from prometheus_client import REGISTRY, Counter, Gauge, Histogram

import wasabicross
from emulator.fleet import ROOT
from wasabicross.callers import key_claims, replies
from wasabicross.callers.replies import Fault
from wasabicross.operators import admin_errors

DOCS = ROOT / 'docs'
METRIC_ROW = re.compile(
    r'^\| `(wasabicross_\w+)` \| (\w+) \| ([^|]*) \|', re.MULTILINE
)


def metrics_of_code():
    for module in pkgutil.walk_packages(wasabicross.__path__, 'wasabicross.'):
        importlib.import_module(module.name)
    for metric in set(REGISTRY._collector_to_names):
        if isinstance(metric, Counter | Gauge | Histogram):
            name = metric._name
            suffix = '_total' if isinstance(metric, Counter) else ''
            labels = ', '.join(f'`{label}`' for label in metric._labelnames)
            yield f'{name}{suffix}', metric._type, labels


def test_metrics_page_lists_each_metric_once():
    rows = METRIC_ROW.findall((DOCS / 'METRICS.md').read_text())
    listed = [tuple(cell.strip() for cell in row) for row in rows]
    assert listed == sorted(set(metrics_of_code()))


def faults_of(module):
    found = [fault for fault in vars(module).values() if type(fault) is Fault]
    return {(int(fault.status), fault.code) for fault in found}


CALLERS = {
    *faults_of(replies),
    *faults_of(key_claims),
    *(
        (fault.status, fault.code)
        for _outcome, fault in key_claims._REPEATS.values()
    ),
    *(
        (429, reason)
        for reason in re.findall(
            r"^            \('([a-z-]+)', ",
            (ROOT / 'src/wasabicross/callers/admission.py').read_text(),
            re.MULTILINE,
        )
    ),
}
OPERATORS = {
    *faults_of(admin_errors),
    *(
        (int(group.status), code)
        for group, code in admin_errors._GROUPS_AND_CODES.values()
    ),
}


@pytest.mark.parametrize(
    ('part', 'status', 'code'),
    [
        *((0, *fault) for fault in sorted(CALLERS)),
        *((1, *fault) for fault in sorted(OPERATORS)),
    ],
)
def test_api_page_tells_each_error(part, status, code):
    page = (DOCS / 'API.md').read_text().split('\n## Operators\n')[part]
    rows = [row for row in page.splitlines() if row.startswith(f'| {status} ')]
    assert any(f'`{code}`' in row for row in rows)


def test_admission_tells_its_reasons():
    reasons = {code for status, code in CALLERS if status == 429}
    assert reasons == {
        'adapter-limit',
        'capacity',
        'class-limit',
        'deadline',
        'queue',
        'tenant-share',
    }
