"""The record of convictions as this process knows it from the store."""

from __future__ import annotations

from collections.abc import Callable

from wasabicross.gateway.changes import ConvictionUpdate
from wasabicross.gateway.conviction_records import (
    ConvictionRecord,
    StoredConvictions,
)
from wasabicross.gateway.store_position import era_of, position


class KnownConvictions:
    """The record of convictions as last read."""

    def __init__(self) -> None:
        self.record = ConvictionRecord(StoredConvictions(), 0)
        #: Is called with the content of each new version.
        self.on_stored: Callable[[StoredConvictions], None] = _ignore
        self._position = -1

    def on_new_content(self, era: int) -> None:
        """Forget the record, as the complete content is applied next.

        :param era: era of the store.
        """
        self._position = -1
        self.record = ConvictionRecord(StoredConvictions(), position(era, 0))

    def apply(
        self, change: ConvictionUpdate, _confirmed_s: float, _now_s: float
    ) -> None:
        """Take a version of the record, unless a later one is known.

        :param change: the change.
        """
        if change.revision <= self._position:
            return
        expected = self._position = change.revision
        if change.is_removed:
            expected = position(era_of(change.revision), 0)
        self.record = ConvictionRecord(change.stored, expected)
        if change.stored is not None:
            self.on_stored(change.stored)


def _ignore(_stored: StoredConvictions) -> None:
    """Do nothing, as nobody listens yet."""
