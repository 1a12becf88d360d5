"""`make bench-path`: what the path through an entry adds to an engine's.

Calls through the entries and calls to the engines themselves take turns in one
run. Each figure is a JSON line with the direct one beside it. The busy cores
of each turn tell how much the machine did besides.
"""

import asyncio
import contextlib
import json
import pathlib
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import click

from emulator.arrivals import Arrival, Arrivals, Popularity
from emulator.deployment import Deployment
from emulator.fleet import Runner
from emulator.load import Load, LoadCall, percentile
from emulator.path_figures import MS_PER_S, Window, compare, figure
from emulator.path_targets import Target, Targets, adapter_name
from emulator.processes import MachineLoad, Usage, usage_of
from emulator.rolling import bundle_text, put_in_force
from emulator.shape import Shape
from emulator.stream_client import CallRecord, StreamClient

DATA_CENTRE = 'hall'
IDLE_TOKENS = 2
MAX_IN_FLIGHT = 600

#: Bars of what the path may add or must carry.
IDLE_ADDED_MS_P50 = 3
IDLE_ADDED_MS_P95 = 10


class PathOptions(NamedTuple):
    """What the command line gives.

    :param entries: entry processes of the one instance.
    :param adapters: adapters in use, all loaded before the measurement.
    :param idle_calls: calls of each kind on the idle path.
    :param rate: calls a second under load.
    :param tokens: mean tokens of an answer under load.
    :param duration_s: length of each turn under load.
    :param ramp_s: time until as many calls end as begin; what comes before
        it isn't counted under load.
    :param turns: turns of each kind under load.
    """

    entries: int = 4
    engines: int = 4
    batch: int = 256
    adapters: int = 8
    idle_calls: int = 300
    rate: float = 26.0
    tokens: int = 212
    duration_s: float = 30.0
    ramp_s: float = 12.0
    turns: int = 2
    seed: int = 1


class Bench:
    """The measurement of one deployment.

    :param deployment: already started, its bundle in force.
    :param options: what is measured.
    """

    def __init__(self, deployment: Deployment, options: PathOptions) -> None:
        self._deployment = deployment
        self._options = options
        self._targets = Targets(deployment)
        self._window = Window(options.ramp_s, options.duration_s, options.turns)

    def run(self) -> Iterator[dict[str, Any]]:
        """Yield the figures."""
        self._targets.warm(self._options.adapters)
        targets = (self._targets.direct(), self._targets.entry())
        yield from self._idle(targets)
        yield from self._loaded(targets)

    def _idle(self, targets: tuple[Target, ...]) -> Iterator[dict[str, Any]]:
        records = asyncio.run(self._take_turns(targets))
        direct, entry = (
            [record.first_token_s * MS_PER_S for record in records[target.kind]]
            for target in targets
        )
        allowed = ((0.5, IDLE_ADDED_MS_P50), (0.95, IDLE_ADDED_MS_P95))
        for share, added_ms in allowed:
            yield figure(
                f'idle_first_token_ms_p{round(share * 100)}',
                percentile(entry, share),
                percentile(direct, share),
                added_bar=added_ms,
                calls=len(entry),
            )

    async def _take_turns(
        self,
        targets: tuple[Target, ...],
    ) -> dict[str, list[CallRecord]]:
        clients = {target.kind: StreamClient() for target in targets}
        records: dict[str, list[CallRecord]] = {
            target.kind: [] for target in targets
        }
        for number in range(self._options.idle_calls):
            arrival = Arrival(0, number % self._options.adapters, IDLE_TOKENS)
            for target in targets:
                client = clients[target.kind]
                record = await client.call(target.calls(arrival))  # noqa: WPS476
                records[target.kind].append(_whole(record))
        for client in clients.values():
            client.close()
        return records

    def _loaded(self, targets: tuple[Target, ...]) -> Iterator[dict[str, Any]]:
        shots: dict[str, list[LoadCall]] = {
            target.kind: [] for target in targets
        }
        used = Counter[str]()
        took_s: float = 0
        for turn in range(self._options.turns):
            told: dict[str, Any] = {'figure': 'turn', 'number': turn}
            for target in targets:
                before = self._usage()
                load = MachineLoad()
                taken = self._load(target, turn)
                shots[target.kind].extend(taken)
                told[f'{target.kind}_gap_ms_p95'] = self._window.gap_ms(
                    taken, 0.95
                )
                told[f'{target.kind}_busy_cores'] = load.busy_cores()
                if target.kind == 'entry':
                    took_s += load.seconds()
                    used.update(_spent(before, self._usage()))
            yield told
        yield from compare(self._window, shots['entry'], shots['direct'])
        for name, usage in self._usage().items():
            yield {
                'figure': 'program',
                'name': name,
                'cpu_share': round(used[name] / took_s, 3),
                'resident_mb': round(usage.resident_bytes / 1e6, 1),
            }

    def _load(self, target: Target, turn: int) -> list[LoadCall]:
        options = self._options
        arrivals = Arrivals(
            options.rate,
            options.tokens,
            Popularity(options.adapters),
            options.seed + turn,
        )
        load = Load(target.calls, MAX_IN_FLIGHT)
        return asyncio.run(load.run(arrivals.until(options.duration_s)))

    def _usage(self) -> dict[str, Usage]:
        runner = self._deployment.runner
        return {name: usage_of(runner.pid(name)) for name in runner.running()}


def _whole(record: CallRecord) -> CallRecord:
    if record.status != 200 or not record.is_complete:
        raise RuntimeError(f'a call on the idle path failed: {record}')
    return record


def _spent(
    before: dict[str, Usage], after: dict[str, Usage]
) -> dict[str, float]:
    return {name: after[name].cpu_s - before[name].cpu_s for name in after}


def path_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command with one option for each field of the options."""
    for name, default in reversed(PathOptions._field_defaults.items()):
        flag = f'--{name.replace("_", "-")}'
        add = click.option(flag, default=default, show_default=True)
        command = add(command)
    return command


@click.command()
@path_options
@click.option('--folder', type=click.Path(path_type=pathlib.Path))
def main(folder: pathlib.Path | None, **named: Any) -> None:
    """Measure the path and print a JSON line for each figure."""
    options = PathOptions(**named)
    shape = Shape(
        data_centres=(DATA_CENTRE,),
        entries=options.entries,
        engines=options.engines,
        engine_args=(
            '--batch',
            str(options.batch),
            '--first-token-ms',
            '50',
            '--cached-first-token-ms',
            '50',
        ),
    )
    versions = {adapter_name(number): '1' for number in range(options.adapters)}
    with _root(folder) as root, Runner(root / 'logs') as runner:
        deployment = Deployment(shape, runner, root)
        deployment.start_platform()
        put_in_force(deployment, bundle_text(versions, {}))
        deployment.start_programs()
        click.echo(json.dumps({'options': options._asdict()}))
        for line in Bench(deployment, options).run():
            click.echo(json.dumps(line))


@contextlib.contextmanager
def _root(folder: pathlib.Path | None) -> Iterator[pathlib.Path]:
    """Return where settings and logs go; they stay in a folder that is given."""
    if folder is not None:
        yield folder
        return
    with tempfile.TemporaryDirectory(prefix='bench-path-') as passing:
        yield pathlib.Path(passing)


if __name__ == '__main__':
    main()
