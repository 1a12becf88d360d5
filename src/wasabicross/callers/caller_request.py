"""A caller's request, as the parts of an entry share it."""

import json
from typing import Any, NamedTuple

from wasabicross.bundles.bundles import Bundle, Route


class CallerRequest(NamedTuple):
    """A request that was accepted.

    :param request_id: unique id, also sent to the backend server.
    :param tenant: name of the tenant whose token it carried.
    :param method: HTTP method.
    :param path: path with its query.
    :param headers: fields to pass on to the backend server.
    :param body: complete body.
    :param bundle: the bundle in force when it was accepted.
    :param route: the route of its path in that bundle.
    :param key: its idempotency key, empty for none.
    :param fingerprint: digest that copies of the request share.
    :param accepted_s: monotonic time at which it was accepted.
    :param deadline_s: monotonic time by which it must be answered.
    """

    request_id: str
    tenant: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    bundle: Bundle
    route: Route
    key: str
    fingerprint: bytes
    accepted_s: float
    deadline_s: float

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be run more than once."""
        return self.method in self.route.idempotent_methods

    def document(self) -> dict[str, Any] | None:
        """Return the body as a JSON object, None if it is not one."""
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError):
            return None
        return document if isinstance(document, dict) else None
