"""Detection that this process was suspended for some time."""

import threading
import time
from collections.abc import Callable

TICK_S = 0.5


class PauseWatch:
    """Ticks regularly, and reports when two ticks were too far apart.

    Other processes may have dropped a process that was suspended: it may no
    longer own anything, and must not rely on its state from before.

    :param max_pause_s: maximum time between two ticks, in seconds.
    :param on_pause: called at the tick that follows a longer pause.
    """

    def __init__(
        self, max_pause_s: float, on_pause: Callable[[], None]
    ) -> None:
        self._max_pause_s = max_pause_s
        self._on_pause = on_pause
        self._ticked_s: float | None = None

    def run(self, stop: threading.Event) -> None:
        """Tick until the process stops.

        :param stop: set when the process stops.
        """
        self.tick(time.monotonic())
        while not stop.wait(TICK_S):
            self.tick(time.monotonic())

    def tick(self, now_s: float) -> None:
        """Record that the process runs; report a pause before it.

        :param now_s: present time, monotonic seconds.
        """
        last_tick_s = now_s if self._ticked_s is None else self._ticked_s
        if now_s - last_tick_s > self._max_pause_s:
            self._on_pause()
        self._ticked_s = now_s

    def has_paused(self, now_s: float) -> bool:
        """Return whether the last tick is missing or too long ago.

        After a pause this is true until `on_pause` has returned, so that the
        process doesn't act on its old state before that.

        :param now_s: present time, monotonic seconds.
        """
        if self._ticked_s is None:
            return True
        return now_s - self._ticked_s > self._max_pause_s
