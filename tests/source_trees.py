"""Syntax trees of source files, for the checks that read the sources."""

import ast
import gc


def parse_source(text):
    """Return the syntax tree of a source; no finalizer runs meanwhile.

    CPython 3.11 counts the recursion of all conversions of trees in one place.
    If a finalizer converts another tree, `ast.parse` raises SystemError; to
    format a traceback does so.

    :param text: the source.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(text)
    finally:
        if was_enabled:
            gc.enable()
