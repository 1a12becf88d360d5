"""Errors of reading, verifying and activating bundles."""

from wasabicross.exceptions import WasabicrossError
from wasabicross.runtime.errors import DocumentError


class BundleError(WasabicrossError):
    """Base of the errors of reading, verifying and activating bundles."""


class BundleFileError(DocumentError, BundleError):
    """The bundle file of an operator is invalid."""


class BundleMalformed(BundleError):
    """The bytes are not a valid bundle, or not the requested one."""


class BundleUntrusted(BundleError):
    """The manifest has no valid signature by a trusted key."""


class BundleSuperseded(BundleError):
    """A bundle with the same or a higher number is already in force."""


class BundleUnavailable(BundleError):
    """The source can't be reached, or does not have the requested bytes."""


class BundleNotFound(BundleUnavailable):
    """The source answered that it does not have the requested bytes."""
