"""Errors of the command line of operators."""

from wasabicross.exceptions import WasabicrossError
from wasabicross.runtime.errors import DocumentError, DocumentFault


class OperatorKeyError(DocumentError):
    """The file of an operator's private key cannot be read or is invalid."""


class AdminClientError(WasabicrossError):
    """Base of the errors of an operator's command.

    `code` identifies the kind of error.
    """

    code = 'failed'


class AdminUnreachable(AdminClientError):
    """The administration API did not answer; the action may be repeated."""

    code = 'unreachable'


class DraftMismatch(AdminClientError):
    """The draft is not the one that the operator intends to sign."""


class AdminRefused(AdminClientError):
    """The administration API answered with an error.

    :param status: HTTP status code.
    :param code: code that identifies the error.
    :param message: a sentence for the operator.
    :param faults: faults of the bundle file, if any.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        faults: tuple[DocumentFault, ...] = (),
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.faults = faults
