"""Syntax trees of source files, for the checks that read the sources."""

import ast
import functools
import gc

_parse = ast.parse


def parse_source(text, *args, **options):
    """Return the syntax tree of a source; no finalizer runs meanwhile.

    CPython 3.11 counts the recursion of all conversions of trees in one place.
    If a finalizer converts another tree, `ast.parse` raises SystemError; to
    format a traceback does so.

    :param text: the source.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _parse(text, *args, **options)
    finally:
        if was_enabled:
            gc.enable()


def guard_all_parsers():
    """Have pytest, which parses sources to report failures, do so too."""
    ast.parse = functools.wraps(_parse)(parse_source)
