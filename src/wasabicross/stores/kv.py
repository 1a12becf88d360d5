"""Client of the platform's key-value service.

Another protocol can be supported by another module with the same names. Every
call is sent once. The caller decides whether to repeat a call whose answer was
lost, as only the caller knows the effect of a second write.
"""

from expression import Error, Ok, Result
from prometheus_client import Counter
from urllib3 import BaseHTTPResponse

from wasabicross.stores.errors import (
    KeyValueError,
    KeyValueUnavailable,
    LeaseLapsed,
    LeaseOutcomeUnknown,
    SwapConflict,
    SwapOutcomeUnknown,
    ValueTooLarge,
)
from wasabicross.stores.single_call import (
    AnswerLost,
    NotSent,
    ServiceSettings,
    SingleAttemptClient,
)
from wasabicross.stores.versioned import Versioned

MS_PER_S = 1000

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_LARGE = 413
REFUSALS = frozenset((429, 503))

VERSION_HEADER = 'X-Version'

KEY_VALUE_CALLS = Counter(
    'wasabicross_key_value_calls',
    'Calls sent to the key-value service, by operation.',
    ['operation'],
)


class KeyValueStore:
    """Client of the platform's key-value service.

    Thread-safe. Each waiting watch uses a connection of its own.

    :param url: base URL of the service.
    :param timeout_s: time-out in seconds for the connection and for each read.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._client = SingleAttemptClient(url, timeout_s)

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> 'KeyValueStore':
        """Create a client from the settings of the service."""
        return cls(cfg.url, cfg.timeout_s)

    def get(self, key: str) -> Result[Versioned, KeyValueError]:
        """Read a key.

        :param key: the key.
        :returns: its state, or :class:`KeyValueUnavailable`.
        """
        return self._read('get', '/v1/key', {'key': key}, self._timeout_s)

    def watch(
        self,
        key: str,
        after_version: int,
        wait_s: float,
    ) -> Result[Versioned, KeyValueError]:
        """Wait until a key has another version, at most for `wait_s`.

        :param key: the key.
        :param after_version: the version already known, 0 for an absent key.
        :param wait_s: maximum wait in seconds.
        :returns: the state of the key after the wait, or
            :class:`KeyValueUnavailable`.
        """
        fields = {
            'key': key,
            'after': str(after_version),
            'wait_ms': _milliseconds(wait_s),
        }
        return self._read(
            'watch',
            '/v1/watch',
            fields,
            wait_s + self._timeout_s,
        )

    def compare_and_swap(
        self,
        key: str,
        value: bytes | None,
        expected_version: int,
        lease_id: str | None = None,
    ) -> Result[Versioned, KeyValueError]:
        """Write a key if it still has the expected version.

        :param key: the key.
        :param value: the new bytes, ``None`` to delete the key.
        :param expected_version: the version it must have, 0 if it must be
            absent.
        :param lease_id: id of a lease at whose end the key is deleted.
        :returns: the new state; :class:`SwapConflict`, :class:`LeaseLapsed`,
            :class:`ValueTooLarge` or :class:`KeyValueUnavailable` if the write
            was not applied; :class:`SwapOutcomeUnknown` if it may have been
            applied or may still be.
        """
        fields = {'key': key, 'expected': str(expected_version)}
        if lease_id is not None:
            fields['lease'] = lease_id
        method = 'DELETE' if value is None else 'PUT'
        KEY_VALUE_CALLS.labels('swap').inc()
        try:
            resp = self._client.send(method, '/v1/key', fields, value)
        except NotSent as exc:
            return Error(KeyValueUnavailable(str(exc)))
        except AnswerLost as exc:
            return Error(SwapOutcomeUnknown(str(exc)))
        return _swap_result(resp, key, value, lease_id)

    def grant_lease(self, ttl_s: float) -> Result[str, KeyValueError]:
        """Request a new lease.

        If the answer is lost, a granted lease expires unused.

        :param ttl_s: seconds after which it expires unless renewed.
        :returns: its id, or :class:`KeyValueUnavailable` or
            :class:`LeaseOutcomeUnknown`.
        """
        fields = {'ttl_ms': _milliseconds(ttl_s)}
        return self._lease_call('grant', 'POST', fields)

    def renew_lease(self, lease_id: str) -> Result[None, KeyValueError]:
        """Renew a lease for its full time to live.

        :param lease_id: id of the lease.
        :returns: ``None``, or :class:`LeaseLapsed`,
            :class:`KeyValueUnavailable` or :class:`LeaseOutcomeUnknown`.
        """
        renewed = self._lease_call('renew', 'PUT', {'lease': lease_id})
        return renewed.map(_discard)

    def revoke_lease(self, lease_id: str) -> Result[None, KeyValueError]:
        """End a lease and delete the keys written with it.

        :param lease_id: id of the lease.
        :returns: the same as :meth:`renew_lease`.
        """
        revoked = self._lease_call('revoke', 'DELETE', {'lease': lease_id})
        return revoked.map(_discard)

    def close(self) -> None:
        """Close all idle connections."""
        self._client.close()

    def _read(
        self,
        operation: str,
        path: str,
        fields: dict[str, str],
        timeout_s: float,
    ) -> Result[Versioned, KeyValueError]:
        KEY_VALUE_CALLS.labels(operation).inc()
        try:
            resp = self._client.send('GET', path, fields, timeout_s=timeout_s)
        except (NotSent, AnswerLost) as exc:
            return Error(KeyValueUnavailable(str(exc)))
        if resp.status != STATUS_OK:
            return Error(KeyValueUnavailable(f'status {resp.status}'))
        present = _versioned(resp, fields['key'])
        if present is None:
            return Error(KeyValueUnavailable('answer not understood'))
        return Ok(present)

    def _lease_call(
        self,
        operation: str,
        method: str,
        fields: dict[str, str],
    ) -> Result[str, KeyValueError]:
        KEY_VALUE_CALLS.labels(operation).inc()
        try:
            resp = self._client.send(method, '/v1/lease', fields)
        except NotSent as exc:
            return Error(KeyValueUnavailable(str(exc)))
        except AnswerLost as exc:
            return Error(LeaseOutcomeUnknown(str(exc)))
        if resp.status == STATUS_OK:
            return Ok(resp.data.decode('ascii', 'replace'))
        if resp.status == STATUS_NOT_FOUND:
            return Error(LeaseLapsed(fields.get('lease', '')))
        if resp.status in REFUSALS:
            return Error(KeyValueUnavailable(f'status {resp.status}'))
        return Error(LeaseOutcomeUnknown(f'status {resp.status}'))


def _swap_result(
    resp: BaseHTTPResponse,
    key: str,
    value: bytes | None,
    lease_id: str | None,
) -> Result[Versioned, KeyValueError]:
    if resp.status == STATUS_OK:
        return _swapped(resp, key, value)
    if resp.status == STATUS_CONFLICT:
        return _conflict(resp, key)
    if resp.status == STATUS_NOT_FOUND:
        return Error(LeaseLapsed(lease_id or ''))
    if resp.status == STATUS_TOO_LARGE:
        return Error(ValueTooLarge(f'{key}: {len(value or b"")} bytes'))
    if resp.status in REFUSALS:
        return Error(KeyValueUnavailable(f'status {resp.status}'))
    return Error(SwapOutcomeUnknown(f'status {resp.status}'))


def _swapped(
    resp: BaseHTTPResponse,
    key: str,
    value: bytes | None,
) -> Result[Versioned, KeyValueError]:
    version = _version(resp)
    if version is None:
        return Error(SwapOutcomeUnknown('answer not understood'))
    return Ok(Versioned(key, value, version))


def _conflict(
    resp: BaseHTTPResponse,
    key: str,
) -> Result[Versioned, KeyValueError]:
    present = _versioned(resp, key)
    if present is None:
        return Error(KeyValueUnavailable('conflict not understood'))
    return Error(SwapConflict(present))


def _versioned(resp: BaseHTTPResponse, key: str) -> Versioned | None:
    version = _version(resp)
    if version is None:
        return None
    return Versioned(key, resp.data if version else None, version)


def _version(resp: BaseHTTPResponse) -> int | None:
    text = resp.headers.get(VERSION_HEADER, '')
    return int(text) if text.isascii() and text.isdecimal() else None


def _milliseconds(duration_s: float) -> str:
    return str(round(duration_s * MS_PER_S))


def _discard(_answer: str) -> None:
    """Discard an answer without content."""
