"""`make bench`: a closing peak with the policy and with each baseline.

Each of these contenders runs on a deployment of its own, with the same seeded
arrivals and faults. The figures of each are printed as a JSON line.
"""

import asyncio
import itertools
import json
import pathlib
import tempfile
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import click
import urllib3

from emulator.arrivals import Arrival, Arrivals, Popularity
from emulator.bench_deployment import POLICY, BenchDeployment
from emulator.bench_faults import (
    adapter_name,
    failed_loads,
    inject_faults,
    planned_faults,
)
from emulator.bench_figures import EngineLogs, Histogram, ends_of, figures_of
from emulator.clairvoyant import stall_bound_s
from emulator.cold_start import cold_start
from emulator.deployment import TENANT_TOKEN
from emulator.fleet import ProgramFailed, Runner
from emulator.load import Load, LoadCall
from emulator.load_simulation import unbounded_slots_stall_s
from emulator.processes import MachineLoad
from emulator.rolling import CHAT_PATH, bundle_text, put_in_force
from emulator.shape import Shape
from emulator.stream_client import StreamCall

CONTENDERS = (POLICY, 'random', 'least_outstanding', 'rendezvous')
MAX_IN_FLIGHT = 2000
STALL = 'wasabicross_load_stall_seconds'

#: The second tenant, which makes one call in `SMALL_TENANT_PERIOD`.
SMALL_TENANT = 'surveyors'
SMALL_TOKEN = 'tenant-token-2'  # noqa: S105
SMALL_TENANT_PERIOD = 11


class Firm(NamedTuple):
    """One of the two firms whose deployments are measured.

    :param data_centres: names of its data centres.
    :param engines: number of engines in all data centres together.
    :param instances: number of instances in each data centre.
    :param weights: weights of the routing policy in its bundle.
    :param batch: number of requests that an engine runs at a time.
    :param tokens: mean number of tokens of an answer.
    """

    data_centres: tuple[str, ...]
    engines: int
    instances: int
    weights: dict[str, float]
    batch: int
    tokens: int


FIRMS = {
    'stalls': Firm(
        ('bilbao-hall', 'santander-hall', 'gijon-hall'),
        6,
        2,
        {'stall_weight': 4, 'batch_weight': 0.25},
        batch=16,
        tokens=60,
    ),
    'batches': Firm(
        ('hbt-a', 'hbt-b', 'ltn', 'bur'),
        6,
        2,
        {'stall_weight': 1, 'batch_weight': 4, 'load_s': 1},
        batch=8,
        tokens=180,
    ),
}


class BenchOptions(NamedTuple):
    """Options of the command line.

    :param firm: `stalls`, whose policy gives load stalls more weight,
        `batches`, which gives full batches more, or `both` after each other.
    :param adapters: number of adapters in the bundle.
    :param slots: number of adapter slots of an engine.
    :param batch: number of requests that an engine runs at a time, 0 for that
        of the firm.
    :param exponent: exponent of the Zipf distribution of the adapters'
        popularity.
    :param rate: calls a second.
    :param tokens: mean number of tokens of an answer, 0 for that of the firm.
    :param duration_s: length of the peak, in seconds.
    :param shift_at_s: time at which the popularity shifts, in seconds.
    :param shift_by: number of ranks by which adapters move then.
    :param seed: seed of the arrivals.
    :param faults: kind of faults as in `bench_faults.planned_faults`.
    :param contenders: `policy` and baselines to measure, separated by commas.
    """

    firm: str = 'both'
    adapters: int = 3000
    slots: int = 8
    batch: int = 0
    exponent: float = 1.3
    rate: float = 6.0
    tokens: int = 0
    duration_s: float = 45.0
    shift_at_s: float = 22.0
    shift_by: int = 1500
    seed: int = 1
    faults: str = 'some'
    contenders: str = ','.join(CONTENDERS)


class PeakCalls:
    """Returns the call of each arrival; calls go to the entries in turn.

    :param urls: base URLs of the entries.
    """

    def __init__(self, urls: list[str]) -> None:
        self._urls = itertools.cycle(urls)
        self._numbers = itertools.count()

    def to_call(self, arrival: Arrival) -> StreamCall:
        """Return the next call."""
        number = next(self._numbers)
        return StreamCall(
            next(self._urls),
            CHAT_PATH,
            adapter_name(arrival.number),
            arrival.tokens,
            TENANT_TOKEN if number % SMALL_TENANT_PERIOD else SMALL_TOKEN,
            f'What is due at {arrival.at_s}?',
            request_id=f'call-{number}',
        )


