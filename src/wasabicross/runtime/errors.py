"""Errors of settings, documents and ports."""

from typing import NamedTuple

from wasabicross.exceptions import WasabicrossError


class PortUnavailable(WasabicrossError):
    """A port can't be bound, usually because another program listens on it.

    :param host: IP address to bind.
    :param port: port number.
    :param reason: the operating system's message.
    """

    def __init__(self, host: str, port: int, reason: str) -> None:
        super().__init__(f'{host}:{port}: {reason}')
        self.host = host
        self.port = port
        self.reason = reason


class DocumentFault(NamedTuple):
    """An error in a document and its position.

    :param path: dotted path of the value, such as ``entries.0.port``.
    :param message: description of the error, without the value itself.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f'{self.path}: {self.message}' if self.path else self.message


class DocumentError(WasabicrossError):
    """A document written by an operator is invalid.

    :param faults: all errors found, in the order in which they are reported.
    """

    def __init__(self, faults: tuple[DocumentFault, ...]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(DocumentError):
    """The settings are unreadable or invalid."""
