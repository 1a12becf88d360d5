"""Options of the stand-in engine."""

from collections.abc import Callable
from typing import Any, NamedTuple

import click


class EngineOptions(NamedTuple):
    """What the command line gives.

    :param slots: adapters that fit.
    :param batch: requests that run at once.
    :param queue: requests that may wait; more are refused.
    :param token_ms: time between two tokens of a request.
    :param first_token_ms: time from start to the first token.
    :param cached_first_token_ms: the same with a cached prompt prefix.
    :param default_tokens: length of an answer when the request gives none.
    :param fencing: whether orders with an old term are refused.
    :param refuse_busy_evict: whether a load in use is kept.
    :param weights: base URL of the weight store, empty for none.
    :param report_lag_ms: how old a load report gets.
    :param cache_prefixes: prompt prefixes that fit into the cache.
    :param cache_lag_ms: age at which cache events become visible.
    :param cache_loss: share of the cache events that are never visible.
    :param crash_marker: bodies that contain it end the process.
    :param seed: of the random choices.
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
    """Decorate a command with one option for each field."""
    for name, default in reversed(EngineOptions._field_defaults.items()):
        flag = f'--{name.replace("_", "-")}'
        if isinstance(default, bool):
            flag = f'{flag}/--no-{flag[2:]}'
        command = click.option(flag, default=default, show_default=True)(
            command,
        )
    return command
