"""A client of what a gateway tells operators about itself."""

from __future__ import annotations

import json
from urllib.parse import quote

import urllib3
from expression import Error, Ok

from wasabicross.commands.admin_client import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    Answer,
)
from wasabicross.commands.operator_errors import AdminRefused, AdminUnreachable

_PATH = '/convictions'
_OK = 200


class GatewayClient:
    """A client of one gateway.

    Each call is sent once, without retries. Errors: AdminRefused,
    AdminUnreachable.

    :param url: base URL at which the gateway serves its metrics.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip('/')
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S
            ),
        )

    def convictions(self) -> Answer:
        """Return what is convicted of crashing servers."""
        return self._call('GET', _PATH)

    def lift(self, cause: str) -> Answer:
        """Lift a conviction at all gateways.

        :param cause: the digest of a request, or a part of prompts.
        """
        return self._call('DELETE', f'{_PATH}/{quote(cause)}')

    def _call(self, method: str, path: str) -> Answer:
        try:
            resp = self._http.request(
                method, f'{self._url}{path}', redirect=False
            )
            content = json.loads(resp.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            return Error(AdminUnreachable(f'{self._url}: {exc}'))
        if resp.status != _OK:
            error = content['error']
            return Error(
                AdminRefused(resp.status, error['code'], error['message'])
            )
        return Ok(content)
