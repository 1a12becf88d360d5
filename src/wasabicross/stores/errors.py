"""Errors of the platform's key-value service and instance list."""

from wasabicross.exceptions import WasabicrossError
from wasabicross.stores.versioned import Versioned


class KeyValueError(WasabicrossError):
    """Base class of the errors of the key-value client."""


class KeyValueUnavailable(KeyValueError):
    """The service was unreachable, refused, or did not answer a read.

    No change was applied.
    """


class SwapConflict(KeyValueError):
    """The key did not have the expected version; no change was applied.

    :param present: current state of the key.
    """

    def __init__(self, present: Versioned) -> None:
        super().__init__(f'{present.key} has version {present.version}')
        self.present = present


class SwapOutcomeUnknown(KeyValueError):
    """The answer to a swap was lost; the swap may have been applied or not."""


class ValueTooLarge(KeyValueError):
    """The value exceeds the limit of the service; no change was applied."""


class LeaseLapsed(KeyValueError):
    """The lease has expired or was never granted.

    :param lease_id: id of the lease.
    """

    def __init__(self, lease_id: str) -> None:
        super().__init__(f'lease {lease_id} has lapsed')


class LeaseOutcomeUnknown(KeyValueError):
    """The answer to a lease operation was lost; it may have been applied."""


class InstanceListError(WasabicrossError):
    """Base class of the errors of the instance list client."""


class InstanceListUnavailable(InstanceListError):
    """The instance list was unreachable, refused, or answered incompletely."""


class InstanceListMalformed(InstanceListError):
    """The answer of the instance list is malformed; no part of it is used."""
