"""Draws the outcomes of requests and the faults over the time of a run."""

from __future__ import annotations

import pathlib
from collections import Counter, defaultdict

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence
from emulator.soak.injected import InjectedFault
from emulator.soak.report import outcome_of

_SIZE_INCHES = (14, 10)
_HEIGHT_RATIOS = (2, 3)
_MIN_WIDTH_S = 0.1
_COLOURS = {'whole': 'tab:green', 'cut': 'tab:orange', 'nothing': 'black'}

# A fixed salt makes the ids in the file the same for the same run.
mpl.rcParams['svg.hashsalt'] = 'soak'


def draw(evidence: Evidence, title: str, path: pathlib.Path) -> None:
    """Write a picture of a run as SVG.

    :param evidence: what callers and back ends recorded.
    :param title: title of the picture.
    :param path: file to write.
    :raises OSError: the file can't be written.
    """
    first_s = min((result.sent_s for result in evidence.results), default=0)
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    figure.suptitle(title)
    outcomes, faults = figure.subplots(
        2, 1, sharex=True, height_ratios=_HEIGHT_RATIOS
    )
    _draw_outcomes(outcomes, evidence.results, first_s)
    _draw_faults(faults, evidence.injected, first_s)
    figure.savefig(path, format='svg', metadata={'Date': None})


def outcomes_by_second(
    results: list[CallResult], first_s: float
) -> dict[str, list[int]]:
    """Return the number of requests that ended in each second, by outcome.

    :param results: requests of callers and their answers.
    :param first_s: when the first second starts, monotonic seconds.
    """
    counts: dict[str, Counter[int]] = defaultdict(Counter)
    for each in results:
        counts[outcome_of(each)][int(each.ended_s - first_s)] += 1
    seconds = 1 + max((max(count) for count in counts.values()), default=0)
    return {
        outcome: [count[second] for second in range(seconds)]
        for outcome, count in sorted(counts.items())
    }


def _draw_outcomes(
    axes: Axes, results: list[CallResult], first_s: float
) -> None:
    heights = outcomes_by_second(results, first_s)
    bottoms = [0 for _ in next(iter(heights.values()), [])]
    for outcome, counts in heights.items():
        axes.bar(
            range(len(counts)),
            counts,
            bottom=bottoms,
            width=1,
            align='edge',
            label=outcome,
            color=_COLOURS.get(outcome),
        )
        bottoms = [sum(pair) for pair in zip(bottoms, counts, strict=True)]
    axes.set_ylabel('requests ended per second')
    if heights:
        axes.legend(loc='upper right')


def _draw_faults(
    axes: Axes, injected: list[InjectedFault], first_s: float
) -> None:
    kinds = sorted({fault.kind for fault in injected})
    for fault in injected:
        row = kinds.index(fault.kind)
        width_s = max(fault.until_s - fault.from_s, _MIN_WIDTH_S)
        axes.barh(row, width_s, left=fault.from_s - first_s, alpha=0.5)
    axes.set_yticks(range(len(kinds)), kinds)
    axes.set_xlabel('seconds since the first request')
