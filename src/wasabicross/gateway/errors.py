"""Errors of the gateway's layers, under the root of the package."""

from wasabicross.exceptions import WasabicrossError


class GatewayError(WasabicrossError):
    """Base of the errors of the gateway."""


class StoreError(GatewayError):
    """The platform's store gave no usable answer."""


class StoreUnavailable(StoreError):
    """The store gave no answer, an error status or an unreadable answer."""


class StoreAnswerTooLong(StoreUnavailable):
    """The answer of the store is longer than the gateway's limit."""


class StoreRestored(StoreUnavailable):
    """The store has returned from an older copy, so the answer can't be used.

    The condition of a write may have held for another value than was meant.
    """


class HistoryGone(StoreError):
    """The store no longer keeps the requested changes.

    The complete content has to be read again.
    """


class DocumentUnreadable(GatewayError):
    """A document of the platform doesn't have the expected form."""


class ServerError(GatewayError):
    """Base of the errors of requests to a server."""


class ServerUnreachable(ServerError):
    """No connection to the server could be made; nothing was sent.

    :param reason: why.
    :param is_refused: whether no process accepts connections at its address.
    """

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        super().__init__(reason)
        self.is_refused = is_refused


class AnswerMissing(ServerError):
    """The connection ended before an answer; the request may have run."""


class RequestIdCarried(GatewayError):
    """A connection has carried a request with the same id before.

    This is a defect of whoever has chosen the connection. Nothing was sent.
    """


class ServerGone(AnswerMissing):
    """Another server answers at the server's address."""


class AnswerBroken(ServerError):
    """The answer ended before it was complete."""


class EndUnproved(AnswerBroken):
    """The answer ended with its connection, and its server may have ended."""


class VersionUnproved(ServerError):
    """Nothing shows which software version the process at a server runs."""

    #: Whether another connection to the server may show it.
    may_be_connection = False


class ProcessSilent(VersionUnproved):
    """The process behind a connection gave no report."""


class GatewayStalled(VersionUnproved):
    """This process stood still while it asked for a start."""

    may_be_connection = True


class ProcessFormer(VersionUnproved):
    """The process behind a connection is a former one of its server."""

    may_be_connection = True


class BodyTooLong(AnswerBroken):
    """The body of an answer is longer than its reader's limit."""


class CallerGone(GatewayError):
    """The caller has closed its connection."""


class AnswerCut(GatewayError):
    """The answer has begun and can't be completed."""


class AnswerCutAtStop(AnswerCut):
    """The answer has begun, and this gateway ends before it is complete."""


class AnswerUnwritable(GatewayError):
    """The answer isn't valid HTTP, so it can't be sent."""


class MayHaveRun(GatewayError):
    """The request may have run, so its caller can't be told that it hasn't."""
