"""Orders to engines: what is asked, what is answered, and by which seam."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from wasabicross.gateway.backend import (
    AdapterKey,
    BackendServer,
    EngineReport,
)


class OrderKind(enum.Enum):
    """What an engine is ordered to do with an adapter."""

    load = 'load'
    unload = 'unload'


class Order(NamedTuple):
    """An order to one engine.

    :param key: what it is about; a base model where it names no adapter.
    :param expected_orders: the order holds only if the engine has accepted
        that many before.
    :param holder: name of the machine that orders.
    :param term: number that rises with each change of the holder.
    """

    kind: OrderKind
    key: AdapterKey
    expected_orders: int
    holder: str
    term: int


class OrderAnswer(enum.Enum):
    """What an engine makes of an order.

    `accepted`: it is being carried out. `already`: it holds. `conflict`: other
    orders came before. `refused`: it can't be carried out.
    """

    accepted = 'accepted'
    already = 'already'
    conflict = 'conflict'
    refused = 'refused'


class LoadRequest(NamedTuple):
    """What a request waits for: an adapter on an engine.

    :param server_id: the engine.
    :param version: oldest version that will do.
    :param priority: rank of the request, 0 is the most urgent.
    :param max_wait_s: how long it waits.
    :param target_wait_s: for how long a load that ends lets it be on time, 0 or
        less if it will be late.
    """

    server_id: str
    key: AdapterKey
    version: int
    priority: int
    max_wait_s: float
    target_wait_s: float = 0


class EngineClient(Protocol):
    """Calls to engines that guard their runs.

    An adapter in use is unloaded only after its runs, and a request for one
    that isn't held is refused without being run; so nobody else's consent is
    needed before an unload.
    """

    async def report(self, server: BackendServer) -> EngineReport:
        """Ask an engine for its report.

        :param server: the engine.
        :raises ServerError: no answer.
        :raises DocumentUnreadable: the answer is no report.
        """

    async def order(self, server: BackendServer, order: Order) -> OrderAnswer:
        """Send an order.

        :param server: the engine.
        :param order: what it is to do.
        :raises ServerError: no answer; it may be carried out, also later.
        """

    async def is_healthy(self, server: BackendServer, path: str) -> bool:
        """Ask a server whether it is healthy.

        :param server: any backend server.
        :param path: path of its health check.
        """
