"""Soak runs by seed.

``python -m emulator.soak --seeds 1..50 --jobs 3`` plays fifty schedules, three
at a time; ``--schedule FILE`` plays one again, and ``--shorten`` looks for the
few faults of the first failed one that still fail.
"""

from __future__ import annotations

import pathlib
import shutil
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import click

from emulator.soak.picture import draw
from emulator.soak.play import Size, Verdict, play, unused_folder
from emulator.soak.report import lines_of
from emulator.soak.schedule import (
    Fault,
    decode,
    encode,
    schedule_of,
    shortened,
)

_S_IN_MINUTE = 60


class Options(NamedTuple):
    """What was asked for.

    :param seeds: first and last seed, ``A..B``.
    :param minutes: time in which faults begin.
    :param jobs: runs at a time.
    :param folder: where failed runs keep their schedule and logs.
    :param schedule: schedule to play instead of those of the seeds.
    :param pictures: where each run's picture goes, None for none.
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

    @property
    def size(self) -> Size:
        """Size of each deployment."""
        return Size(self.gateways, self.engines, self.callers)

    def verdicts(self) -> Iterator[Verdict]:
        """Play all seeds and yield how each one ended."""
        first, _, last = self.seeds.partition('..')
        seeds = range(int(first), int(last or first) + 1)
        with ThreadPoolExecutor(self.jobs) as pool:
            yield from pool.map(self._play, seeds)

    def _play(self, seed: int) -> Verdict:
        faults = schedule_of(seed, self.minutes * _S_IN_MINUTE)
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
def main(**given: Any) -> None:  # noqa: WPS216
    """Play seeds and print those that broke a promise."""
    options = Options(**given)
    failed = []
    for verdict in options.verdicts():
        _tell(verdict)
        if options.pictures is not None:
            _draw(verdict, options.pictures)
        if verdict.broken:
            failed.append(verdict)
        else:
            shutil.rmtree(verdict.folder)
    click.echo(f'failed: {[each.seed for each in failed]}')
    if failed and options.shorten:
        _shorten(failed[0], options.size)
    sys.exit(1 if failed else 0)


def _tell(verdict: Verdict) -> None:
    click.echo(f'seed {verdict.seed}: {len(verdict.broken)} broken')
    for line in lines_of(verdict.evidence):
        click.echo(line)
    for broken in verdict.broken:
        click.echo(f'  BROKEN {broken}')
    if verdict.broken:
        click.echo(f'  kept in {verdict.folder}')


def _draw(verdict: Verdict, pictures: pathlib.Path) -> None:
    pictures.mkdir(parents=True, exist_ok=True)
    title = f'seed {verdict.seed}: {len(verdict.broken)} broken'
    path = pictures / f'seed-{verdict.seed}.svg'
    draw(verdict.evidence, title, path)
    click.echo(f'  drawn in {path}')


def _shorten(verdict: Verdict, size: Size) -> None:
    folder = verdict.folder
    faults = decode((folder / 'schedule.json').read_text())

    def fails(rest: tuple[Fault, ...]) -> bool:  # noqa: WPS430
        trial = unused_folder(folder / 'trial')
        return bool(play(verdict.seed, rest, size, trial).broken)

    few = shortened(faults, fails)
    path = folder / 'shortened.json'
    path.write_text(encode(few))
    click.echo(f'{len(few)} of {len(faults)} faults still fail: {path}')


if __name__ == '__main__':
    main()
