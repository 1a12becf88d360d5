"""Errors of the gateway's layers, under the root of the package."""

from wasabicross.exceptions import WasabicrossError


class GatewayError(WasabicrossError):
    """Base of the errors of the gateway."""


class StoreError(GatewayError):
    """The platform's store gave no usable answer."""


class StoreUnavailable(StoreError):
    """No answer, or one that says that nothing was done."""


class HistoryGone(StoreError):
    """The changes that a watch asked for are no longer kept."""


class DocumentUnreadable(GatewayError):
    """A document of the platform can't be read as what it should be."""


class ServerError(GatewayError):
    """Base of what goes wrong between this process and a server."""


class ServerUnreachable(ServerError):
    """No connection; the server has been sent nothing."""


class AnswerMissing(ServerError):
    """The connection ended before an answer; the request may have run."""


class AnswerOverdue(AnswerMissing):
    """The server said nothing for so long that another one should go on."""


class AnswerBroken(ServerError):
    """The answer ended before it was complete."""


class CallerGone(GatewayError):
    """The caller has closed its connection."""
