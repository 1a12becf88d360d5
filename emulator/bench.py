"""`make bench`: a closing peak under the policy and under each baseline.

Each runs on a deployment of its own, with the same seeded arrivals. The
figures of each are one JSON line.
"""

import asyncio
import itertools
import json
import pathlib
import re
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import click
import urllib3

from emulator.arrivals import Arrival, Arrivals, Popularity
from emulator.clairvoyant import stall_bound_s
from emulator.deployment import TENANT_TOKEN, Deployment
from emulator.fleet import Program, ProgramFailed, Runner
from emulator.load import Load, Shot, percentile
from emulator.processes import MachineLoad
from emulator.rolling import CHAT_PATH, bundle_text, put_in_force
from emulator.shape import Shape
from emulator.stream_client import StreamCall

POLICY = 'policy'
CONTENDERS = (POLICY, 'random', 'least_outstanding', 'rendezvous')
MS_PER_S = 1000
MAX_IN_FLIGHT = 600
STALL = 'wasabicross_load_stall_seconds'

_SAMPLE = re.compile(r'^(\w+)(?:\{(.*)\})? (\S+)$')
_BOUND = re.compile(r'le="([^"]+)"')


class Firm(NamedTuple):
    """One of the two deployments.

    :param engines: ids of the engines, named by their data centres.
    :param weights: of the routing policy, as its bundle has them.
    """

    data_centres: tuple[str, ...]
    engines: int
    instances: int
    weights: dict[str, float]


FIRMS = {
    'stalls': Firm(
        ('bilbao-hall', 'santander-hall', 'gijon-hall'),
        6,
        2,
        {'stall_weight': 4, 'batch_weight': 0.25},
    ),
    'batches': Firm(
        ('hbt-a', 'hbt-b', 'ltn', 'bur'),
        6,
        2,
        {'stall_weight': 1, 'batch_weight': 4},
    ),
}


class BenchOptions(NamedTuple):
    """What the command line gives.

    :param firm: `stalls` weighs load stalls more, `batches` full batches.
    :param exponent: of the Zipf law of the adapters' popularity.
    :param rate: calls a second.
    :param tokens: mean length of an answer.
    :param shift_at_s: when the popularity shifts.
    :param shift_by: places by which the ranks move then.
    """

    firm: str = 'stalls'
    adapters: int = 3000
    slots: int = 8
    batch: int = 16
    exponent: float = 1.3
    rate: float = 6.0
    tokens: int = 60
    duration_s: float = 75.0
    shift_at_s: float = 37.0
    shift_by: int = 1500
    seed: int = 1


class BenchDeployment(Deployment):
    """A deployment whose entries go by the policy or by a baseline.

    :param contender: `policy` or the name of a baseline.
    :param engines: how many engines there are in all.
    """

    def __init__(
        self,
        shape: Shape,
        runner: Runner,
        folder: pathlib.Path,
        contender: str,
        engines: int,
    ) -> None:
        super().__init__(shape, runner, folder)
        self._contender = contender
        # The data centres are served in turn, so that the last have fewer.
        by_number = sorted(self.engines, key=lambda place: place.name[-1])
        self.engines = by_number[:engines]

    def instance_programs(self, instance_id: str) -> list[Program]:
        """Return the programs of an instance, its controller first."""
        programs = super().instance_programs(instance_id)
        if self._contender == POLICY:
            return programs
        return [self._replaced(program) for program in programs]

    def _replaced(self, program: Program) -> Program:
        if program.module != 'wasabicross.entry':
            return program
        return program._replace(
            module='emulator.baseline_entry',
            args=(self._contender, *program.args),
        )


class Histogram:
    """A histogram's samples, summed over processes."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.total: float = 0
        self._buckets = Counter[float]()

    def add(self, text: str) -> None:
        """Add the samples of a page of metrics."""
        for line in text.splitlines():
            sample = _SAMPLE.match(line)
            if sample is None:
                continue
            if sample[1] == f'{self._name}_sum':
                self.total += float(sample[3])
            elif sample[1] == f'{self._name}_bucket':
                bound = _BOUND.search(sample[2] or '')
                if bound:
                    self._buckets[float(bound[1])] += int(float(sample[3]))

    def percentile(self, share: float) -> float:
        """Return the bucket's bound below which a share of samples lies."""
        count = self._buckets[float('inf')]
        return next(
            (
                bound
                for bound in sorted(self._buckets)
                if self._buckets[bound] >= share * count
            ),
            float('nan'),
        )


