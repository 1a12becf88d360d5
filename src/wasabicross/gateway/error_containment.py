"""Keeps an unforeseen error in one item from ending a background task."""

from __future__ import annotations

import contextlib
import math
import traceback
from collections.abc import Iterator

from wasabicross.gateway.clock import now_s
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Least interval between two log lines of one task.
_LOG_INTERVAL_S = 1.0

#: Innermost frames of a traceback that are logged.
_LOGGED_FRAMES = 4


class ErrorContainment:
    """Logs unforeseen errors of a background task, which then goes on.

    Foreseen errors are handled where they occur; what gets here is a defect.

    :param task: name of the task for the log.
    """

    def __init__(self, task: str) -> None:
        self._task = task
        self._logged_s = -math.inf

    @contextlib.contextmanager
    def contain(self, item: str) -> Iterator[None]:
        """Contain an error of the block, which handles one item.

        :param item: name of the item for the log.
        """
        try:
            yield
        except Exception as exc:
            self.log(item, exc)

    def log(self, item: str, exc: Exception) -> None:
        """Log an error of one item, at most one in an interval.

        :param item: name of the item for the log.
        :param exc: the error.
        """
        at_s = now_s()
        if at_s - self._logged_s < _LOG_INTERVAL_S:
            return
        self._logged_s = at_s
        trace = traceback.format_exception(exc, limit=-_LOGGED_FRAMES)
        log_event(
            Event.ITEM_FAILED, task=self._task, item=item, trace=''.join(trace)
        )
