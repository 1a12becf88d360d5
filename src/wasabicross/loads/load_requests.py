"""Load requests of an entry for the adapter versions that its callers need."""

import threading
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from wasabicross.messaging.messages import WantLoad

SEND_INTERVAL_S = 0.3
MAX_TRACKED_VERSIONS = 1024

_Version = tuple[str, str]


class LoadRequestSender:
    """Sends load requests to the controller, one for all waiting requests.

    :param send: sends a message to the controller.
    """

    def __init__(self, send: Callable[[Any], bool]) -> None:
        self._send = send
        self._lock = threading.Lock()
        self._waiting: Counter[_Version] = Counter()
        self._sent_s: dict[_Version, float] = {}
        self._since_s: dict[_Version, float] = {}

    @contextmanager
    def waiting(
        self, load_request: WantLoad, now_s: float
    ) -> Iterator[WantLoad]:
        """Count a request as waiting for an adapter version within the context.

        :param load_request: the load request for the adapter version.
        :param now_s: present time, monotonic seconds.
        """
        version = (load_request.adapter, load_request.version)
        with self._lock:
            self._waiting[version] += 1
            self._since_s.setdefault(version, now_s)
        try:
            yield load_request
        finally:
            self._finish(version)

    def send(self, load_request: WantLoad, now_s: float) -> None:
        """Send a load request, unless it was sent within `SEND_INTERVAL_S`.

        :param load_request: the load request; the number of waiting requests
            and their waiting time are filled in.
        :param now_s: present time, monotonic seconds.
        """
        version = (load_request.adapter, load_request.version)
        with self._lock:
            sent_s = self._sent_s.get(version, float('-inf'))
            if now_s - sent_s < SEND_INTERVAL_S:
                return
            if len(self._sent_s) >= MAX_TRACKED_VERSIONS:
                self._sent_s.clear()
            self._sent_s[version] = now_s
            message = load_request._replace(
                waiting=self._waiting[version],
                waited_s=max(0, now_s - self._since_s.get(version, now_s)),
            )
        self._send(message)

    def _finish(self, version: _Version) -> None:
        with self._lock:
            self._waiting[version] -= 1
            if not self._waiting[version]:
                self._waiting.pop(version)
                self._sent_s.pop(version, None)
                self._since_s.pop(version, None)
