"""HTTP client of the platform that sends each call once, without retries."""

from typing import Final, Protocol
from urllib.parse import urlencode, urlsplit

from urllib3 import BaseHTTPResponse, Timeout, connection_from_url
from urllib3.exceptions import ConnectTimeoutError, HTTPError

from wasabicross.exceptions import WasabicrossError

MAX_IDLE_CONNECTIONS: Final = 64


class ServiceSettings(Protocol):
    """Settings of a client of a platform service."""

    @property
    def url(self) -> str:
        """Base URL of the service."""

    @property
    def timeout_s(self) -> float:
        """Time-out in seconds for the connection and for each read."""


class NotSent(WasabicrossError):
    """No connection was established, so no byte of the call was sent."""


class AnswerLost(WasabicrossError):
    """The call may have arrived, but no complete answer was received."""


class SingleAttemptClient:
    """Sends each call to one base URL once, over persistent connections.

    :param url: base URL.
    :param timeout_s: time-out in seconds for the connection and for each read.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._prefix = urlsplit(url).path.rstrip('/')
        self._timeout_s = timeout_s
        self._pool = connection_from_url(url, maxsize=MAX_IDLE_CONNECTIONS)

    def send(
        self,
        method: str,
        path: str,
        fields: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> BaseHTTPResponse:
        """Send one call and read its complete answer.

        :param method: HTTP method.
        :param path: path below the base URL.
        :param fields: query parameters.
        :param body: body of the call.
        :param timeout_s: time-out in seconds for each read, if it is not that
            of the client.
        :raises NotSent: no connection was established.
        :raises AnswerLost: the call may have arrived.
        """
        query = f'?{urlencode(fields)}' if fields else ''
        timeout = Timeout(
            connect=self._timeout_s,
            read=timeout_s or self._timeout_s,
        )
        try:
            resp = self._pool.urlopen(
                method,
                self._prefix + path + query,
                body=body,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except ConnectTimeoutError as exc:
            raise NotSent(str(exc)) from exc
        except (HTTPError, OSError) as exc:
            raise AnswerLost(str(exc)) from exc
        if not _has_length(resp):
            raise AnswerLost('answer without a length')
        return resp

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def _has_length(resp: BaseHTTPResponse) -> bool:
    # http.client accepts a truncated head as complete, and takes a body without
    # a length to end with the connection.
    return 'Content-Length' in resp.headers or resp.chunked
