"""The platform package is imported in one place, and its names stay in it."""

import ast
import pathlib
import re

import pytest
from source_trees import parse_source

SOURCE = pathlib.Path(__file__).parent.parent / 'src' / 'wasabicross'
PLATFORM = SOURCE / 'platform'

#: The only module outside that may import the platform.
PROGRAM_MODULE = SOURCE / 'programs' / 'run_gateway.py'

WIRE_NAMES = re.compile(
    r'pathPrefix|trafficSplit|Not-Run|Expect-Instance|Expect-Version'
    r'|Time-Left-Ms|adapterSlots|kvUsed|kv-(?:key|range|watch|txn|lease)'
    r'|op/config|op/version|maxAttempts|targetLatencyMs|coldLeftMs'
    r"|b'(?:not-run|expect-\w+|time-left-ms|request-id|model)'",
)

MODULES_OUTSIDE = sorted(
    path for path in SOURCE.rglob('*.py') if PLATFORM not in path.parents
)


def imported_modules(path):
    for node in ast.walk(parse_source(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


def violations(paths):
    for path in paths:
        if WIRE_NAMES.search(path.read_text()):
            yield f'{path.name} names what is on the wire'
        if path != PROGRAM_MODULE and any(
            name.startswith('wasabicross.platform')
            for name in imported_modules(path)
        ):
            yield f'{path.name} imports the platform'


def test_nothing_outside_knows_the_platform():
    assert not list(violations(MODULES_OUTSIDE))


@pytest.mark.parametrize(
    'text',
    [
        'from wasabicross.platform.store import StoreClient\n',
        'import wasabicross.platform.headers\n',
        "FIELD = 'Not-Run'\n",
        "FIELD = b'expect-version'\n",
    ],
)
def test_a_breach_is_found(tmp_path, text):
    module = tmp_path / 'planted.py'
    module.write_text(text)
    assert len(list(violations([module]))) == 1
