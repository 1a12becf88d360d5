"""`make bench-path`: what the path through an entry adds to an engine's.

Calls through the entries and calls to the engines themselves take turns in one
run. Each figure is a JSON line with the direct one beside it. The busy cores
of each turn tell how much the machine did besides.
"""

import asyncio
import itertools
import json
import pathlib
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

import click
import urllib3

from emulator.arrivals import Arrival, Arrivals, Popularity
from emulator.deployment import TENANT_TOKEN, Deployment
from emulator.fleet import Runner
from emulator.load import Load, Shot, describe, percentile
from emulator.processes import MachineLoad, Usage, usage_of
from emulator.rolling import CHAT_PATH, bundle_text, put_in_force
from emulator.shape import Shape
from emulator.stream_client import CallRecord, StreamCall, StreamClient
from emulator.waiting import wait_until

DATA_CENTRE = 'hall'
WARM_TIMEOUT_S = 60
IDLE_TOKENS = 2
MS_PER_S = 1000
MAX_IN_FLIGHT = 600

#: Bars of what the path may add or must carry.
IDLE_ADDED_MS_P50 = 3
IDLE_ADDED_MS_P95 = 10
GAP_MS_P95 = 45


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


class Target(NamedTuple):
    """Where calls go, by kind.

    :param kind: `direct` or `entry`.
    :param calls: makes the call of an arrival.
    """

    kind: str
    calls: Callable[[Arrival], StreamCall]


