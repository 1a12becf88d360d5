"""Refusals of a stand-in for a backend server, and the copies of these."""

from __future__ import annotations

import asyncio
import random
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

from emulator.soak.answer_parts import request_id_field
from emulator.soak.server_log import log
from emulator.stream_server import HttpRequest, Responder

#: Statuses of refusals that are chosen at random.
_STATUSES = (503, 421, 429)

#: Share of the refusals that have a copy, and of these copies that come while
#: the connection is idle, unless the next request comes before.
_COPIED_SHARE = 0.8
_IDLE_SHARE = 0.5
_MIN_IDLE_S = 0.002
_MAX_IDLE_S = 0.05


class Refusal(NamedTuple):
    """A refusal, as it is sent.

    :param request: id of the refused request.
    :param fields: header fields of the refusal.
    """

    request: str
    status: int
    fields: tuple[tuple[str, str], ...]

    def send(self, responder: Responder) -> None:
        """Send it.

        :param responder: the connection.
        """
        responder.send_json(self.status, {}, self.fields)


class Refusals:
    """Refuses requests, and sends refusals twice for some time.

    :param seed: seed of the random choices.
    """

    def __init__(self, seed: str) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._share: float = 0
        self._until_s: float = 0
        self._has_copies = False
        #: Copies that are due at the next request of a connection.
        self._due: WeakKeyDictionary[Responder, Refusal] = WeakKeyDictionary()
        #: Ids of which the last copy was sent on a connection.
        self._copied: WeakKeyDictionary[Responder, str] = WeakKeyDictionary()

    def set_from(self, document: dict[str, Any], now_s: float) -> None:
        """Refuse a share of the requests for a while.

        :param document: a fault of kind `refuse` or `refuse_twice`.
        :param now_s: the present time, monotonic seconds.
        """
        self._share = document['share']
        self._has_copies = document['kind'] == 'refuse_twice'
        self._until_s = now_s + document['for_s']

    def status(self, now_s: float) -> int:
        """Return the status with which to refuse a request, 0 to run it.

        :param now_s: the present time, monotonic seconds.
        """
        if now_s >= self._until_s or self._rng.random() >= self._share:
            return 0
        return self._rng.choice(_STATUSES)

    def send_due(self, req: HttpRequest, responder: Responder) -> None:
        """Send the copy that is due before a request is answered.

        :param req: the request.
        :param responder: its connection.
        """
        request_id = req.headers.get('request-id', '')
        refusal = self._due.pop(responder, None)
        if refusal is not None and responder.die_at is None:
            self._send_copy(refusal, responder, is_idle=False)
        copied = self._copied.pop(responder, '')
        if copied and copied == request_id:
            log('copy', request=request_id, met=True)

    def refuse(  # noqa: WPS211
        self,
        req: HttpRequest,
        responder: Responder,
        status: int,
        fields: tuple[tuple[str, str], ...],
        now_s: float,
    ) -> None:
        """Refuse a request; its copy may follow later.

        :param req: the request.
        :param responder: its connection.
        :param status: status of the refusal.
        :param fields: further header fields.
        :param now_s: the present time, monotonic seconds.
        """
        refusal = Refusal(
            req.headers.get('request-id', ''),
            status,
            (*request_id_field(req), ('Not-Run', '1'), *fields),
        )
        refusal.send(responder)
        is_kept = refusal.request and not responder.is_last
        if is_kept and self._has_copies and now_s < self._until_s:
            self._plan_copy(refusal, responder)

    def _plan_copy(self, refusal: Refusal, responder: Responder) -> None:
        if self._rng.random() >= _COPIED_SHARE:
            return
        self._due[responder] = refusal
        if self._rng.random() < _IDLE_SHARE:
            asyncio.get_running_loop().call_later(
                self._rng.uniform(_MIN_IDLE_S, _MAX_IDLE_S),
                self._send_idle,
                refusal,
                responder,
            )

    def _send_idle(self, refusal: Refusal, responder: Responder) -> None:
        """Send a copy on a connection that has had no request meanwhile."""
        if self._due.get(responder) is refusal and not responder.is_gone:
            self._due.pop(responder)
            self._send_copy(refusal, responder, is_idle=True)

    def _send_copy(
        self, refusal: Refusal, responder: Responder, *, is_idle: bool
    ) -> None:
        log('copy', request=refusal.request, met=False, idle=is_idle)
        self._copied[responder] = refusal.request
        refusal.send(responder)
