"""Calls to model servers: reports, load and unload orders, health checks."""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets
from typing import Any

from wasabicross.gateway.backend import BackendServer, EngineReport
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.carried_requests import ExchangeKind
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.server_messages import ServerRequest
from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerMissing,
    ServerError,
    ServerGone,
)
from wasabicross.gateway.orders import Order, OrderAnswer, OrderKind
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.gateway.time_limits import TimeLimit
from wasabicross.platform.documents import decode_report
from wasabicross.platform.headers import REQUEST_ID, server_notice
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest wait for an answer. After it an order is sent again, which is safe:
#: an order states how many others the engine must have accepted before, and the
#: engine accepts it only if that is so.
_REPORT_TIMEOUT_S = 0.8
_ORDER_TIMEOUT_S = 0.06

#: Longest report, and longest body of another answer, of which only the status
#: counts. An owner asks all its engines at once, so a long one counts often.
_MAX_REPORT_BYTES = 1048576
_MAX_BODY_BYTES = 65536

#: Id that no server has.
_NO_SERVER = 'none'

_OK = 200
_MISDIRECTED = 421
_ORDER_CALLS = {
    OrderKind.load: ExchangeKind.load,
    OrderKind.unload: ExchangeKind.unload,
}
_ANSWERS = {
    200: OrderAnswer.already,
    202: OrderAnswer.accepted,
    409: OrderAnswer.conflict,
}

#: Ids of calls: of this process, and of each call.
_PROCESS_ID = secrets.token_hex(4)
_numbers = itertools.count(1)


