"""Options of the stand-in engine."""

from collections.abc import Callable
from typing import Any, NamedTuple

import click


class EngineOptions(NamedTuple):
    """Options of the command line.

    :param base_model: id of the base model.
    :param slots: number of adapters that can be loaded at a time.
    :param batch: number of requests that run at a time.
    :param queue: number of requests that may wait; more are refused.
    :param token_ms: time between two tokens of a request, in milliseconds.
    :param first_token_ms: time from start to the first token, in milliseconds.
    :param cached_first_token_ms: the same with a cached prompt prefix.
    :param default_tokens: tokens of an answer when the request sets no limit.
    :param fencing: whether orders with an outdated fencing term are refused.
    :param refuse_busy_evict: whether evicting a load in use is refused.
    :param weights: base URL of the weight store, empty for none.
    :param report_lag_ms: age at which a load report is replaced, in
        milliseconds.
    :param cache_prefixes: capacity of the cache, in prompt prefixes.
    :param cache_lag_ms: age at which cache events become visible, in
        milliseconds.
    :param cache_loss: share of the cache events that are never visible.
    :param crash_marker: a request whose body contains it crashes the process;
        empty for none.
    :param seed: seed of the random choices.
    """

    base_model: str = 'base'
    slots: int = 8
    batch: int = 16
    queue: int = 256
    token_ms: float = 38
    first_token_ms: float = 200
    cached_first_token_ms: float = 200
    default_tokens: int = 32
    fencing: bool = True
    refuse_busy_evict: bool = False
    weights: str = ''
    report_lag_ms: float = 500
    cache_prefixes: int = 64
    cache_lag_ms: float = 1000
    cache_loss: float = 0.1
    crash_marker: str = ''
    seed: int = 1


def engine_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command with one option for each field of the options."""
    for name, default in reversed(EngineOptions._field_defaults.items()):
        flag = f'--{name.replace("_", "-")}'
        if isinstance(default, bool):
            flag = f'{flag}/--no-{flag[2:]}'
        command = click.option(flag, default=default, show_default=True)(
            command,
        )
    return command
