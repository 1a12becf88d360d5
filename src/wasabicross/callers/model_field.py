"""The field `model` in answers, renamed from the load to the adapter."""

import re
from collections.abc import Generator, Iterator
from contextlib import closing

#: Most white space characters accepted on either side of the colon.
_MAX_SPACES = 16

#: An incomplete field at the end of the bytes received so far.
_OPEN_FIELD = re.compile(
    rb'"(?:m(?:o(?:d(?:e(?:l(?:"%(spaces)b(?::%(spaces)b(?:"[^"]*)?)?'
    rb')?)?)?)?)?)?\Z' % {b'spaces': rb'\s{0,%d}' % _MAX_SPACES},
)


class ModelField:
    """Replaces a load's name by the adapter's in the bytes of an answer.

    Only a field named `model` with exactly the load's name as its value is
    changed. Text can't be mistaken for the field, since within a JSON string
    each quote follows a backslash. So the JSON of each token need not be
    parsed. Bytes at the end of a piece that may begin the field are held back
    until the next piece.

    :param load_name: name of the load, as the engine sends it.
    :param adapter: name of the adapter, as the caller knows it.
    """

    def __init__(self, load_name: str, adapter: str) -> None:
        # Some JSON encoders escape a slash with a backslash.
        escaped = re.escape(load_name).replace('/', r'\\?/')
        spaces = rf'\s{{0,{_MAX_SPACES}}}'
        self._field = re.compile(
            # The search is fast if the pattern starts with literal characters.
            rf'"model"(?<!\\"model")({spaces}:{spaces}"){escaped}"'.encode(),
        )
        self._replacement = rf'"model"\g<1>{adapter}"'.encode()
        self._max_field_bytes = len('"model":') + 2 * (
            _MAX_SPACES + 1 + len(load_name)
        )

    def rename(self, pieces: Generator[bytes]) -> Iterator[bytes]:
        """Yield the pieces of an answer with the field changed.

        :param pieces: the answer as it arrives; closed with this iterator.
        """
        held = b''
        with closing(pieces):
            for piece in pieces:
                received = self._field.sub(self._replacement, held + piece)
                complete_until = self._incomplete_from(received)
                held = received[complete_until:]
                if complete_until:
                    yield received[:complete_until]
        if held:
            yield held

    def _incomplete_from(self, received: bytes) -> int:
        """Return where the field may begin, including the byte before it."""
        incomplete = _OPEN_FIELD.search(
            received, max(0, len(received) - self._max_field_bytes)
        )
        return max(0, incomplete.start() - 1) if incomplete else len(received)
