"""Stand-in for the platform's key-value service.

``python -m emulator.kv --port P``

==========================================  ================================
GET /v1/key?key=                            read
PUT /v1/key?key=&expected=[&lease=]         compare-and-swap, body: value
DELETE /v1/key?key=&expected=               delete by compare-and-swap
GET /v1/watch?key=&after=&wait_ms=          long poll
POST /v1/lease?ttl_ms=                      grant a lease
PUT, DELETE /v1/lease?lease=                renew, revoke a lease
GET /stats                                  calls by operation, sizes
GET, POST /fault                            read and set the faults
==========================================  ================================
"""

import argparse
import threading
import time
from collections import Counter
from typing import Any, NamedTuple

from emulator.http_server import Reply, Request, json_reply, serve_until_stopped
from emulator.kv_data import (
    MAX_VALUE_BYTES,
    Clock,
    Conflict,
    Entry,
    KeyValueData,
    LeaseNotFound,
    WatchInterrupted,
)

MS_PER_S = 1000
OPERATIONS = {
    ('GET', '/v1/key'): 'get',
    ('PUT', '/v1/key'): 'swap',
    ('DELETE', '/v1/key'): 'swap',
    ('GET', '/v1/watch'): 'watch',
    ('POST', '/v1/lease'): 'grant',
    ('PUT', '/v1/lease'): 'renew',
    ('DELETE', '/v1/lease'): 'revoke',
}
LEASE_OPERATIONS = frozenset(('grant', 'renew', 'revoke'))


class Faults(NamedTuple):
    """Faults that stay in force until they are changed.

    :param slow_ms: delay before each call is executed, in milliseconds.
    :param refuse: refuse every call, as in an outage.
    :param drop_swaps: number of successful swaps whose replies are not sent;
        -1 for all.
    :param drop_leases: the same for grants, renewals and revocations.
    :param drop_prefix: drop only replies to swaps of keys with this prefix.
    """

    slow_ms: float = 0
    refuse: bool = False
    drop_swaps: int = 0
    drop_leases: int = 0
    drop_prefix: str = ''


class KeyValueService:
    """Handles the calls to the key-value service.

    :param clock: returns the service's own time in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._data = KeyValueData()
        self._lock = threading.Lock()
        self._faults = Faults()
        self._calls: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        threading.Thread(
            target=self._data.expire_forever,
            args=(clock,),
            daemon=True,
        ).start()

    def answer(self, req: Request) -> Reply | None:
        """Answer a call; return ``None`` to close its connection instead."""
        operation = OPERATIONS.get((req.method, req.path))
        if operation is None:
            return self._handle_control(req)
        with self._lock:
            self._calls[operation] += 1
        if self._faults.slow_ms:
            time.sleep(self._faults.slow_ms / MS_PER_S)
        if self._faults.refuse:
            return json_reply({'error': 'refused'}, 503)
        return self._perform(operation, req)

    def _perform(self, operation: str, req: Request) -> Reply | None:
        method = getattr(self, f'_{operation}')
        try:
            reply: Reply = method(req)
        except Conflict as exc:
            return _entry_reply(exc.current, 409)
        except LeaseNotFound:
            return json_reply({'error': 'lease lapsed'}, 404)
        except WatchInterrupted:
            return None
        return None if self._drops_reply(operation, req, reply) else reply

    def _get(self, req: Request) -> Reply:
        return _entry_reply(self._data.get(req.query['key'], self._clock()))

    def _swap(self, req: Request) -> Reply:
        if len(req.body) > MAX_VALUE_BYTES:
            return json_reply({'error': 'value too large'}, 413)
        entry = Entry(
            None if req.method == 'DELETE' else req.body,
            int(req.query['expected']),
            req.query.get('lease'),
        )
        key = req.query['key']
        written = self._data.swap(key, entry, self._clock())
        return _entry_reply(written._replace(value=b''))

    def _watch(self, req: Request) -> Reply:
        wait_s = int(req.query['wait_ms']) / MS_PER_S
        entry = self._data.watch(
            req.query['key'],
            int(req.query['after']),
            self._clock() + wait_s,
            self._clock,
        )
        return _entry_reply(entry)

    def _grant(self, req: Request) -> Reply:
        ttl_s = int(req.query['ttl_ms']) / MS_PER_S
        lease_id = self._data.grant(ttl_s, self._clock())
        return Reply(body=lease_id.encode())

    def _renew(self, req: Request) -> Reply:
        self._data.renew(req.query['lease'], self._clock())
        return Reply()

    def _revoke(self, req: Request) -> Reply:
        self._data.revoke(req.query['lease'], self._clock())
        return Reply()

    def _drops_reply(self, operation: str, req: Request, reply: Reply) -> bool:
        if reply.status != 200:
            return False
        if operation in LEASE_OPERATIONS:
            return self._consume_drop('drop_leases')
        if operation != 'swap':
            return False
        if not req.query['key'].startswith(self._faults.drop_prefix):
            return False
        return self._consume_drop('drop_swaps')

    def _consume_drop(self, name: str) -> bool:
        with self._lock:
            remaining = getattr(self._faults, name)
            if remaining > 0:
                self._faults = self._faults._replace(**{name: remaining - 1})
            if remaining:
                self._dropped[name] += 1
            return bool(remaining)

    def _handle_control(self, req: Request) -> Reply:
        if req.path == '/stats':
            return json_reply(self._stats())
        if req.path == '/fault' and req.method == 'POST':
            return self._set_faults(req.document())
        if req.path == '/fault':
            return json_reply(self._faults._asdict())
        return json_reply({'error': 'no such path'}, 404)

    def _stats(self) -> dict[str, Any]:
        with self._lock:
            calls = dict(self._calls)
            dropped = dict(self._dropped)
        return {'calls': calls, 'dropped': dropped, **self._data.sizes()}

    def _set_faults(self, requested: dict[str, Any]) -> Reply:
        restart_empty = requested.pop('restart_empty', False)
        keep_versions = requested.pop('keep_versions', False)
        lapse_leases = requested.pop('lapse_leases', False)
        unknown = requested.keys() - set(Faults._fields)
        if unknown:
            raise ValueError(f'unknown faults: {sorted(unknown)}')
        with self._lock:
            self._faults = self._faults._replace(**requested)
        if restart_empty:
            self._data.delete_all(keep_versions=keep_versions)
        if requested.get('refuse'):
            self._data.interrupt()
        if lapse_leases:
            self._data.expire_all()
        return json_reply(self._faults._asdict())


def _entry_reply(entry: Entry, status: int = 200) -> Reply:
    headers = (('X-Version', str(entry.version)),)
    return Reply(status, entry.value or b'', headers)


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--port', type=int, required=True)
    args = parser.parse_args()
    serve_until_stopped(
        args.port,
        lambda: KeyValueService(time.monotonic).answer,
    )


if __name__ == '__main__':
    main()
