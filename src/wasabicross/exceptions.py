"""Every error that wasabicross raises, rooted in one base."""

from typing import NamedTuple


class WasabicrossError(Exception):
    """Base of all errors of the package."""


class Fault(NamedTuple):
    """One thing that is wrong in a document, and where.

    :param path: dotted path of the value, such as ``entries.0.port``.
    :param message: what is wrong there, without the value itself.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f'{self.path}: {self.message}' if self.path else self.message


class DocumentError(WasabicrossError):
    """A document written by operators has faults.

    :param faults: all of them, in the order of the document.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(DocumentError):
    """The settings can't be used."""


class BundleError(WasabicrossError):
    """A bundle can't be read, trusted or brought into force."""


class BundleFileError(DocumentError, BundleError):
    """The bundle file of an operator has faults."""


class BundleMalformed(BundleError):
    """The bytes are not a bundle, or not the one that was named."""


class BundleUntrusted(BundleError):
    """No trusted key has signed the manifest."""


class BundleSuperseded(BundleError):
    """A bundle with this or a higher number is in force already."""


class BundleUnavailable(BundleError):
    """The source does not have the bytes, or can't be reached."""
