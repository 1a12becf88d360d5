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
    ``{"kind": "die", "point": "mid_body", "count": 1}``.
    """

    def __init__(self) -> None:
        self._left: Counter[Point] = Counter()

    def set_from(self, document: dict[str, Any]) -> None:
        """Set one point's count from the fault that was asked for."""
        point = Point(document['point'])
        self._left[point] = int(document.get('count', 1))

    def take(self, point: Point) -> bool:
        """Use up one death at a point, if any is left."""
        if self._left[point] <= 0:
            return False
        self._left[point] -= 1
        return True

    def take_later(self) -> Point | None:
        """Use up one death at a point after the request was read."""
        for point in _LATER_POINTS:
            if self.take(point):
                return point
        return None
