"""Client of plain services, to which calls are forwarded by route."""

from http import HTTPStatus

from expression import Error, Ok, Result

from wasabicross.dispatching.answers import Answer
from wasabicross.dispatching.dispatch import Call, Dispatcher, read_retry_after
from wasabicross.dispatching.errors import DispatchError, ServerRefused
from wasabicross.stores.instances import BackendServer

_REFUSALS = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class PlainService:
    """Client of one plain service.

    :param dispatcher: sends requests to the service.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    @classmethod
    def from_server(cls, server: BackendServer) -> 'PlainService':
        """Create a client from the service's entry in the instance list."""
        return cls(Dispatcher(server.host, server.port))

    def call(self, call: Call) -> Result[Answer, DispatchError]:
        """Run a call.

        :returns: the answer, with any status, or `NotRun` or
            `OutcomeUnknown`.
        """
        return self._dispatcher.start(call).bind(_check_answer)

    def close(self) -> None:
        """Close the idle connections."""
        self._dispatcher.close()


def _check_answer(answer: Answer) -> Result[Answer, DispatchError]:
    """Turn a refusal with `Retry-After` into `ServerRefused`.

    Without that field the status may come from a proxy in front of a service
    that has already run the call, so it is returned as the answer.
    """
    retry_after_s = read_retry_after(answer)
    if answer.status in _REFUSALS and retry_after_s is not None:
        answer.cancel()
        return Error(
            ServerRefused(
                f'the service refused with status {answer.status}',
                retry_after_s,
            ),
        )
    return Ok(answer)
