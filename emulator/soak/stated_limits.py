"""The limits of load that a stand-in for a backend server states."""

from __future__ import annotations

from collections import deque
from typing import Any

from emulator.soak.server_log import log
from emulator.stream_server import HttpRequest

#: How long a brittle server that has failed takes nothing.
_DOWN_S = 2.0
_WINDOW_S = 1.0


class StatedLimits:
    """What a server states, and whether it has failed."""

    def __init__(self) -> None:
        self._requests_per_s: float = 0
        self._limited_until_s: float = 0
        self._refusals_per_s: float = 0
        self._brittle_until_s: float = 0
        self._refused_s: deque[float] = deque()
        self._down_until_s: float = 0

    def set_from(self, document: dict[str, Any], now_s: float) -> None:
        """State a limit for a while.

        :param document: a fault of kind `limit_requests` or `be_brittle`.
        :param now_s: the present time, monotonic seconds.
        """
        until_s = now_s + document['for_s']
        if document['kind'] == 'limit_requests':
            self._requests_per_s = document['per_s']
            self._limited_until_s = until_s
        else:
            self._refusals_per_s = document['per_s']
            self._brittle_until_s = until_s
            log('brittle', for_s=document['for_s'])

    def slots(self, slots: int, now_s: float) -> int:
        """Return the number of requests that run at the same time.

        :param slots: that number while the server isn't brittle.
        :param now_s: the present time, monotonic seconds.
        """
        return max(1, slots // 2) if self._is_brittle(now_s) else slots

    def is_down(self, now_s: float) -> bool:
        """Return whether the server has failed.

        :param now_s: the present time, monotonic seconds.
        """
        return now_s < self._down_until_s

    def on_refused(self, now_s: float) -> None:
        """Record a request that was turned away; fail if there are many.

        :param now_s: the present time, monotonic seconds.
        """
        if not self._is_brittle(now_s):
            return
        self._refused_s.append(now_s)
        while now_s - self._refused_s[0] > _WINDOW_S:
            self._refused_s.popleft()
        if len(self._refused_s) > self._refusals_per_s:
            self._refused_s.clear()
            self._down_until_s = now_s + _DOWN_S
            log('fell_over')

    def fields(
        self, req: HttpRequest, now_s: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the header fields that state the limits in an answer.

        :param req: the request that is answered.
        :param now_s: the present time, monotonic seconds.
        """
        fields: list[tuple[str, str]] = []
        if now_s < self._limited_until_s:
            log(
                'limit_stated',
                request=req.headers.get('request-id', ''),
                per_s=self._requests_per_s,
            )
            fields.append(('Server-Limit', str(self._requests_per_s)))
        if self._is_brittle(now_s):
            fields.append(('Server-Brittle', str(self._refusals_per_s)))
        return tuple(fields)

    def _is_brittle(self, now_s: float) -> bool:
        return now_s < self._brittle_until_s
