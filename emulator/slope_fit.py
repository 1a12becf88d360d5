"""Linear regression of measured figures."""

from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """A straight line.

    :param at_zero: its value at size 0.
    :param slope: its increase for each unit of size.
    """

    at_zero: float
    slope: float

    def at(self, size: float) -> float:
        """Return its value at a size."""
        return self.at_zero + self.slope * size


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Line:
    """Return the line with the least squared errors.

    :param sizes: sizes, at least two of which differ.
    :param figures: a figure for each size.
    :raises ValueError: all sizes are equal.
    """
    mean_size = sum(sizes) / len(sizes)
    mean_figure = sum(figures) / len(figures)
    size_squares = sum((size - mean_size) ** 2 for size in sizes)
    if not size_squares:
        raise ValueError('a line needs two sizes')
    pairs = zip(sizes, figures, strict=True)
    products = sum(
        (size - mean_size) * (figure - mean_figure) for size, figure in pairs
    )
    slope = products / size_squares
    return Line(mean_figure - slope * mean_size, slope)
