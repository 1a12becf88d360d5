"""`make bench-path`: the time that the path through an entry adds.

Calls through the entries and calls directly to the engines alternate in one
run. Each figure is a JSON line that also has the figure of direct calls.
`busy_cores` of each turn shows the load of the machine.
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

#: Upper limits of the time that the path adds without load.
IDLE_ADDED_MS_P50 = 3
IDLE_ADDED_MS_P95 = 10


class PathOptions(NamedTuple):
    """Options of the command line.

    :param entries: number of entry processes of the one instance.
    :param engines: number of engines.
    :param batch: number of requests that an engine runs at a time.
    :param adapters: number of adapters, all loaded before the measurement.
    :param idle_calls: number of calls of each kind without load.
    :param rate: calls a second under load.
    :param tokens: mean number of tokens of an answer under load.
    :param duration_s: length of each turn under load, in seconds.
    :param ramp_s: seconds until as many calls end as begin; the figures under
        load leave this time out.
    :param turns: number of turns of each kind under load.
    :param seed: seed of the first turn's arrivals; incremented with each turn.
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

    :param deployment: a started deployment with a bundle in force.
    :param options: options of the measurement.
    """

    def __init__(self, deployment: Deployment, options: PathOptions) -> None:
        self._deployment = deployment
        self._options = options
        self._targets = Targets(deployment)
        self._window = Window(options.ramp_s, options.duration_s, options.turns)

    def run(self) -> Iterator[dict[str, Any]]:
        """Measure the path without and under load, and yield the figures."""
        self._targets.load_adapters(self._options.adapters)
        targets = (self._targets.direct(), self._targets.entry())
        yield from self._measure_idle(targets)
        yield from self._measure_loaded(targets)

    def _measure_idle(
        self, targets: tuple[Target, ...]
    ) -> Iterator[dict[str, Any]]:
        records = asyncio.run(self._call_alternately(targets))
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

    async def _call_alternately(
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
                records[target.kind].append(_checked(record))
        for client in clients.values():
            client.close()
        return records

    def _measure_loaded(
        self, targets: tuple[Target, ...]
    ) -> Iterator[dict[str, Any]]:
        load_calls: dict[str, list[LoadCall]] = {
            target.kind: [] for target in targets
        }
        cpu_s = Counter[str]()
        took_s: float = 0
        for turn in range(self._options.turns):
            turn_figures: dict[str, Any] = {'figure': 'turn', 'number': turn}
            for target in targets:
                before = self._usage()
                load = MachineLoad()
                turn_calls = self._run_load(target, turn)
                load_calls[target.kind].extend(turn_calls)
                turn_figures[f'{target.kind}_gap_ms_p95'] = self._window.gap_ms(
                    turn_calls, 0.95
                )
                turn_figures[f'{target.kind}_busy_cores'] = load.busy_cores()
                if target.kind == 'entry':
                    took_s += load.seconds()
                    cpu_s.update(_cpu_seconds(before, self._usage()))
            yield turn_figures
        yield from compare(
            self._window, load_calls['entry'], load_calls['direct']
        )
        for name, usage in self._usage().items():
            yield {
                'figure': 'program',
                'name': name,
                'cpu_share': round(cpu_s[name] / took_s, 3),
                'resident_mb': round(usage.resident_bytes / 1e6, 1),
            }

    def _run_load(self, target: Target, turn: int) -> list[LoadCall]:
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


def _checked(record: CallRecord) -> CallRecord:
    if record.status != 200 or not record.is_complete:
        raise RuntimeError(
            f'call without load got no complete answer: {record}'
        )
    return record


def _cpu_seconds(
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
    """Return the folder for settings and logs, a temporary one by default."""
    if folder is not None:
        yield folder
        return
    with tempfile.TemporaryDirectory(prefix='bench-path-') as temporary:
        yield pathlib.Path(temporary)


if __name__ == '__main__':
    main()
