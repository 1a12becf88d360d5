"""Errors of the claims of idempotency keys."""

from wasabicross.exceptions import WasabicrossError


class ClaimError(WasabicrossError):
    """Base of the errors of the claims of idempotency keys."""


class ClaimLogUnavailable(ClaimError):
    """The key-value service didn't answer, so this instance grants nothing."""


class ClaimLogDeposed(ClaimError):
    """Another instance has become the owner of the range's log."""
