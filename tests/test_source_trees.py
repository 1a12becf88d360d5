"""The checks that read the sources don't fail for what other tests leave."""

import ast
import asyncio
import gc
import pathlib

import pytest
from scripted_server import HOST
from source_trees import parse_source

TESTS = pathlib.Path(__file__).parent
LONG_SOURCE = pathlib.Path(ast.__file__).read_text()


class Garbage:
    """An object whose finalizer converts a syntax tree."""

    finalized = 0

    def __init__(self):
        self.cycle = self

    def __del__(self):
        ast.parse('a + b')
        Garbage.finalized += 1


async def leave_writer():
    """Leave a connection open and its writer to the collector."""
    listener = await asyncio.start_server(lambda *_: None, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    _reader, writer = await asyncio.open_connection(HOST, port)
    writer.cycle = writer


@pytest.mark.parametrize('parse', [parse_source, ast.parse])
def test_a_finalizer_that_parses_breaks_no_parse(parse):
    """pytest parses sources too, to report failures."""
    gc.collect()
    Garbage.finalized = 0
    Garbage()
    assert parse(LONG_SOURCE).body
    assert not Garbage.finalized
    gc.collect()
    assert Garbage.finalized == 1


@pytest.mark.filterwarnings('ignore::pytest.PytestUnraisableExceptionWarning')
def test_a_writer_without_its_loop_breaks_no_parse():
    """pytest formats the error of its finalizer, and parses for that."""
    gc.collect()
    asyncio.run(leave_writer())
    assert parse_source(LONG_SOURCE).body
    gc.collect()


@pytest.mark.parametrize('text', ['a = 1', 'a ='])
@pytest.mark.parametrize('enabled', [True, False])
def test_the_collector_is_left_as_it_was(text, enabled):
    if not enabled:
        gc.disable()
    try:
        parse_source(text)
    except SyntaxError:
        assert text == 'a ='
    finally:
        found = gc.isenabled()
        gc.enable()
    assert found is enabled


@pytest.mark.parametrize('folder', ['tests', 'emulator', 'model'])
def test_sources_are_parsed_by_the_helper_only(folder):
    used = {
        path.name
        for path in (TESTS.parent / folder).rglob('*.py')
        if 'ast.parse(' in path.read_text()
    }
    assert used == ({'test_source_trees.py'} if folder == 'tests' else set())
