"""Formats the benchmark's JSON lines as tables: `bench_table < lines`."""

import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import click

#: Column titles by the keys of the figures, in order.
COLUMNS = {
    'contender': 'policy or baseline',
    'calls': 'calls',
    'answered': 'answered',
    'refused': 'refused at once',
    'stall_s_total': 'stall, s',
    'stall_s_p50': 'p50',
    'stall_s_p95': 'p95',
    'stall_s_p99': 'p99',
    'batch_fill': 'batch fill',
    'first_token_ms_p50': 'first token p50, ms',
    'first_token_ms_p95': 'p95',
    'dispatches_per_accepted': 'dispatches for each accepted',
    'loads': 'loads',
    'evictions': 'evictions',
}

_ANSWERED = '200 completed'


def table(lines: Iterable[str]) -> Iterator[str]:
    """Yield the lines of a page, with a table for each line of options.

    :param lines: JSON lines as printed by the benchmark.
    """
    for line in lines:
        figures = json.loads(line)
        if 'options' in figures:
            yield from _head(figures)
        elif 'failed' in figures:
            yield _row([f'{figures["contender"]}: failed, run again'])
        else:
            answered = figures['ends'].get(_ANSWERED, 0)
            known = {**figures, 'answered': answered}
            yield _row([_text(known.get(key)) for key in COLUMNS])


def _head(figures: dict[str, Any]) -> Iterator[str]:
    options = figures['options']
    settings = ', '.join(f'{key} {options[key]}' for key in options)
    yield ''
    yield f'Options: {settings}.'
    yield (
        f'Bounds of the stall: {figures["stall_s_knowing_the_future"]} s for '
        f'one that knows the future, {figures["stall_s_slots_for_all"]} s with '
        'slots for all and no such knowledge.'
    )
    yield ''
    yield _row(list(COLUMNS.values()))
    yield _row(['---' for _ in COLUMNS])


def _row(cells: list[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _text(value: Any) -> str:
    return '' if value is None else str(value)


@click.command()
def main() -> None:
    """Read JSON lines from standard input and print the page."""
    for line in table(sys.stdin):
        click.echo(line)


if __name__ == '__main__':
    main()