def run_contender(contender: str, options: BenchOptions) -> dict[str, Any]:
    """Run the closing peak once and return its figures."""
    firm = FIRMS[options.firm]
    tenants = (('agents', TENANT_TOKEN), (SMALL_TENANT, SMALL_TOKEN))
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
        settings={
            'tenants': [
                {'name': name, 'token': token} for name, token in tenants
            ]
        },
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
            deployment.wait_for_entries()
            machine = MachineLoad()
            load_calls = asyncio.run(_make_calls(deployment, options))
            deployment.check_running()
            busy_cores = machine.busy_cores()
            figures = _figures(deployment, load_calls, options)
    return {'contender': contender, **figures, 'busy_cores': busy_cores}


def planned_arrivals(options: BenchOptions) -> list[Arrival]:
    """Return the arrivals, which are the same for all contenders."""
    popularity = Popularity(
        options.adapters,
        options.exponent,
        options.shift_at_s,
        options.shift_by,
    )
    arrivals = Arrivals(options.rate, options.tokens, popularity, options.seed)
    return list(arrivals.until(options.duration_s))


async def _make_calls(
    deployment: BenchDeployment, options: BenchOptions
) -> list[LoadCall]:
    calls = PeakCalls([endpoint.url for endpoint in deployment.entries])
    load = Load(calls.to_call, MAX_IN_FLIGHT)
    arrivals = planned_arrivals(options)
    faults = planned_faults(
        options.faults, options.duration_s, len(deployment.engines), arrivals
    )
    engine_urls = [endpoint.url for endpoint in deployment.engines]
    weights_url = deployment.weights.url
    load_calls, _ = await asyncio.gather(
        load.run(arrivals), inject_faults(faults, engine_urls, weights_url)
    )
    return load_calls


def _figures(
    deployment: BenchDeployment,
    load_calls: list[LoadCall],
    options: BenchOptions,
) -> dict[str, Any]:
    stall = Histogram(STALL)
    for entry in deployment.entries:
        resp = urllib3.request(
            'GET', f'http://127.0.0.1:{entry.metrics_port}/metrics'
        )
        stall.add(resp.data.decode())
    logs = [
        urllib3.request('GET', f'{engine.url}/debug/log').json()
        for engine in deployment.engines
    ]
    faults = planned_faults(options.faults, options.duration_s, len(logs))
    lost_slots = options.slots * len(faults)
    return {
        **figures_of(load_calls, EngineLogs(logs), options.batch),
        **(
            cold_start(load_calls, faults[0].at_s, lost_slots)
            if options.faults == 'half'
            else {}
        ),
        'ends_of_small_tenant': ends_of(
            [
                load_call
                for load_call in load_calls
                if load_call.call.token == SMALL_TOKEN
            ]
        ),
        'told_stall_s_total': round(stall.total, 1),
        'failed_loads': failed_loads(deployment.weights.url),
    }


def with_firm_defaults(firm: str, options: BenchOptions) -> BenchOptions:
    """Return the options with the firm's values where none are given."""
    return options._replace(
        firm=firm,
        batch=options.batch or FIRMS[firm].batch,
        tokens=options.tokens or FIRMS[firm].tokens,
    )


def run_all(options: BenchOptions) -> Iterator[dict[str, Any]]:
    """Yield the bounds of the stalls and the figures of each contender.

    :param options: options of one firm.
    """
    arrivals = planned_arrivals(options)
    engines = FIRMS[options.firm].engines
    clairvoyant_s = stall_bound_s(arrivals, engines * options.slots)
    yield {
        'options': options._asdict(),
        'calls': len(arrivals),
        'adapters_called': len({arrival.number for arrival in arrivals}),
        'stall_s_knowing_the_future': round(clairvoyant_s, 1),
        'stall_s_slots_for_all': round(unbounded_slots_stall_s(arrivals), 1),
    }
    for contender in options.contenders.split(','):
        try:
            yield run_contender(contender, options)
        except ProgramFailed as exc:
            # Another process of the machine may have taken a port meanwhile.
            yield {'contender': contender, 'failed': str(exc)}
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
    options = BenchOptions(**named)
    firms = tuple(FIRMS) if options.firm == 'both' else (options.firm,)
    for firm in firms:
        for figures in run_all(with_firm_defaults(firm, options)):
            click.echo(json.dumps(figures))


if __name__ == '__main__':
    main()
