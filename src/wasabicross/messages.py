"""The messages between the system's own processes and their CBOR codec."""

from functools import lru_cache
from typing import Any, NamedTuple

import cbor2
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from wasabicross.exceptions import MessageMalformed
from wasabicross.suspect_records import SuspectRecord


class ServerTerm(NamedTuple):
    """The highest ownership term known of a backend server."""

    server_id: str
    term: int


class Running(NamedTuple):
    """How many requests run on a load."""

    load_name: str
    requests: int


class ServerInfo(NamedTuple):
    """What an entry needs to know of a backend server."""

    server_id: str
    kind: str
    group: str
    data_centre: str
    host: str
    port: int
    state: str
    base_model: str


class Hello(NamedTuple):
    """Opens a link: who dials, and what its requests use just now.

    :param kind: `entry`, `controller` or `admin`.
    :param running: requests in progress on each load, told by entries.
    :param closed: loads that the sender has closed for ever.
    """

    kind: str
    name: str
    instance_id: str
    data_centre: str
    token: str
    running: list[Running]
    closed: list[str]
    opened: list[str]


class Welcome(NamedTuple):
    """Answers a hello that was accepted."""

    instance_id: str


class Refusal(NamedTuple):
    """Answers a request that is refused, with a stable code."""

    code: str
    message: str


class Done(NamedTuple):
    """Answers a request that needs no more than its completion."""


class Goodbye(NamedTuple):
    """Announces an orderly stop: nothing of the sender runs any more."""


class FleetUpdate(NamedTuple):
    """Tells an entry all backend servers that the instance list shows.

    :param need_grant: servers whose loads may be used only while granted.
    """

    servers: list[ServerInfo]
    need_grant: list[str]


class OwnedServers(NamedTuple):
    """Tells which backend servers the sender owns, each with its term."""

    servers: list[ServerTerm]


class LoadsOpened(NamedTuple):
    """Tells loads that requests may use from now on.

    :param server: the server that holds them, with its owner's term.
    """

    server: ServerTerm
    load_names: list[str]


class LoadsSnapshot(NamedTuple):
    """Tells all loads of a server that requests may use, and no others.

    :param server: the server that holds them, with its owner's term.
    """

    server: ServerTerm
    load_names: list[str]


class LoadsForgotten(NamedTuple):
    """Tells entries loads that may not be used until they are told again."""

    load_names: list[str]


class LoadsGone(NamedTuple):
    """Tells loads that their server holds no longer."""

    load_names: list[str]


class ServerReport(NamedTuple):
    """Tells a new owner what the sender knows of the server's loads.

    :param server: the server and the owner's term that this answers.
    :param opened: loads that requests of the sender may use.
    :param closed: loads that the sender has closed for ever.
    """

    server: ServerTerm
    opened: list[str]
    closed: list[str]


class CloseLoad(NamedTuple):
    """Asks for consent to evict a load."""

    server_id: str
    load_name: str
    term: int


class CloseRefused(NamedTuple):
    """Refuses consent since a later owner of the server is known."""

    load_name: str
    server: ServerTerm


class LoadDrained(NamedTuple):
    """Consents: the load is closed for ever and no request runs on it."""

    load_name: str


class Renew(NamedTuple):
    """Asks to go on using the receiver's servers; a heartbeat as well.

    :param number: the bundle in force at every entry of the sender.
    :param digest: hex digest of that bundle's manifest.
    :param since: ISO time at which it came into force there.
    """

    number: int
    digest: str
    since: str


class ServerLoad(NamedTuple):
    """How busy an engine was at its last report.

    :param running: requests in its batch.
    :param waiting: requests that wait for a place in the batch.
    :param batch_size: places in the batch, 0 while unknown.
    :param age_s: seconds since the report was true.
    :param confirmed_age_s: seconds since it was certain that the server had
        no later owner.
    """

    server_id: str
    running: int
    waiting: int
    batch_size: int
    age_s: float
    confirmed_age_s: float


class Renewed(NamedTuple):
    """Grants the use of servers, counted from when it was asked for.

    :param servers: servers that the sender owns.
    :param confirmed: servers that the asker owns, as the sender knows it.
    :param listed: whether the sender's list shows the asker.
    """

    servers: list[ServerLoad]
    confirmed: list[ServerTerm]
    listed: bool


class Grant(NamedTuple):
    """How long an entry may use the loads of a server.

    :param until_s: monotonic clock of the instance, in seconds.
    """

    server_id: str
    until_s: float


class UseGranted(NamedTuple):
    """Tells entries how long loads may be used, and how busy servers are."""

    grants: list[Grant]
    loads: list[ServerLoad]


