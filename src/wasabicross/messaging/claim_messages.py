"""Messages that claim and settle idempotency keys."""

from typing import NamedTuple


class ClaimKey(NamedTuple):
    """Claims an idempotency key before a request is dispatched.

    :param request_digest: digest of the request, which shows whether the key
        is reused for another one.
    :param holder: name of the claim's holder, unique among all processes.
    """

    tenant: str
    key: str
    request_digest: str
    holder: str


class ClaimAnswer(NamedTuple):
    """Answers a claim.

    :param state: code of the key's state.
    :param status: HTTP status of the completed answer, 0 for none.
    :param answer: body of the completed answer if it is stored, else empty.
    :param retry_after_s: seconds after which the caller may retry.
    """

    state: str
    status: int
    content_type: str
    answer: bytes
    retry_after_s: float


class SettleKey(NamedTuple):
    """Reports the outcome of a request to settle its claim."""

    tenant: str
    key: str
    holder: str
    outcome: str
    status: int
    content_type: str
    answer: bytes


class HoldersLost(NamedTuple):
    """Reports that claim holders have ended without settling their claims.

    :param prefix: prefix of the names of these holders.
    :param excluded_prefix: prefix of names that match `prefix` but whose
        holders still run, empty for none.
    """

    prefix: str
    excluded_prefix: str
