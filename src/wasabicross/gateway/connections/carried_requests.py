"""What a connection to a server has carried, and so what else it may carry."""

from __future__ import annotations

import enum

#: Most ids of requests that are remembered.
_MAX_IDS = 256

_SUCCESSES = range(200, 300)


class ExchangeKind(enum.Enum):
    """What is asked for, by which answers to it are told from others.

    `request`: a caller's request. `head`: one whose answer has no body. The
    others are calls of this gateway. `start`: a report of the process behind a
    connection before a request goes there. `check`: a health check. `store`: a
    call to the platform's store.
    """

    request = 'request'
    head = 'head'
    start = 'start'
    check = 'check'
    report = 'report'
    load = 'load'
    unload = 'unload'
    store = 'store'

    @property
    def is_call(self) -> bool:
        """Return whether it is a call of this gateway."""
        return self not in {ExchangeKind.request, ExchangeKind.head}


#: Calls that go where requests go.
_AMONG_REQUESTS = frozenset((ExchangeKind.start, ExchangeKind.check))

#: Calls whose successes may have no id and are followed by others of their kind:
#: a late one tells what held shortly before.
_REPEATED = frozenset(
    (
        ExchangeKind.start,
        ExchangeKind.report,
        ExchangeKind.load,
        ExchangeKind.unload,
    )
)


class CarriedRequests:
    """The requests and calls that a connection has carried.

    A server may send an answer twice, also late. So a connection carries each id
    once, a request without one if it is the first one, and only exchanges of one
    kind: servers needn't repeat the ids of calls, and an answer to HEAD has the
    length of a body that it hasn't.
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

        :param kind: what it asks for.
        :param request_id: its id, empty for a request without one.
        """
        if self._kind not in {None, _shared(kind)}:
            return False
        if kind.is_call:
            return True
        if not request_id:
            return not self.count
        return hash(request_id) not in self._ids

    def add(self, kind: ExchangeKind, request_id: str) -> None:
        """Record a request or call that is sent.

        :param kind: what it asks for.
        :param request_id: its id, empty for a request without one.
        """
        self._kind = _shared(kind)
        self.count += 1
        if not kind.is_call:
            self._ids.add(hash(request_id))


def kind_of(method: bytes) -> ExchangeKind:
    """Return what a caller's request asks for.

    :param method: its method.
    """
    return ExchangeKind.head if method == b'HEAD' else ExchangeKind.request


def may_be_followed(kind: ExchangeKind, status: int) -> bool:
    """Return whether a connection may be used after an answer without an id.

    A copy of the answer would count as the one to a later call.

    :param kind: what was asked for.
    :param status: status of the answer.
    """
    if kind is ExchangeKind.store:
        return True
    return kind in _REPEATED and status in _SUCCESSES


def _shared(kind: ExchangeKind) -> ExchangeKind:
    """Return the kind of the connections on which a request or call goes."""
    return ExchangeKind.request if kind in _AMONG_REQUESTS else kind
