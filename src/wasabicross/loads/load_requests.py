"""The adapter versions that an entry's requests wait for."""

import threading
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from wasabicross.messaging.messages import WantLoad

SEND_INTERVAL_S = 0.3
MAX_TOLD = 1024

_Version = tuple[str, str]


class LoadRequestSender:
    """Tells the controller what requests wait for, one message for many.

    :param send: sends a message to the controller.
    """

    def __init__(self, send: Callable[[Any], bool]) -> None:
        self._send = send
        self._lock = threading.Lock()
        self._waiting: Counter[_Version] = Counter()
        self._told_s: dict[_Version, float] = {}
        self._since_s: dict[_Version, float] = {}

    @contextmanager
    def waiting(self, want: WantLoad, now_s: float) -> Iterator[WantLoad]:
        """Count a request as waiting for an adapter version meanwhile.

        :param want: the adapter version.
        :param now_s: monotonic seconds.
        """
        version = (want.adapter, want.version)
        with self._lock:
            self._waiting[version] += 1
            self._since_s.setdefault(version, now_s)
        try:
            yield want
        finally:
            self._finish(version)

    def send(self, want: WantLoad, now_s: float) -> None:
        """Tell a want, unless it was told within `SEND_INTERVAL_S`.

        :param want: the adapter version; how many wait is filled in, and for
            how long.
        :param now_s: monotonic seconds.
        """
        version = (want.adapter, want.version)
        with self._lock:
            told_s = self._told_s.get(version, float('-inf'))
            if now_s - told_s < SEND_INTERVAL_S:
                return
            if len(self._told_s) >= MAX_TOLD:
                self._told_s.clear()
            self._told_s[version] = now_s
            told = want._replace(
                waiting=self._waiting[version],
                waited_s=max(0, now_s - self._since_s.get(version, now_s)),
            )
        self._send(told)

    def _finish(self, version: _Version) -> None:
        with self._lock:
            self._waiting[version] -= 1
            if not self._waiting[version]:
                self._waiting.pop(version)
                self._told_s.pop(version, None)
                self._since_s.pop(version, None)