class Bench:
    """The measurement of one deployment.

    :param deployment: already started, its bundle in force.
    :param options: what is measured.
    """

    def __init__(self, deployment: Deployment, options: PathOptions) -> None:
        self._deployment = deployment
        self._options = options

    def run(self) -> Iterator[dict[str, Any]]:
        """Yield the figures."""
        self._warm()
        targets = (self._direct(), self._entry())
        yield from self._idle(targets)
        yield from self._loaded(targets)

    def _warm(self) -> None:
        """Call each adapter until it is loaded."""
        call = self._entry().calls
        for number in range(self._options.adapters):
            wait_until(
                partial(_answers, call, Arrival(0, number, 1)),
                WARM_TIMEOUT_S,
                f'adapter {number}',
            )

    def _entry(self) -> Target:
        urls = itertools.cycle(place.url for place in self._deployment.entries)
        return Target(
            'entry',
            lambda arrival: StreamCall(
                next(urls),
                CHAT_PATH,
                adapter_name(arrival.number),
                arrival.tokens,
                TENANT_TOKEN,
            ),
        )

    def _direct(self) -> Target:
        turns = itertools.cycle(self._loads())
        return Target(
            'direct',
            lambda arrival: next(turns)._replace(tokens=arrival.tokens),
        )

    def _loads(self) -> list[StreamCall]:
        """Return calls to one load of each engine, so that all are used."""
        loads: list[StreamCall] = []
        for engine in self._deployment.engines:
            models = urllib3.request('GET', f'{engine.url}/v1/models').json()
            names = [each['id'] for each in models['data'] if each['parent']]
            loads.extend(
                StreamCall(engine.url, CHAT_PATH, name, 1) for name in names[:1]
            )
        return loads

    def _idle(self, targets: tuple[Target, ...]) -> Iterator[dict[str, Any]]:
        records = asyncio.run(self._take_turns(targets))
        direct, entry = (
            [record.first_token_s * MS_PER_S for record in records[target.kind]]
            for target in targets
        )
        allowed = ((0.5, IDLE_ADDED_MS_P50), (0.95, IDLE_ADDED_MS_P95))
        for share, added_ms in allowed:
            yield _figure(
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
        shots: dict[str, list[Shot]] = {target.kind: [] for target in targets}
        used = Counter[str]()
        took_s: float = 0
        for turn in range(self._options.turns):
            told: dict[str, Any] = {'figure': 'turn', 'number': turn}
            for target in targets:
                before = self._usage()
                load = MachineLoad()
                taken = self._load(target, turn)
                shots[target.kind].extend(taken)
                told[f'{target.kind}_gap_ms_p95'] = self._gap_ms(taken, 0.95)
                told[f'{target.kind}_busy_cores'] = load.busy_cores()
                if target.kind == 'entry':
                    took_s += load.seconds()
                    used.update(_spent(before, self._usage()))
            yield told
        yield from self._compare(shots['entry'], shots['direct'])
        for name, usage in self._usage().items():
            yield {
                'figure': 'program',
                'name': name,
                'cpu_share': round(used[name] / took_s, 3),
                'resident_mb': round(usage.resident_bytes / 1e6, 1),
            }

    def _load(self, target: Target, turn: int) -> list[Shot]:
        options = self._options
        arrivals = Arrivals(
            options.rate,
            options.tokens,
            Popularity(options.adapters),
            options.seed + turn,
        )
        load = Load(target.calls, MAX_IN_FLIGHT)
        return asyncio.run(load.run(arrivals.until(options.duration_s)))

    def _compare(
        self,
        entry: list[Shot],
        direct: list[Shot],
    ) -> Iterator[dict[str, Any]]:
        for share in (0.5, 0.95, 0.99):
            name = f'p{round(share * 100)}'
            yield _figure(
                f'gap_ms_{name}',
                self._gap_ms(entry, share),
                self._gap_ms(direct, share),
                p95_bar=GAP_MS_P95,
            )
            yield _figure(
                f'loaded_first_token_ms_{name}',
                percentile(self._first_tokens(entry), share) * MS_PER_S,
                percentile(self._first_tokens(direct), share) * MS_PER_S,
            )
        yield _figure(
            'requests_per_s',
            len(self._steady(entry)) / self._steady_s,
            len(self._steady(direct)) / self._steady_s,
        )
        yield _figure(
            'tokens_per_s',
            len(self._gaps(entry)) / self._steady_s,
            len(self._gaps(direct)) / self._steady_s,
        )
        for kind, shots in (('entry', entry), ('direct', direct)):
            failed = [describe(shot) for shot in shots if not _is_whole(shot)]
            yield {
                'figure': 'not_whole',
                'kind': kind,
                'calls': len(shots),
                'failed': len(failed),
                'first_failed': failed[:3],
            }

    @property
    def _steady_s(self) -> float:
        """Seconds that count, in all turns together."""
        options = self._options
        return (options.duration_s - options.ramp_s) * options.turns

    def _steady(self, shots: list[Shot]) -> list[CallRecord]:
        """Return the answers to the calls that were made after the ramp."""
        ramp_s = self._options.ramp_s
        return _records([shot for shot in shots if shot.arrival.at_s >= ramp_s])

    def _first_tokens(self, shots: list[Shot]) -> list[float]:
        return [record.first_token_s for record in self._steady(shots)]

    def _gaps(self, shots: list[Shot]) -> list[float]:
        """Return the gaps before each token that came while it was steady."""
        options = self._options
        gaps = []
        for shot in shots:
            if shot.record is None:
                continue
            at_s = shot.arrival.at_s + shot.record.first_token_s
            for gap in shot.record.gaps_s:
                at_s += gap
                if options.ramp_s <= at_s < options.duration_s:
                    gaps.append(gap)
        return gaps

    def _gap_ms(self, shots: list[Shot], share: float) -> float:
        return round(percentile(self._gaps(shots), share) * MS_PER_S, 1)

    def _usage(self) -> dict[str, Usage]:
        runner = self._deployment.runner
        return {name: usage_of(runner.pid(name)) for name in runner.running()}


def adapter_name(number: int) -> str:
    """Name an adapter of the bench."""
    return f'adapter-{number}'


def _whole(record: CallRecord) -> CallRecord:
    if record.status != 200 or not record.is_complete:
        raise RuntimeError(f'a call on the idle path failed: {record}')
    return record


def _answers(calls: Callable[[Arrival], StreamCall], arrival: Arrival) -> bool:
    load = Load(calls, 1)
    return _is_whole(asyncio.run(load.run([arrival]))[0])


def _records(shots: list[Shot]) -> list[CallRecord]:
    return [
        shot.record
        for shot in shots
        if shot.record and shot.record.status == 200
    ]


def _spent(
    before: dict[str, Usage], after: dict[str, Usage]
) -> dict[str, float]:
    return {name: after[name].cpu_s - before[name].cpu_s for name in after}


def _is_whole(shot: Shot) -> bool:
    record = shot.record
    return bool(record and record.status == 200 and record.is_complete)


def _figure(
    name: str, measured: float, direct: float, **more: float
) -> dict[str, Any]:
    return {
        'figure': name,
        'entry': round(measured, 2),
        'direct': round(direct, 2),
        'added': round(measured - direct, 2),
        **more,
    }


def path_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command with one option for each field of the options."""
    for name, default in reversed(PathOptions._field_defaults.items()):
        flag = f'--{name.replace("_", "-")}'
        add = click.option(flag, default=default, show_default=True)
        command = add(command)
    return command


@click.command()
@path_options
def main(**named: Any) -> None:
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
    with tempfile.TemporaryDirectory(prefix='bench-path-') as folder:
        root = pathlib.Path(folder)
        with Runner(root / 'logs') as runner:
            deployment = Deployment(shape, runner, root)
            deployment.start_platform()
            put_in_force(deployment, bundle_text(versions, {}))
            deployment.start_programs()
            click.echo(json.dumps({'options': options._asdict()}))
            for figure in Bench(deployment, options).run():
                click.echo(json.dumps(figure))


if __name__ == '__main__':
    main()
