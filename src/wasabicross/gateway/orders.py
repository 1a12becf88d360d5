"""Orders to engines, their answers, and the client that sends them."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from wasabicross.gateway.backend import (
    AdapterKey,
    BackendServer,
    EngineReport,
)
from wasabicross.gateway.connections.server_connections import ServerConnection


class OrderKind(enum.Enum):
    """What an engine is to do with an adapter."""

    load = 'load'
    unload = 'unload'


class Order(NamedTuple):
    """An order to one engine.

    :param key: the adapter, or a base model if it names no adapter.
    :param expected_orders: number of orders that the engine must have accepted
        before; otherwise it answers with a conflict.
    :param holder: name of the machine that sends the order.
    :param term: number that increases with each change of the owner.
    """

    kind: OrderKind
    key: AdapterKey
    expected_orders: int
    holder: str
    term: int


class OrderAnswer(enum.Enum):
    """The answer of an engine to an order.

    `accepted`: the order is being carried out. `already`: its effect is already
    in place. `conflict`: the engine has accepted other orders before.
    `refused`: the order can't be carried out.
    """

    accepted = 'accepted'
    already = 'already'
    conflict = 'conflict'
    refused = 'refused'


class LoadRequest(NamedTuple):
    """An adapter on an engine that a request waits for.

    :param server_id: id of the engine.
    :param version: oldest acceptable version.
    :param priority: rank of the request, 0 is the most urgent.
    :param max_wait_s: longest time that the request waits.
    :param target_wait_s: longest wait after which the request can still meet
        its latency target, 0 or less if it can't.
    :param prompt_tokens: length of its prompt, 0 if it isn't known.
    :param is_returning: whether its caller was refused before.
    """

    server_id: str
    key: AdapterKey
    version: int
    priority: int
    max_wait_s: float
    target_wait_s: float = 0
    prompt_tokens: int = 0
    is_returning: bool = False


class EngineClient(Protocol):
    """A client for engines that protect their running requests.

    An engine unloads an adapter in use only after its running requests have
    finished, and it refuses a request for an adapter that isn't resident
    without running it. So no gateway has to consent to an unload.
    """

    async def report(self, server: BackendServer) -> EngineReport:
        """Request the report of an engine.

        :param server: the engine.
        :raises ServerError: there was no answer.
        :raises DocumentUnreadable: the answer is not a report.
        """

    async def order(self, server: BackendServer, order: Order) -> OrderAnswer:
        """Send an order and return the answer.

        :param server: the engine.
        :param order: the order.
        :raises ServerError: there was no answer; the order may still be carried
            out, now or later.
        """

    async def learn_start(
        self, server: BackendServer, conn: ServerConnection, max_wait_s: float
    ) -> bool:
        """Have the process behind a connection report its start, and keep it there.

        :param server: its server, an engine.
        :param conn: the connection, which has no request under way.
        :param max_wait_s: longest wait for the report, seconds.
        :return: whether the connection can be used for a request.
        :raises ServerError: there was no answer.
        :raises DocumentUnreadable: the answer is not a report.
        """

    async def check_process(
        self,
        server: BackendServer,
        conn: ServerConnection,
        path: str,
        max_wait_s: float,
    ) -> None:
        """Have the process at the other end of a connection answer.

        :param server: its server.
        :param conn: the connection, which has no request under way.
        :param path: path of the server's health check.
        :param max_wait_s: longest wait for the answer, seconds.
        :raises ServerError: no answer began.
        """

    async def is_healthy(self, server: BackendServer, path: str) -> bool:
        """Return whether a server passes its health check.

        :param server: any backend server.
        :param path: path of the health check.
        """
