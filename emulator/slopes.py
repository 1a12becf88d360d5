"""`make slopes`: the cost of control as its sizes grow.

Prints a JSON line for each part and size, and one for each straight line that
is fitted to a part's figures. `busy_cores` shows the load of the machine.
"""

import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import click

from emulator import slope_parts as parts
from emulator.slope_fit import fit


class Part(NamedTuple):
    """A part to measure.

    :param measure: called with a size and seconds; returns figures.
    :param sizes: the sizes in ascending order.
    """

    measure: Callable[[int, float], dict[str, Any]]
    sizes: tuple[int, ...]


PARTS = {
    'peers': Part(parts.measure_peers, (60, 120, 180)),
    'far_peers': Part(parts.measure_far_peers, (60, 120, 180)),
    'servers': Part(parts.measure_servers, (0, 5, 15)),
    'instances': Part(parts.measure_instances, (2, 4, 8, 16)),
    'list': Part(parts.measure_list, (100, 400, 1_040)),
    'claims': Part(parts.measure_claims, (10, 25, 50)),
    'streams': Part(parts.measure_streams, (2, 4, 8)),
    'adapters': Part(parts.measure_adapters, (1_000, 10_000, 43_000)),
}


def lines_of(name: str, rows: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yield the straight line fitted to each figure of a part.

    :param name: name of the part.
    :param rows: its figures, with the size of each measurement.
    """
    sizes = [row['size'] for row in rows]
    fields = [
        field
        for field, figure in rows[0].items()
        if isinstance(figure, (int, float)) and field != 'size'
    ]
    for field in fields:
        if len(set(sizes)) > 1 and all(field in row for row in rows):
            line = fit(sizes, [row[field] for row in rows])
            yield {
                'slope_of': f'{name}.{field}',
                'at_zero': round(line.at_zero, 4),
                'each': round(line.slope, 6),
            }


@click.command()
@click.option('--part', 'names', multiple=True, type=click.Choice(list(PARTS)))
@click.option('--size', 'sizes', multiple=True, type=int)
@click.option('--seconds', default=8.0, show_default=True)
def main(
    names: tuple[str, ...], sizes: tuple[int, ...], seconds: float
) -> None:
    """Measure the named parts, or all of them, and print JSON lines."""
    for name in names or tuple(PARTS):
        part = PARTS[name]
        rows = []
        for size in sizes or part.sizes:
            figures = part.measure(size, seconds)
            rows.append({'size': size, **figures})
            click.echo(json.dumps({'part': name, **rows[-1]}))
        for line in lines_of(name, rows):
            click.echo(json.dumps(line))


if __name__ == '__main__':
    main()
