"""Setting faults of a stand-in back end, and reading what it has seen."""

import json
from typing import Any

import urllib3

_TIMEOUT_S = 5


class BackendControl:
    """The side door of a stand-in engine, plain service or weight store.

    :param port: its port on loopback.
    """

    def __init__(self, port: int) -> None:
        self._url = f'http://127.0.0.1:{port}'
        self._http = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_S)

    def set_fault(self, kind: str, **details: Any) -> None:
        """Have a fault occur; the stand-ins tell which kinds there are."""
        body = json.dumps({'kind': kind, **details}).encode()
        self._request('POST', '/fault', body)

    def die_at(self, point: str, count: int = 1, path: str = '') -> None:
        """Have the connections of the next requests die at a point.

        :param point: value of a `emulator.faults.Point`.
        :param path: prefix of the requests' paths.
        """
        self.set_fault('die', point=point, count=count, path=path)

    def describe(self) -> dict[str, Any]:
        """Return the log and the counters."""
        document: dict[str, Any] = json.loads(
            self._request('GET', '/debug/log'),
        )
        return document

    def events(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return an engine's log entries of a kind with these fields."""
        wanted = {'event': event, **fields}
        return [
            entry
            for entry in self.describe()['log']
            if wanted.items() <= entry.items()
        ]

    def _request(self, method: str, path: str, body: bytes = b'') -> bytes:
        # A connection of its own each time, since a fault may hit the pool.
        headers = {'Connection': 'close'}
        url = self._url + path
        return self._http.request(method, url, body=body, headers=headers).data
