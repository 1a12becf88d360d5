"""Calls to model servers: their report and orders to load and unload."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from wasabicross.gateway.backend import BackendServer, EngineReport
from wasabicross.gateway.errors import AnswerMissing, ServerError
from wasabicross.gateway.orders import Order, OrderAnswer
from wasabicross.gateway.server_connections import (
    ConnectionPool,
    ServerRequest,
)
from wasabicross.platform.documents import decode_report

_CALL_TIMEOUT_S = 0.8


_OK = 200
_MISDIRECTED = 421
_ANSWERS = {
    200: OrderAnswer.already,
    202: OrderAnswer.accepted,
    409: OrderAnswer.conflict,
}


class EngineCalls:
    """Calls to the engines.

    :param pool: connections to the servers.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def report(self, server: BackendServer) -> EngineReport:
        """Ask an engine for its report.

        :param server: the engine.
        :raises ServerError: no answer.
        :raises DocumentUnreadable: the answer is no report.
        """
        _, body = await self._call(server, b'GET', b'/-/report', b'')
        return decode_report(body)

    async def order(self, server: BackendServer, order: Order) -> OrderAnswer:
        """Send an order.

        :param server: the engine that it is for.
        :param order: the order.
        :raises ServerError: no answer; it may be carried out, also later.
        """
        document = _order_document(order)
        body = json.dumps(document).encode()
        status, _ = await self._call(server, b'POST', b'/-/order', body)
        return _ANSWERS.get(status, OrderAnswer.refused)

    async def is_healthy(self, server: BackendServer, path: str) -> bool:
        """Ask a server whether it is healthy.

        :param server: any backend server.
        :param path: path of its health check.
        """
        try:
            status, _ = await self._call(server, b'GET', path.encode(), b'')
        except ServerError:
            return False
        return status == _OK

    async def _call(
        self, server: BackendServer, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                return await self._exchange(server, method, target, body)
        except TimeoutError as exc:
            raise AnswerMissing(f'{target!r}: timeout') from exc

    async def _exchange(
        self, server: BackendServer, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        req = ServerRequest(method, target, _fields(server, body), body)
        conn = await self._pool.take(server.host, server.port, once=False)
        try:
            await conn.send(req)
            head = await conn.head(req)
            parts = [piece async for piece in conn.pieces()]
        except BaseException:
            conn.close()
            raise
        self._pool.give_back(server.host, server.port, conn)
        if head.status == _MISDIRECTED:
            raise AnswerMissing(f'{server.server_id} has gone')
        return head.status, b''.join(parts)


def _fields(server: BackendServer, body: bytes) -> list[tuple[bytes, bytes]]:
    fields = [
        (b'host', server.host.encode()),
        (b'expect-instance', server.server_id.encode()),
    ]
    if body:
        fields.append((b'content-type', b'application/json'))
        fields.append((b'content-length', str(len(body)).encode()))
    return fields


def _order_document(order: Order) -> dict[str, Any]:
    return {
        'op': order.kind.value,
        'model': order.key.model,
        'adapter': order.key.adapter,
        'expected': order.expected_orders,
        'holder': order.holder,
        'fence': order.term,
    }
