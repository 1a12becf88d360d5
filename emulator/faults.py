"""Faults that end the connections of a stand-in."""

import enum
from collections import Counter
from typing import Any


class FaultPoint(enum.Enum):
    """The point of a request at which its connection is ended."""

    ON_CONNECT = 'on_connect'
    HALF_REQUEST = 'half_request'
    AFTER_REQUEST = 'after_request'
    AFTER_RUN = 'after_run'
    AFTER_HEADERS = 'after_headers'
    MID_BODY = 'mid_body'


#: Points reached after the request was read.
_POINTS_AFTER_REQUEST = (
    FaultPoint.AFTER_REQUEST,
    FaultPoint.AFTER_RUN,
    FaultPoint.AFTER_HEADERS,
    FaultPoint.MID_BODY,
)


class Faults:
    """The number of connections still to be ended at each point.

    A test sets them by ``POST /fault`` with
    ``{"kind": "die", "point": "mid_body", "count": 1, "path": "/orders"}``.
    Without a path, requests to all paths are affected. The path does not apply
    to ``on_connect``, as no request has been read then.
    """

    def __init__(self) -> None:
        self._remaining: Counter[FaultPoint] = Counter()
        self._paths: dict[FaultPoint, str] = {}

    def set_from(self, document: dict[str, Any]) -> None:
        """Set one point's count from the requested fault."""
        point = FaultPoint(document['point'])
        self._remaining[point] = int(document.get('count', 1))
        self._paths[point] = document.get('path', '')

    def consume(self, point: FaultPoint, path: str = '') -> bool:
        """Consume one fault at a point, if any remains for the path."""
        prefix = (
            '' if point is FaultPoint.ON_CONNECT else self._paths.get(point, '')
        )
        if self._remaining[point] <= 0 or not path.startswith(prefix):
            return False
        self._remaining[point] -= 1
        return True

    def consume_after_request(self, path: str) -> FaultPoint | None:
        """Consume one fault at a point after the request was read."""
        for point in _POINTS_AFTER_REQUEST:
            if self.consume(point, path):
                return point
        return None