class WantLoad(NamedTuple):
    """Asks for an adapter version to be loaded on some server."""

    adapter: str
    version: str
    base_model: str
    group: str
    request_class: str
    waiting: int
    tried: list[str]


class LoadWanted(NamedTuple):
    """Passes a want on to the owner of the server chosen for it."""

    server_id: str
    want: WantLoad


class LoadDeclined(NamedTuple):
    """Tells that a server can't take the load, for the time given."""

    server_id: str
    adapter: str
    version: str
    retry_after_s: float


class LoadUse(NamedTuple):
    """How one entry uses a load.

    :param started: requests started since the last message.
    :param running: requests running now.
    """

    load_name: str
    started: int
    running: int


class LoadUses(NamedTuple):
    """Tells the owner of loads how an entry uses them.

    :param source: instance and name of the entry.
    """

    source: str
    uses: list[LoadUse]


class LoadMissing(NamedTuple):
    """Tells the owner that its server denied holding a load."""

    server_id: str
    load_name: str


class BundleOffered(NamedTuple):
    """Tells the pointer of the bundle that the sender has in force."""

    number: int
    digest: str
    rolled_at: str
    rolled_by: str


class BundleInForce(NamedTuple):
    """Tells the bundle that a process has put in force, and since when."""

    number: int
    digest: str
    since: str


class GetManifest(NamedTuple):
    """Asks for the signed manifest of a bundle."""

    digest: str


class GetChunk(NamedTuple):
    """Asks for a part of a bundle's adapters table."""

    digest: str


class Blob(NamedTuple):
    """Answers with content-addressed bytes."""

    content: bytes


class GetStatus(NamedTuple):
    """Asks what is in force at every instance that the receiver knows."""


class InstanceReport(NamedTuple):
    """What one instance has in force, as last heard."""

    instance_id: str
    data_centre: str
    bundle_number: int
    bundle_digest: str
    in_force_since: str
    last_heard_s: float


class Status(NamedTuple):
    """Answers a status question."""

    instances: list[InstanceReport]


class ClaimKey(NamedTuple):
    """Claims an idempotency key before a request is dispatched."""

    tenant: str
    key: str
    request_digest: str
    holder: str


class ClaimAnswer(NamedTuple):
    """Answers a claim.

    :param state: the state of the key as a stable word.
    :param answer: the completed answer where it is kept, else empty.
    :param retry_after_s: seconds until a repeat makes sense.
    """

    state: str
    status: int
    content_type: str
    answer: bytes
    retry_after_s: float


class SettleKey(NamedTuple):
    """Tells the outcome of a claimed request."""

    tenant: str
    key: str
    holder: str
    outcome: str
    status: int
    content_type: str
    answer: bytes


class SuspectRecords(NamedTuple):
    """Passes on what is known of requests that crash servers.

    :param records: standings that have changed.
    """

    records: list[SuspectRecord]


class PermitLoad(NamedTuple):
    """Asks the holder of the budget for a permit to load.

    :param waiting: requests that wait for the load.
    :param waited_s: seconds that the first of them has waited.
    """

    server_id: str
    data_centre: str
    adapter: str
    version: str
    waiting: int
    waited_s: float


class PermitGranted(NamedTuple):
    """Permits one load from the weight store."""

    server_id: str
    adapter: str
    version: str


class PermitReturned(NamedTuple):
    """Gives a permit back when the load has ended.

    :param loaded: whether the server holds it now.
    :param used: whether the load was tried at all.
    """

    server_id: str
    data_centre: str
    adapter: str
    version: str
    loaded: bool
    used: bool = True


class TakeTrial(NamedTuple):
    """Asks for a permit to try a suspect request.

    :param server_id: the server; empty for the permit of the request itself.
    :param request: the request's fingerprint.
    :param process: names the trial.
    """

    server_id: str
    request: bytes
    process: str


class TrialLost(NamedTuple):
    """Asks whether a suspect was the only one on a server that was lost.

    :param server_id: the server.
    :param request: the request's fingerprint.
    :param process: names the trial.
    """

    server_id: str
    request: bytes
    process: str


class TrialAnswer(NamedTuple):
    """Answers a question about a trial."""

    agreed: bool


class EndTrial(NamedTuple):
    """Gives a permit back, or ends what `SuspectRunning` told."""

    server_id: str
    request: bytes
    process: str


class SuspectRunning(NamedTuple):
    """Tells that a request became suspect while it ran on a server."""

    server_id: str
    request: bytes
    process: str


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

    mark: int
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
        [envelope.mark, envelope.call_id, code, list(envelope.message)],
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
