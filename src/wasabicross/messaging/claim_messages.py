"""Messages that claim and settle idempotency keys."""

from typing import NamedTuple


class ClaimKey(NamedTuple):
    """Claims an idempotency key before a request is dispatched."""

    tenant: str
    key: str
    request_digest: str
    holder: str


class ClaimAnswer(NamedTuple):
    """Answers a claim.

    :param state: the state of the key as a stable word.
    :param answer: the completed answer where it is kept, else empty.
    :param retry_after_s: seconds until a repeat makes sense.
    """

    state: str
    status: int
    content_type: str
    answer: bytes
    retry_after_s: float


class SettleKey(NamedTuple):
    """Tells the outcome of a claimed request."""

    tenant: str
    key: str
    holder: str
    outcome: str
    status: int
    content_type: str
    answer: bytes


class HoldersLost(NamedTuple):
    """Tells that holders of claims have died without telling outcomes.

    :param prefix: what their names begin with.
    :param spared: what the names of others begin with, empty for none.
    """

    prefix: str
    excluded_prefix: str
