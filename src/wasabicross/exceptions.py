"""Every error that wasabicross raises or returns, rooted in one base."""

from typing import NamedTuple

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wasabicross.kv import Versioned


class WasabicrossError(Exception):
    """Base of all errors of the package."""

    #: Stable word for machines; subclasses set their own.
    code = 'error'


class LinkError(WasabicrossError):
    """Base of the errors between the system's own processes."""

    code = 'link_error'


class LinkClosed(LinkError):
    """The link ended before the message was answered."""

    code = 'link_closed'


class LinkTimeout(LinkError):
    """No answer came within the time that the sender allowed."""

    code = 'link_timeout'


class MessageMalformed(LinkError):
    """The bytes received are not a message of the protocol."""

    code = 'message_malformed'


class LinkRefused(LinkError):
    """The other side does not let this process in."""

    code = 'link_refused'


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

class KeyValueError(WasabicrossError):
    """Base of the errors of the key-value service's seam."""


class KeyValueUnavailable(KeyValueError):
    """The service was not reached, refused or gave no answer to a read.

    Nothing was applied.
    """


class SwapConflict(KeyValueError):
    """The key had another version than expected: nothing was applied.

    :param present: the key's present state.
    """

    def __init__(self, present: 'Versioned') -> None:
        super().__init__(f'{present.key} has version {present.version}')
        self.present = present


class SwapOutcomeUnknown(KeyValueError):
    """The answer to a swap was lost: it may or may not be applied."""


class ValueTooLarge(KeyValueError):
    """The value exceeds the service's limit: nothing was applied."""


class LeaseLapsed(KeyValueError):
    """The lease has lapsed or was never granted.

    :param lease_id: id of the lease.
    """

    def __init__(self, lease_id: str) -> None:
        super().__init__(f'lease {lease_id} has lapsed')
        self.lease_id = lease_id


class LeaseOutcomeUnknown(KeyValueError):
    """The answer to a lease operation was lost: it may be applied."""


class InstanceListError(WasabicrossError):
    """Base of the errors of the instance list's seam."""


class InstanceListUnavailable(InstanceListError):
    """The instance list was not reached, refused or broke off."""


class InstanceListMalformed(InstanceListError):
    """The instance list's answer isn't understood; none of it is used."""
