"""Command for soak runs of one or more seeds.

``python -m emulator.soak --seeds 1..50 --jobs 3`` plays fifty schedules, three
at a time; ``--schedule FILE`` replays a kept schedule, and ``--shorten``
reduces the first failed schedule to fewer faults that still fail.
"""

from __future__ import annotations

import pathlib
import shutil
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import click

from emulator.soak.callers import Traffic
from emulator.soak.picture import draw
from emulator.soak.play import Size, Verdict, play, unused_folder
from emulator.soak.report import report_lines
from emulator.soak.routes import RESUMABLE_ROUTES, ROUTES
from emulator.soak.schedule import (
    Fault,
    decode,
    encode,
    schedule_of,
    shortened,
)

_SECONDS_PER_MINUTE = 60


class Options(NamedTuple):
    """Options of the command.

    :param seeds: first and last seed, ``A..B``, or a single seed.
    :param minutes: time in which faults begin, in minutes.
    :param jobs: number of runs at the same time.
    :param folder: folder in which schedules and logs of failed runs are kept.
    :param schedule: file of a schedule to play instead of those of the seeds.
    :param pictures: folder for a picture of each run, None for no pictures.
    :param direct: whether servers are reached without a proxy.
    :param whole_limits: share of the callers that state their whole time limit at
        each attempt.
    :param only_resumable: whether callers send requests for resumable streams
        alone, half of them for slow ones.
    """

    seeds: str
    minutes: float
    jobs: int
    gateways: int
    engines: int
    callers: int
    folder: pathlib.Path
    schedule: pathlib.Path | None
    shorten: bool
    pictures: pathlib.Path | None
    direct: bool
    whole_limits: float
    only_resumable: bool

    @property
    def size(self) -> Size:
        """Size of each deployment."""
        routes = RESUMABLE_ROUTES if self.only_resumable else ROUTES
        return Size(
            self.gateways,
            self.engines,
            self.callers,
            not self.direct,
            Traffic(routes, self.whole_limits),
        )

    def verdicts(self) -> Iterator[Verdict]:
        """Play all seeds and yield the result of each."""
        first, _, last = self.seeds.partition('..')
        seeds = range(int(first), int(last or first) + 1)
        with ThreadPoolExecutor(self.jobs) as pool:
            yield from pool.map(self._play, seeds)

    def _play(self, seed: int) -> Verdict:
        faults = schedule_of(seed, self.minutes * _SECONDS_PER_MINUTE)
        if self.schedule is not None:
            faults = decode(self.schedule.read_text())
        folder = unused_folder(self.folder / f'seed-{seed}')
        return play(seed, faults, self.size, folder)


_PATH = click.Path(path_type=pathlib.Path)


@click.command()
@click.option('--seeds', default='1..1', show_default=True)
@click.option('--minutes', default=0.5, show_default=True)
@click.option('--jobs', default=1, show_default=True)
@click.option('--gateways', default=4, show_default=True)
@click.option('--engines', default=3, show_default=True)
@click.option('--callers', default=12, show_default=True)
@click.option('--folder', default='target/soak', type=_PATH)
@click.option('--schedule', type=_PATH)
@click.option('--shorten', is_flag=True)
@click.option('--pictures', type=_PATH)
@click.option('--direct', is_flag=True)
@click.option('--whole-limits', default=0.5, show_default=True)
@click.option('--only-resumable', is_flag=True)
def main(**arguments: Any) -> None:  # noqa: WPS216
    """Play seeds and print which of them broke a promise."""
    options = Options(**arguments)
    failed = []
    for verdict in options.verdicts():
        _print_verdict(verdict)
        if options.pictures is not None:
            _draw(verdict, options.pictures)
        if verdict.broken:
            failed.append(verdict)
        else:
            shutil.rmtree(verdict.folder)
    click.echo(f'failed seeds: {[each.seed for each in failed]}')
    if failed and options.shorten:
        _shorten(failed[0], options.size)
    sys.exit(1 if failed else 0)


def _print_verdict(verdict: Verdict) -> None:
    click.echo(f'seed {verdict.seed}: {len(verdict.broken)} broken')
    for line in report_lines(verdict.evidence):
        click.echo(line)
    for broken in verdict.broken:
        click.echo(f'  BROKEN {broken}')
    if verdict.broken:
        click.echo(f'  schedule and logs kept in {verdict.folder}')


def _draw(verdict: Verdict, pictures: pathlib.Path) -> None:
    pictures.mkdir(parents=True, exist_ok=True)
    title = f'seed {verdict.seed}: {len(verdict.broken)} broken'
    path = pictures / f'seed-{verdict.seed}.svg'
    draw(verdict.evidence, title, path)
    click.echo(f'  picture written to {path}')


def _shorten(verdict: Verdict, size: Size) -> None:
    folder = verdict.folder
    faults = decode((folder / 'schedule.json').read_text())

    def fails(part: tuple[Fault, ...]) -> bool:  # noqa: WPS430
        trial = unused_folder(folder / 'trial')
        return bool(play(verdict.seed, part, size, trial).broken)

    kept = shortened(faults, fails)
    path = folder / 'shortened.json'
    path.write_text(encode(kept))
    click.echo(
        f'{len(kept)} of {len(faults)} faults still fail, kept in {path}'
    )


if __name__ == '__main__':
    main()
