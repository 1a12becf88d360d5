"""Control of a stand-in back end: setting its faults and reading its log."""

import json
from typing import Any

import urllib3

_TIMEOUT_S = 5


class BackendControl:
    """Client for the control paths of an engine, plain service or weight store.

    :param port: port of the stand-in on loopback.
    """

    def __init__(self, port: int) -> None:
        self._url = f'http://127.0.0.1:{port}'
        self._http = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_S)

    def set_fault(self, kind: str, **details: Any) -> None:
        """Set a fault; each stand-in defines its kinds of faults."""
        body = json.dumps({'kind': kind, **details}).encode()
        self._request('POST', '/fault', body)

    def die_at(self, point: str, count: int = 1, path: str = '') -> None:
        """End the connections of the next requests at a point.

        :param point: value of an `emulator.faults.FaultPoint`.
        :param count: number of connections to end.
        :param path: prefix of the paths of the affected requests.
        """
        self.set_fault('die', point=point, count=count, path=path)

    def describe(self) -> dict[str, Any]:
        """Return the stand-in's log and counters."""
        document: dict[str, Any] = json.loads(
            self._request('GET', '/debug/log'),
        )
        return document

    def events(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return an engine's log entries of a kind that have these fields."""
        expected = {'event': event, **fields}
        return [
            entry
            for entry in self.describe()['log']
            if expected.items() <= entry.items()
        ]

    def _request(self, method: str, path: str, body: bytes = b'') -> bytes:
        # Faults may end pooled connections, so each request uses a new one.
        headers = {'Connection': 'close'}
        url = self._url + path
        return self._http.request(method, url, body=body, headers=headers).data