class PlatformEngineClient:
    """HTTP client of the engines.

    Each call has an id. Many servers don't repeat it in their answers.

    :param pool: connections to the servers.
    :param notices: receives what answers say about further requests.
    """

    def __init__(self, pool: ConnectionPool, notices: ServerNotices) -> None:
        self._pool = pool
        self._notices = notices

    async def report(self, server: BackendServer) -> EngineReport:
        """Request the status report of an engine.

        :param server: the engine.
        :raises ServerError: there was no answer.
        :raises DocumentUnreadable: the answer isn't a valid report.
        """
        req = _report_request(server, ExchangeKind.report)
        _, body = await self._call(
            server, req, _REPORT_TIMEOUT_S, max_bytes=_MAX_REPORT_BYTES
        )
        return decode_report(body)

    async def order(self, server: BackendServer, order: Order) -> OrderAnswer:
        """Send an order to an engine.

        :param server: the engine.
        :param order: the order.
        :raises ServerError: there was no answer; the engine may still execute
            the order, also later.
        """
        document = _order_document(order)
        body = json.dumps(document).encode()
        call = _ORDER_CALLS[order.kind]
        req = _request(server, call, b'/-/order', body)
        status, _ = await self._call(server, req, _ORDER_TIMEOUT_S)
        return _ANSWERS.get(status, OrderAnswer.refused)

    async def learn_start(
        self, server: BackendServer, conn: ServerConnection, max_wait_s: float
    ) -> bool:
        """Have the process behind a connection report its start, and keep it there.

        :param server: its server, an engine.
        :param conn: the connection, which has no request under way.
        :param max_wait_s: longest wait for the report, seconds.
        :return: whether the connection can be used for a request.
        :raises ServerError: there was no answer.
        :raises DocumentUnreadable: the answer isn't a valid report.
        """
        req = _report_request(server, ExchangeKind.start)
        limit = TimeLimit(
            max_wait_s, AnswerMissing(f'no report within {max_wait_s} s')
        )
        async with limit:
            conn.send(req)
            head = await conn.read_head(req)
            body = await conn.read_body(_MAX_REPORT_BYTES)
        if head.status == _MISDIRECTED:
            raise ServerGone(f'{server.server_id} has gone')
        self._notices.on_notice(server, server_notice(head), now_s())
        conn.start_ms = decode_report(body).start_ms
        return conn.prepare_reuse(now_s())

    async def check_process(
        self,
        server: BackendServer,
        conn: ServerConnection,
        path: str,
        max_wait_s: float,
    ) -> None:
        """Have the process at the other end of a connection answer.

        The question names a server that doesn't exist, so it is turned away at
        once, without a wait for a slot.

        :param server: its server.
        :param conn: the connection, which has no request under way.
        :param path: path of the server's health check.
        :param max_wait_s: longest wait for the answer, seconds.
        :raises ServerError: no answer began.
        """
        nobody = server._replace(server_id=_NO_SERVER)
        req = _request(nobody, ExchangeKind.check, path.encode())
        limit = TimeLimit(
            max_wait_s, AnswerMissing(f'no answer within {max_wait_s} s')
        )
        async with limit:
            conn.send(req)
            head = await conn.read_head(req)
        self._notices.on_notice(server, server_notice(head), now_s())
        try:
            await conn.discard_body()
        except AnswerBroken as exc:
            reason = f'body discarded: {exc}'
            log_event(
                Event.PROBE_FAILED, server=server.server_id, reason=reason
            )

    async def is_healthy(self, server: BackendServer, path: str) -> bool:
        """Return whether the health check of a server succeeds.

        It is sent on a new connection, since a server may answer on kept ones
        while it can't be connected to.

        :param server: any backend server.
        :param path: path of the health check.
        """
        req = _request(server, ExchangeKind.check, path.encode())
        try:
            status, _ = await self._call(
                server, req, _REPORT_TIMEOUT_S, is_new=True
            )
        except ServerError as exc:
            reason = str(exc)
        else:
            reason = '' if status == _OK else f'status {status}'
        if reason:
            log_event(
                Event.PROBE_FAILED, server=server.server_id, reason=reason
            )
        return not reason

    async def _call(
        self,
        server: BackendServer,
        req: ServerRequest,
        timeout_s: float,
        *,
        is_new: bool = False,
        max_bytes: int = _MAX_BODY_BYTES,
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(
                    server, req, max_bytes, is_new=is_new
                )
        except TimeoutError as exc:
            raise AnswerMissing(
                f'{req.target!r}: no answer within {timeout_s} s'
            ) from exc

    async def _exchange(
        self,
        server: BackendServer,
        req: ServerRequest,
        max_bytes: int,
        *,
        is_new: bool,
    ) -> tuple[int, bytes]:
        host, port = server.host, server.port
        call = req.exchange_kind
        if is_new:
            conn = await self._pool.connect(host, port)
        else:
            conn = await self._pool.acquire_for_call(host, port, call)
        try:
            conn.send(req)
            head = await conn.read_head(req)
            body = await conn.read_body(max_bytes)
        except BaseException:
            conn.close()
            raise
        self._pool.release(host, port, conn)
        if head.status == _MISDIRECTED:
            raise ServerGone(f'{server.server_id} has gone')
        self._notices.on_notice(server, server_notice(head), now_s())
        return head.status, body


def _report_request(server: BackendServer, call: ExchangeKind) -> ServerRequest:
    return _request(server, call, b'/-/report')


def _request(
    server: BackendServer, call: ExchangeKind, target: bytes, body: bytes = b''
) -> ServerRequest:
    fields = [
        (b'host', server.host.encode()),
        (b'expect-instance', server.server_id.encode()),
        (REQUEST_ID, f'{_PROCESS_ID}-{next(_numbers):x}'.encode()),
    ]
    if body:
        fields.append((b'content-type', b'application/json'))
        fields.append((b'content-length', str(len(body)).encode()))
    method = b'POST' if body else b'GET'
    return ServerRequest(method, target, fields, body, call)


def _order_document(order: Order) -> dict[str, Any]:
    document = {
        'op': order.kind.value,
        'model': order.key.model,
        'expected': order.expected_orders,
        'holder': order.holder,
        'fence': order.term,
    }
    if order.key.adapter:
        document['adapter'] = order.key.adapter
    return document