def run_contender(contender: str, options: BenchOptions) -> dict[str, Any]:
    """Run the closing peak once and return its figures."""
    firm = FIRMS[options.firm]
    shape = Shape(
        data_centres=firm.data_centres,
        instances=firm.instances,
        engines=2,
        engine_args=(
            '--slots',
            str(options.slots),
            '--batch',
            str(options.batch),
        ),
    )
    versions = {adapter_name(number): '1' for number in range(options.adapters)}
    with tempfile.TemporaryDirectory(prefix='bench-') as folder:
        root = pathlib.Path(folder)
        with Runner(root / 'logs') as runner:
            deployment = BenchDeployment(
                shape,
                runner,
                root,
                contender,
                firm.engines,
            )
            deployment.start_platform()
            put_in_force(deployment, bundle_text(versions, firm.weights))
            deployment.start_programs()
            machine = MachineLoad()
            shots = _call(deployment, planned(options))
            figures = _figures(deployment, shots, options)
            busy_cores = machine.busy_cores()
    return {'contender': contender, **figures, 'busy_cores': busy_cores}


def planned(options: BenchOptions) -> list[Arrival]:
    """Return the arrivals, alike for all contenders."""
    popularity = Popularity(
        options.adapters,
        options.exponent,
        options.shift_at_s,
        options.shift_by,
    )
    arrivals = Arrivals(options.rate, options.tokens, popularity, options.seed)
    return list(arrivals.until(options.duration_s))


def adapter_name(number: int) -> str:
    """Name an adapter of the bench."""
    return f'adapter-{number}'


def _call(deployment: Deployment, arrivals: Iterable[Arrival]) -> list[Shot]:
    urls = itertools.cycle(place.url for place in deployment.entries)
    load = Load(
        lambda arrival: StreamCall(
            next(urls),
            CHAT_PATH,
            adapter_name(arrival.number),
            arrival.tokens,
            TENANT_TOKEN,
            f'What is due at {arrival.at_s}?',
        ),
        MAX_IN_FLIGHT,
    )
    return asyncio.run(load.run(arrivals))


def _figures(
    deployment: Deployment,
    shots: list[Shot],
    options: BenchOptions,
) -> dict[str, Any]:
    stall = Histogram(STALL)
    for entry in deployment.entries:
        page = urllib3.request(
            'GET', f'http://127.0.0.1:{entry.metrics_port}/metrics'
        )
        stall.add(page.data.decode())
    logs = [
        urllib3.request('GET', f'{engine.url}/debug/log').json()
        for engine in deployment.engines
    ]
    records = [shot.record for shot in shots if shot.record]
    answered = [record for record in records if record.is_complete]
    accepted = [record for record in answered if record.status == 200]
    first_ms = [record.first_token_s * MS_PER_S for record in accepted]
    events = Counter(
        event['event']
        for log in logs
        for event in log['log']
        if event['event'] == 'request' or event.get('outcome') == 'ok'
    )
    busy_s = sum(log['batch']['busy_s'] for log in logs)
    running_s = sum(log['batch']['running_s'] for log in logs)
    return {
        'calls': len(shots),
        'accepted': len(accepted),
        'refused': len(answered) - len(accepted),
        'cut': len(records) - len(answered),
        'stall_s_total': round(stall.total, 1),
        'stall_s_p50': stall.percentile(0.5),
        'stall_s_p95': stall.percentile(0.95),
        'stall_s_p99': stall.percentile(0.99),
        'batch_fill': round(running_s / max(busy_s, 1e-9) / options.batch, 3),
        'first_token_ms_p50': round(percentile(first_ms, 0.5), 1),
        'first_token_ms_p95': round(percentile(first_ms, 0.95), 1),
        'dispatches_per_accepted': round(
            events['request'] / max(1, len(accepted)), 3
        ),
        'loads': events['load'],
        'evictions': events['evict'],
    }


def run_all(options: BenchOptions) -> Iterator[dict[str, Any]]:
    """Yield the figures of each contender, and the bound of the stalls."""
    arrivals = planned(options)
    engines = FIRMS[options.firm].engines
    yield {
        'options': options._asdict(),
        'calls': len(arrivals),
        'stall_s_bound': round(
            stall_bound_s(arrivals, engines * options.slots), 1
        ),
    }
    for contender in CONTENDERS:
        try:
            yield run_contender(contender, options)
        except ProgramFailed:
            # Another process of the machine may take a port in between.
            yield run_contender(contender, options)


def named_options(kind: Any) -> Callable[[Any], Any]:
    """Decorate a command with one option for each field of a tuple.

    :param kind: a class of named tuples with defaults.
    """

    def decorate(command: Any) -> Any:  # noqa: WPS430
        for name, default in reversed(kind._field_defaults.items()):
            flag = f'--{name.replace("_", "-")}'
            command = click.option(flag, default=default, show_default=True)(
                command
            )
        return command

    return decorate


@click.command()
@named_options(BenchOptions)
def main(**named: Any) -> None:
    """Run the closing peak and print a JSON line for each contender."""
    for figures in run_all(BenchOptions(**named)):
        click.echo(json.dumps(figures))


if __name__ == '__main__':
    main()
