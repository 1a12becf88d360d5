"""Straight lines through measured figures."""

from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """A straight line.

    :param at_zero: its value at size 0.
    :param slope: what each unit of size adds.
    """

    at_zero: float
    slope: float

    def at(self, size: float) -> float:
        """Return its value at a size."""
        return self.at_zero + self.slope * size


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Line:
    """Return the line with the least squared errors.

    :param sizes: at least two that differ.
    :param figures: one for each size.
    :raises ValueError: all sizes are equal.
    """
    mean_size = sum(sizes) / len(sizes)
    mean_figure = sum(figures) / len(figures)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    if not spread:
        raise ValueError('a line needs two sizes')
    pairs = zip(sizes, figures, strict=True)
    joint = sum(
        (size - mean_size) * (figure - mean_figure) for size, figure in pairs
    )
    slope = joint / spread
    return Line(mean_figure - slope * mean_size, slope)
