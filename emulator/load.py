"""Load tool that makes open-loop calls to entries and prints JSON lines."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import click

from emulator.arrivals import Arrival, Arrivals, Popularity
from emulator.stream_client import CallRecord, StreamCall, StreamClient

_MS_PER_S = 1000


class LoadOptions(NamedTuple):
    """Options of the command line.

    :param path: path of the calls.
    :param token: bearer token, empty for none.
    :param adapter_format: format string that makes an adapter's name from its
        number.
    :param adapters: number of adapters.
    :param exponent: exponent of the Zipf distribution of their popularity.
    :param rate: calls a second.
    :param tokens: mean number of tokens of an answer.
    :param duration_s: time during which calls are made, in seconds.
    :param shift_at_s: time at which the popularity shifts, in seconds.
    :param shift_by: number of ranks by which adapters move then.
    :param max_in_flight: maximum number of concurrent calls.
    :param seed: seed of the random choices.
    """

    path: str = '/v1/chat/completions'
    token: str = ''
    adapter_format: str = 'adapter-{}'
    adapters: int = 100
    exponent: float = 1.0
    rate: float = 5.0
    tokens: int = 32
    duration_s: float = 10.0
    shift_at_s: float = float('inf')
    shift_by: int = 50
    max_in_flight: int = 500
    seed: int = 1


class LoadCall(NamedTuple):
    """A planned call and its result.

    :param arrival: the planned arrival.
    :param call: the call.
    :param record: result of the call; `None` if it was not made because too
        many were in flight.
    """

    arrival: Arrival
    call: StreamCall
    record: CallRecord | None


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    :param values: values in any order; the result is NaN without any.
    :param share: share of the values, from 0 to 1.
    """
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Load:
    """An open-loop load: calls are made whether or not earlier ones have ended.

    :param to_call: returns the call of an arrival.
    :param max_in_flight: maximum number of concurrent calls; further calls are
        not made.
    """

    def __init__(
        self,
        to_call: Callable[[Arrival], StreamCall],
        max_in_flight: int,
    ) -> None:
        self._to_call = to_call
        self._max_in_flight = max_in_flight
        self._client = StreamClient()
        self._load_calls: list[LoadCall] = []
        self._running: set[asyncio.Task[None]] = set()

    async def run(self, arrivals: Iterable[Arrival]) -> list[LoadCall]:
        """Make all calls and return them in order of arrival."""
        started_s = time.monotonic()
        for arrival in arrivals:
            wait_s = started_s + arrival.at_s - time.monotonic()
            await asyncio.sleep(wait_s)  # noqa: WPS476
            self._start(arrival)
        await asyncio.gather(*self._running)
        self._client.close()
        return sorted(
            self._load_calls, key=lambda load_call: load_call.arrival.at_s
        )

    def _start(self, arrival: Arrival) -> None:
        call = self._to_call(arrival)
        if len(self._running) >= self._max_in_flight:
            self._load_calls.append(LoadCall(arrival, call, None))
            return
        task = asyncio.create_task(self._make_call(arrival, call))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _make_call(self, arrival: Arrival, call: StreamCall) -> None:
        record = await self._client.call(call)
        self._load_calls.append(LoadCall(arrival, call, record))


def describe(load_call: LoadCall) -> dict[str, Any]:
    """Return the JSON line of a call."""
    fields: dict[str, Any] = {
        'at_s': round(load_call.arrival.at_s, 3),
        'url': load_call.call.url,
        'model': load_call.call.model,
        'tokens': load_call.call.tokens,
    }
    if load_call.record is None:
        return {**fields, 'status': 'not made'}
    record = load_call.record
    return {
        **fields,
        'status': record.status,
        'outcome': record.outcome,
        'complete': record.is_complete,
        'failure': record.failure,
        'reused': record.is_reused,
        'idle_s': round(record.idle_s, 3),
        'version': record.version,
        'produced_by': record.produced_by,
        'retry_after_s': record.retry_after_s,
        'first_token_ms': _ms(record.first_token_s),
        'gap_ms_p50': _ms(percentile(record.gaps_s, 0.5)),
        'gap_ms_p95': _ms(percentile(record.gaps_s, 0.95)),
        'gap_ms_max': _ms(max(record.gaps_s, default=0)),
        'took_ms': _ms(record.took_s),
    }


def _ms(seconds: float) -> float | None:
    return None if seconds != seconds else round(seconds * _MS_PER_S, 1)


def load_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command with one option for each field of the options."""
    for name, default in reversed(LoadOptions._field_defaults.items()):
        flag = f'--{name.replace("_", "-")}'
        add = click.option(flag, default=default, show_default=True)
        command = add(command)
    return command


@click.command()
@click.option('--url', 'urls', multiple=True, required=True)
@load_options
def main(urls: tuple[str, ...], **named: Any) -> None:
    """Call entries in turn and print a JSON line for each call."""
    options = LoadOptions(**named)
    popularity = Popularity(
        options.adapters,
        options.exponent,
        options.shift_at_s,
        options.shift_by,
    )
    arrivals = Arrivals(
        options.rate,
        options.tokens,
        popularity,
        options.seed,
    )
    url_cycle = itertools.cycle(urls)
    load = Load(
        lambda arrival: StreamCall(
            next(url_cycle),
            options.path,
            options.adapter_format.format(arrival.number),
            arrival.tokens,
            options.token,
        ),
        options.max_in_flight,
    )
    for load_call in asyncio.run(load.run(arrivals.until(options.duration_s))):
        click.echo(json.dumps(describe(load_call)))


if __name__ == '__main__':
    main()
