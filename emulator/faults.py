"""Faults that a stand-in is told to have."""

import enum
from collections import Counter
from typing import Any


class Point(enum.Enum):
    """Where the connection of a request dies."""

    ON_CONNECT = 'on_connect'
    HALF_REQUEST = 'half_request'
    AFTER_REQUEST = 'after_request'
    AFTER_RUN = 'after_run'
    AFTER_HEADERS = 'after_headers'
    MID_BODY = 'mid_body'


#: Points that are reached after the request was read.
_LATER_POINTS = (
    Point.AFTER_REQUEST,
    Point.AFTER_RUN,
    Point.AFTER_HEADERS,
    Point.MID_BODY,
)


class Faults:
    """How many more requests die at each point.

    A test sets them by ``POST /fault`` with
    ``{"kind": "die", "point": "mid_body", "count": 1, "path": "/orders"}``.
    Without a path each request counts. A connection dies on connecting
    whatever it was made for.
    """

    def __init__(self) -> None:
        self._left: Counter[Point] = Counter()
        self._paths: dict[Point, str] = {}

    def set_from(self, document: dict[str, Any]) -> None:
        """Set one point's count from the fault that was asked for."""
        point = Point(document['point'])
        self._left[point] = int(document.get('count', 1))
        self._paths[point] = document.get('path', '')

    def take(self, point: Point, path: str = '') -> bool:
        """Use up one death at a point, if any is left for the path."""
        wanted = '' if point is Point.ON_CONNECT else self._paths.get(point, '')
        if self._left[point] <= 0 or not path.startswith(wanted):
            return False
        self._left[point] -= 1
        return True

    def take_later(self, path: str) -> Point | None:
        """Use up one death at a point after the request was read."""
        for point in _LATER_POINTS:
            if self.take(point, path):
                return point
        return None
