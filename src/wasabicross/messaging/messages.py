"""The messages between the system's own processes and their CBOR codec."""

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


#: Position is the code on the wire: append only.
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

_CODES = {kind: code for code, kind in enumerate(MESSAGES)}

#: Marks of an envelope: sent one way, asking for a reply, the reply.
ONE_WAY = 0
REQUEST = 1
REPLY = 2


class Envelope(NamedTuple):
    """A message with the mark and number that pair requests and replies."""

    kind: int
    call_id: int
    message: Any


@lru_cache(maxsize=None)
def _adapter(kind: type) -> TypeAdapter[Any]:
    return TypeAdapter(kind)


def encode(envelope: Envelope) -> bytes:
    """Return the CBOR bytes of an envelope.

    :param envelope: a mark, a call number and a message of the protocol.
    """
    code = _CODES[type(envelope.message)]
    return cbor2.dumps(
        [envelope.kind, envelope.call_id, code, list(envelope.message)],
    )


def decode(frame: bytes | str) -> Result[Envelope, MessageMalformed]:
    """Return the envelope in received bytes, checked field by field.

    :param frame: one whole websocket message.
    """
    if isinstance(frame, str):
        return Error(MessageMalformed('text frame'))
    try:
        mark, call_id, code, fields = cbor2.loads(frame)
    except (cbor2.CBORError, TypeError, ValueError) as exc:
        return Error(MessageMalformed(f'not an envelope: {exc}'))
    try:
        message = _adapter(MESSAGES[code]).validate_python(tuple(fields))
    except ValidationError as invalid:
        return Error(MessageMalformed(f'{invalid.error_count()} bad fields'))
    except (LookupError, TypeError) as unknown:
        return Error(MessageMalformed(f'unknown message: {unknown}'))
    if mark not in {ONE_WAY, REQUEST, REPLY} or not isinstance(call_id, int):
        return Error(MessageMalformed('envelope'))
    return Ok(Envelope(mark, call_id, message))
