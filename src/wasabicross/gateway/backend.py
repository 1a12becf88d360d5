"""Backend servers as the platform lists them and as their owners report."""

from __future__ import annotations

from typing import NamedTuple


class AdapterKey(NamedTuple):
    """One adapter of a base model.

    :param model: the base model.
    :param adapter: name of the adapter.
    """

    model: str
    adapter: str


class BackendServer(NamedTuple):
    """One start of a backend server, as listed.

    :param server_id: unique id; a restart may keep it.
    :param slots: requests that it runs at once.
    :param is_leaving: whether it takes no new requests.
    :param held: adapters that it said it holds, with their versions.
    :param models: base models that it said it holds.
    :param start_ms: Unix milliseconds of its start, 0 if it didn't say.
    """

    server_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    held: dict[AdapterKey, int]
    models: frozenset[str]
    start_ms: int


class EngineReport(NamedTuple):
    """What an engine says of itself.

    :param order_count: orders that it has accepted since its start.
    :param is_busy: whether it carries out an order on a base model.
    :param queued: requests that wait there.
    :param running: requests in its batch.
    :param held: adapters that it holds, with their versions.
    :param pending: adapters on their way to it.
    :param models: base models that it holds.
    :param start_ms: Unix milliseconds of its start, 0 if it didn't say.
    """

    order_count: int
    is_busy: bool
    queued: int
    running: int
    held: dict[AdapterKey, int]
    pending: frozenset[AdapterKey]
    models: frozenset[str]
    start_ms: int
