"""A client of the administration API."""

import json
from typing import Any

import urllib3
from expression import Error, Ok, Result

from wasabicross.commands.operator_errors import (
    AdminClientError,
    AdminRefused,
    AdminUnreachable,
)
from wasabicross.runtime.errors import DocumentFault

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 60.0

_FIRST_ERROR_STATUS = 400

Answer = Result[dict[str, Any], AdminClientError]


class AdminClient:
    """A client of the administration API of one instance.

    Each call is sent once, without retries. Errors: AdminRefused,
    AdminUnreachable.

    :param url: base URL of the API.
    :param token: the operator's bearer token.
    """

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip('/')
        self._headers = {'Authorization': f'Bearer {token}'}
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S
            ),
        )

    def prepare(self, text: str) -> Answer:
        """Prepare a bundle as a draft.

        :param text: content of the bundle file.
        """
        return self._call('POST', '/v1/bundles', text.encode())

    def draft(self, digest: str) -> Answer:
        """Return a draft.

        :param digest: digest of its manifest.
        """
        return self._call('GET', f'/v1/bundles/{digest}')

    def sign_off(self, digest: str, key: str, signature: bytes) -> Answer:
        """Attach a signature to a draft.

        :param digest: digest of its manifest.
        :param key: name of the key.
        :param signature: signature of the manifest.
        """
        document = {'key': key, 'signature': signature.hex()}
        path = f'/v1/bundles/{digest}/signature'
        return self._call('POST', path, json.dumps(document).encode())

    def roll(self, digest: str) -> Answer:
        """Roll a signed bundle.

        :param digest: digest of its manifest.
        """
        return self._call('POST', f'/v1/bundles/{digest}/roll')

    def supersede(self, digest: str, number: int) -> Answer:
        """Replace the bundle in force without waiting for its propagation.

        :param digest: digest of the new bundle's manifest.
        :param number: number of the bundle in force.
        """
        path = f'/v1/bundles/{digest}/supersede?number={number}'
        return self._call('POST', path)

    def status(self) -> Answer:
        """Return which bundle is in force, and its state by data centre."""
        return self._call('GET', '/v1/status')

    def history(self, limit: int) -> Answer:
        """Return the current and the past bundles, the current one first.

        :param limit: maximum number of bundles.
        """
        return self._call('GET', f'/v1/history?limit={limit}')

    def _call(self, method: str, path: str, body: bytes = b'') -> Answer:
        try:
            resp = self._http.request(
                method,
                f'{self._url}{path}',
                body=body or None,
                headers=self._headers,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            return Error(AdminUnreachable(f'{self._url}: {exc}'))
        try:
            content = json.loads(resp.data)
        except ValueError:
            content = None
        if not isinstance(content, dict):
            status = resp.status
            return Error(AdminUnreachable(f'{self._url}: status {status}'))
        if resp.status >= _FIRST_ERROR_STATUS:
            return Error(_refusal(resp.status, content.get('error') or {}))
        return Ok(content)


def _refusal(status: int, error: dict[str, Any]) -> AdminRefused:
    return AdminRefused(
        status,
        error.get('code', 'unknown'),
        error.get('message', f'status {status}'),
        tuple(DocumentFault(**fault) for fault in error.get('faults', ())),
    )
