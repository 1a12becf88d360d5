"""The field `model` of engines' answers, which callers know by another name."""

import re
from collections.abc import Generator, Iterator
from contextlib import closing

_LINE_END = b'\n'


class ModelField:
    """Puts an adapter's name in the place of a load's, in bytes as they come.

    Only a field named `model` with exactly the load's name as its value is
    changed. Text can't be taken for it: within a JSON string each quote has a
    backslash before it. So no JSON has to be parsed for each token. What
    follows the last line break is held back until the line ends, so that a
    name in two pieces is found. Server-sent events end with a line break; an
    answer that isn't streamed comes as a whole at its end.

    :param load_name: what the engine calls it.
    :param adapter: what the caller calls it.
    """

    def __init__(self, load_name: str, adapter: str) -> None:
        # Some encoders put a backslash before a slash.
        spelled = re.escape(load_name).replace('/', r'\\?/')
        self._field = re.compile(
            # It begins with plain characters, for which the search is fast.
            rf'"model"(?<!\\"model")(\s*:\s*"){spelled}(?=")'.encode(),
        )
        self._renamed = rf'"model"\g<1>{adapter}'.encode()

    def rename(self, pieces: Generator[bytes]) -> Iterator[bytes]:
        """Yield the pieces of an answer with the field changed.

        :param pieces: the answer as it comes; closed when this one is.
        """
        held = b''
        with closing(pieces):
            for piece in pieces:
                came = held + piece
                lines_end = came.rfind(_LINE_END) + 1
                held = came[lines_end:]
                if lines_end:
                    yield self._rename_all(came[:lines_end])
        if held:
            yield self._rename_all(held)

    def _rename_all(self, lines: bytes) -> bytes:
        return self._field.sub(self._renamed, lines)
