"""What a connection to a server has carried, and so what else it may carry."""

from __future__ import annotations

import enum

#: Most ids of requests that are remembered.
_MAX_IDS = 512


class ExchangeKind(enum.Enum):
    """Which answers a connection gets.

    `request`: answers to callers' requests. `head`: the same without bodies.
    `call`: answers to calls of this gateway.
    """

    request = 'request'
    head = 'head'
    call = 'call'


def kind_of(method: bytes) -> ExchangeKind:
    """Return which answer a caller's request gets.

    :param method: its method.
    """
    return ExchangeKind.head if method == b'HEAD' else ExchangeKind.request


class CarriedRequests:
    """The requests that a connection has carried.

    A server may send an answer twice, also late. So a connection carries each id
    once, a request without one if it is the first one, and answers that are
    framed alike: one to HEAD has the length of a body that it hasn't.
    """

    def __init__(self) -> None:
        self._kind: ExchangeKind | None = None
        #: Hashes of the ids of requests, the empty one for none.
        self._ids: set[int] = set()
        #: Number of requests and calls.
        self.count = 0

    @property
    def is_full(self) -> bool:
        """Return whether no more ids can be remembered."""
        return len(self._ids) >= _MAX_IDS

    def may_add(self, kind: ExchangeKind, request_id: str) -> bool:
        """Return whether a request or call may be sent.

        :param kind: which answer it gets.
        :param request_id: its id, empty for a request without one.
        """
        is_headless = ExchangeKind.head not in {kind, self._kind}
        if not is_headless and self._kind not in {None, kind}:
            return False
        if kind is ExchangeKind.call:
            return True
        if not request_id:
            return not self.count
        return hash(request_id) not in self._ids

    def add(self, kind: ExchangeKind, request_id: str) -> None:
        """Record a request or call that is sent.

        :param kind: which answer it gets.
        :param request_id: its id, empty for a request without one.
        """
        self._kind = kind
        self.count += 1
        if kind is not ExchangeKind.call:
            self._ids.add(hash(request_id))
