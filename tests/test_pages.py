"""The pages against the code: error codes, metrics and their labels."""

import importlib
import pkgutil
import re

import pytest
from prometheus_client import REGISTRY, Counter, Gauge, Histogram

import wasabicross
from emulator.fleet import ROOT
from wasabicross import admin_errors, key_claims, replies

DOCS = ROOT / 'docs'
METRIC_ROW = re.compile(
    r'^\| `(wasabicross_\w+)` \| (\w+) \| ([^|]*) \|', re.MULTILINE
)


def metrics_of_code():
    for module in pkgutil.iter_modules(wasabicross.__path__):
        importlib.import_module(f'wasabicross.{module.name}')
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


def codes_of(module, kind):
    return [
        fault.code for fault in vars(module).values() if type(fault) is kind
    ]


CODES = {
    *codes_of(replies, replies.Fault),
    *codes_of(key_claims, replies.Fault),
    *(fault.code for _, fault in key_claims._REPEATS.values()),
    *codes_of(admin_errors, admin_errors.AdminFault),
    *(code for _, _, code in admin_errors._KINDS.values()),
    *re.findall(
        r"^            \('([a-z-]+)', ",
        (ROOT / 'src/wasabicross/admission.py').read_text(),
        re.MULTILINE,
    ),
    'not_run_key_held',
}


@pytest.mark.parametrize('code', sorted(CODES))
def test_api_page_tells_each_code(code):
    assert f'`{code}`' in (DOCS / 'API.md').read_text()
