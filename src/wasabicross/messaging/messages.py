"""The messages between the processes of a deployment and their CBOR codec."""

from functools import lru_cache
from typing import Any, NamedTuple

import cbor2
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from wasabicross.messaging.bundle_messages import (
    Blob,
    BundleInForce,
    BundleOffered,
    GetChunk,
    GetManifest,
    GetStatus,
    InstanceReport,
    Status,
)
from wasabicross.messaging.claim_messages import (
    ClaimAnswer,
    ClaimKey,
    HoldersLost,
    SettleKey,
)
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.messaging.link_messages import (
    Done,
    Goodbye,
    Hello,
    Refusal,
    Running,
    Welcome,
)
from wasabicross.messaging.load_messages import (
    CloseLoad,
    CloseRefused,
    LoadDrained,
    LoadMissing,
    LoadsForgotten,
    LoadsGone,
    LoadsOpened,
    LoadsSnapshot,
    LoadUse,
    LoadUses,
    ServerReport,
)
from wasabicross.messaging.load_request_messages import (
    LoadDeclined,
    LoadWanted,
    PermitGranted,
    PermitLoad,
    PermitReturned,
    WantLoad,
)
from wasabicross.messaging.server_messages import (
    FleetUpdate,
    Grant,
    OwnedServers,
    Renew,
    Renewed,
    ServerInfo,
    ServerLoad,
    ServerTerm,
    UseGranted,
)
from wasabicross.messaging.suspect_messages import (
    EndTrial,
    SuspectRecords,
    SuspectRunning,
    TakeTrial,
    TrialAnswer,
    TrialLost,
)

__all__ = (
    'Blob',
    'BundleInForce',
    'BundleOffered',
    'ClaimAnswer',
    'ClaimKey',
    'CloseLoad',
    'CloseRefused',
    'Done',
    'EndTrial',
    'Envelope',
    'FleetUpdate',
    'GetChunk',
    'GetManifest',
    'GetStatus',
    'Goodbye',
    'Grant',
    'Hello',
    'HoldersLost',
    'InstanceReport',
    'LoadDeclined',
    'LoadDrained',
    'LoadMissing',
    'LoadUse',
    'LoadUses',
    'LoadWanted',
    'LoadsForgotten',
    'LoadsGone',
    'LoadsOpened',
    'LoadsSnapshot',
    'MESSAGES',
    'ONE_WAY',
    'OwnedServers',
    'PermitGranted',
    'PermitLoad',
    'PermitReturned',
    'REPLY',
    'REQUEST',
    'Refusal',
    'Renew',
    'Renewed',
    'Running',
    'ServerInfo',
    'ServerLoad',
    'ServerReport',
    'ServerTerm',
    'SettleKey',
    'Status',
    'SuspectRecords',
    'SuspectRunning',
    'TakeTrial',
    'TrialAnswer',
    'TrialLost',
    'UseGranted',
    'WantLoad',
    'Welcome',
    'decode',
    'encode',
)


#: The position of a type is its code on the wire: only append to the table.
MESSAGES: tuple[type, ...] = (
    Hello,
    Welcome,
    Refusal,
    Done,
    Goodbye,
    FleetUpdate,
    OwnedServers,
    LoadsOpened,
    LoadsSnapshot,
    LoadsForgotten,
    LoadsGone,
    ServerReport,
    CloseLoad,
    CloseRefused,
    LoadDrained,
    Renew,
    Renewed,
    UseGranted,
    WantLoad,
    LoadWanted,
    LoadDeclined,
    LoadUses,
    LoadMissing,
    BundleOffered,
    BundleInForce,
    GetManifest,
    GetChunk,
    Blob,
    GetStatus,
    Status,
    ClaimKey,
    ClaimAnswer,
    SettleKey,
    SuspectRecords,
    PermitLoad,
    PermitGranted,
    PermitReturned,
    HoldersLost,
    TakeTrial,
    TrialLost,
    TrialAnswer,
    EndTrial,
    SuspectRunning,
)

_CODES = {message_type: code for code, message_type in enumerate(MESSAGES)}

#: Kinds of envelopes: a message without a reply, a request, a reply.
ONE_WAY = 0
REQUEST = 1
REPLY = 2


class Envelope(NamedTuple):
    """A message with what is needed to pair requests and replies.

    :param kind: `ONE_WAY`, `REQUEST` or `REPLY`.
    :param call_id: call number of a request and of its reply, else 0.
    """

    kind: int
    call_id: int
    message: Any


@lru_cache(maxsize=None)
def _validator(message_type: type) -> TypeAdapter[Any]:
    return TypeAdapter(message_type)


def encode(envelope: Envelope) -> bytes:
    """Return the CBOR bytes of an envelope.

    :param envelope: the envelope, with a message of the protocol.
    """
    code = _CODES[type(envelope.message)]
    return cbor2.dumps(
        [envelope.kind, envelope.call_id, code, list(envelope.message)],
    )


def decode(frame: bytes | str) -> Result[Envelope, MessageMalformed]:
    """Decode an envelope and validate each field of its message.

    :param frame: one complete websocket message.
    """
    if isinstance(frame, str):
        return Error(MessageMalformed('text frame instead of binary'))
    try:
        kind, call_id, code, fields = cbor2.loads(frame)
    except (cbor2.CBORError, TypeError, ValueError) as exc:
        return Error(MessageMalformed(f'not an envelope: {exc}'))
    fault = _envelope_fault(kind, call_id, code)
    if fault:
        return Error(MessageMalformed(f'invalid envelope: {fault}'))
    return _message(code, fields).map(
        lambda message: Envelope(kind, call_id, message)
    )


def _envelope_fault(kind: Any, call_id: Any, code: Any) -> str:
    """Return what is wrong with the numbers of an envelope, '' for nothing."""
    for number in (kind, call_id, code):
        if isinstance(number, bool) or not isinstance(number, int):
            return 'kind, call number or message type is not a number'
    if kind not in {ONE_WAY, REQUEST, REPLY}:
        return f'unknown kind {kind}'
    if not 0 <= code < len(MESSAGES):
        return f'unknown message type {code}'
    return ''


def _message(code: int, fields: Any) -> Result[Any, MessageMalformed]:
    """Return the message of a type after validating its fields."""
    name = MESSAGES[code].__name__
    if not isinstance(fields, list):
        return Error(MessageMalformed(f'{name}: fields are not a list'))
    try:
        message = _validator(MESSAGES[code]).validate_python(tuple(fields))
    except ValidationError as exc:
        count = exc.error_count()
        return Error(MessageMalformed(f'{name}: {count} invalid fields'))
    return Ok(message)
