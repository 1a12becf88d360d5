"""Errors of the gateway's layers, under the root of the package."""

from wasabicross.exceptions import WasabicrossError


class GatewayError(WasabicrossError):
    """Base of the errors of the gateway."""


class StoreError(GatewayError):
    """The platform's store gave no usable answer."""


class StoreUnavailable(StoreError):
    """No answer, or one that says that nothing was done."""


class StoreAnswerTooLong(StoreUnavailable):
    """The answer is longer than a gateway reads."""


class HistoryGone(StoreError):
    """The changes that a watch asked for can't be had; all has to be read."""


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


class BodyTooLong(AnswerBroken):
    """The body of an answer is longer than its reader takes."""


class CallerGone(GatewayError):
    """The caller has closed its connection."""
