"""Errors of requests and orders to backend servers."""

from wasabicross.exceptions import WasabicrossError


class BackendError(WasabicrossError):
    """Base of the errors of exchanges with backend servers.

    :param reason: short description of what happened.
    :param retry_after_s: seconds after which the server allows a retry, if
        its answer says so.
    """

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class DispatchError(BackendError):
    """Base of the errors of one request to a backend server."""


class NotRun(DispatchError):
    """The backend server has certainly not run the request."""


class NotConnected(NotRun):
    """No connection was made, so no byte of the request was sent."""


class RequestUnsendable(NotRun):
    """The request is not valid HTTP, so no byte of it was sent."""


class ServerRefused(NotRun):
    """The backend server answered that it refuses the request for now."""


class AdapterNotLoaded(NotRun):
    """The engine has no load with the name that the request gives."""


class OutcomeUnknown(DispatchError):
    """The request may have run: it may have been sent, but got no answer."""


class AnswerCut(DispatchError):
    """The connection ended before the answer was complete."""


class OrderError(BackendError):
    """Base of the errors of orders and queries to an engine."""


class EngineUnreachable(OrderError):
    """The order has certainly had no effect: not connected, or refused."""


class OrderOutcomeUnknown(OrderError):
    """The order may take effect: it may have been sent, but got no answer."""


class OrderRefused(OrderError):
    """The engine has seen a higher fencing term than that of the order.

    :param highest_term: the highest term that the engine has seen.
    """

    def __init__(self, highest_term: int) -> None:
        super().__init__(
            f'order has an old fencing term: engine has seen {highest_term}'
        )
        self.highest_term = highest_term


class SlotsFull(OrderError):
    """The engine has no free slot for the load."""


class AdapterInUse(OrderError):
    """The engine refuses to evict a load that a running request uses."""


class LoadFailed(OrderError):
    """The engine could not load the adapter version."""


class EngineAnswerMalformed(OrderError):
    """The engine's answer has an unexpected format."""
