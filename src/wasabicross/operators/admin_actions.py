"""The actions that operators request by the administration API."""

import base64
from collections.abc import Sequence
from datetime import datetime
from functools import partial
from typing import Any, NamedTuple

import pydantic
from expression import Error, Ok, Result

from wasabicross.bundles.bundle_changes import count_changes
from wasabicross.bundles.bundle_cleaner import BundleCleaner
from wasabicross.bundles.bundle_file import parse_bundle_file
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.bundles import BundlePointer
from wasabicross.bundles.drafts import Drafts, PreparedDraft, store_error
from wasabicross.bundles.holder import trusted_keys
from wasabicross.bundles.rollout_errors import RolloutError
from wasabicross.callers.replies import Fault
from wasabicross.exceptions import WasabicrossError
from wasabicross.operators.admin_errors import BAD_BODY, BAD_QUERY
from wasabicross.operators.bundle_status import (
    MAX_STATUS_AGE_S,
    DataCentreStatus,
    StatusSource,
    data_centre_statuses,
    max_status_age_s,
)
from wasabicross.operators.rollout import Rollout
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.settings import Settings

DEFAULT_HISTORY = 20
MAX_HISTORY = 1000

ActionResult = Result[dict[str, Any], Fault | WasabicrossError]


class AdminRequest(NamedTuple):
    """A request of an operator.

    :param operator: name of the operator.
    :param digest: digest of the bundle in the path, empty if there is none.
    :param number: integer in the query, None if there is none.
    :param body: the complete body.
    :param now: UTC time at which the request was received.
    """

    operator: str
    digest: str
    number: int | None
    body: bytes
    now: datetime


class SignatureBody(pydantic.BaseModel):
    """The body of a sign-off.

    :param key: name of the key.
    :param signature: the signature in hexadecimal.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    key: str
    signature: str


class AdminActions:
    """Carries out the requests of operators.

    :param store: the bundles.
    :param drafts: prepares bundles and attaches signatures to them.
    :param rollout: rolls and supersedes bundles.
    :param source: the bundle status of each instance.
    :param data_centres: all data centres.
    :param max_age_s: seconds since its last report up to which an
        instance counts as reachable.
    """

    def __init__(
        self,
        store: BundleStore,
        drafts: Drafts,
        rollout: Rollout,
        source: StatusSource,
        data_centres: Sequence[str],
        max_age_s: float = MAX_STATUS_AGE_S,
    ) -> None:
        self._store = store
        self._drafts = drafts
        self._rollout = rollout
        self._source = source
        self._summarise = partial(
            data_centre_statuses,
            data_centres=data_centres,
            max_age_s=max_age_s,
        )
        self._cleaner = BundleCleaner(store)

    @classmethod
    def from_config(
        cls,
        cfg: Settings,
        store: BundleStore,
        source: StatusSource,
    ) -> 'AdminActions':
        """Create the actions with the trusted keys of the settings.

        :param cfg: the settings.
        :param store: the bundles.
        :param source: the bundle status of each instance.
        """
        keys = trusted_keys(cfg.trusted_keys)
        return cls(
            store,
            Drafts(store, keys),
            Rollout(store, keys),
            source,
            cfg.data_centres,
            max_status_age_s(cfg.servers.use_lease_s),
        )

    def prepare(self, req: AdminRequest) -> ActionResult:
        """Prepare the bundle file in the body as a draft.

        :param req: the request.
        """
        try:
            text = req.body.decode()
        except UnicodeDecodeError:
            return Error(BAD_BODY)
        parsed = parse_bundle_file(text)
        if parsed.is_error():
            return Error(parsed.error)
        prepared = self._drafts.prepare(parsed.ok, req.operator, req.now)
        if prepared.is_error():
            return Error(prepared.error)
        log_event(
            Event.BUNDLE_PREPARED,
            bundle=prepared.ok.manifest.number,
            digest=prepared.ok.digest,
            operator=req.operator,
        )
        return self._draft_answer(prepared.ok)

    def show(self, req: AdminRequest) -> ActionResult:
        """Return a draft and a summary of its changes.

        :param req: the request.
        """
        prepared = self._drafts.prepared(req.digest)
        if prepared.is_error():
            return Error(prepared.error)
        return self._draft_answer(prepared.ok)

    def sign_off(self, req: AdminRequest) -> ActionResult:
        """Attach the signature in the body to a draft.

        :param req: the request.
        """
        try:
            signature_body = SignatureBody.model_validate_json(req.body)
            signature = bytes.fromhex(signature_body.signature)
        except ValueError:
            return Error(BAD_BODY)
        signed = self._drafts.sign_off(
            req.digest, signature_body.key, signature
        )
        if signed.is_error():
            return Error(signed.error)
        key = signed.ok.key_name
        log_event(
            Event.BUNDLE_SIGNED,
            digest=req.digest,
            operator=req.operator,
            key=key,
        )
        return Ok({'digest': req.digest, 'signed_by': key})

    def roll(self, req: AdminRequest) -> ActionResult:
        """Roll a signed bundle if the one in force has propagated.

        :param req: the request.
        """
        rolled = self._rollout.roll(
            req.digest,
            req.operator,
            req.now,
            self._statuses,
        )
        return self._roll_answer(req, 'roll', rolled)

    def supersede(self, req: AdminRequest) -> ActionResult:
        """Replace the bundle in force, even if it has not propagated.

        The query gives the number of the bundle to be replaced.

        :param req: the request.
        """
        if req.number is None:
            return Error(BAD_QUERY)
        rolled = self._rollout.supersede(
            req.digest,
            req.number,
            req.operator,
            req.now,
        )
        return self._roll_answer(req, 'supersede', rolled)

    def status(self, req: AdminRequest) -> ActionResult:
        """Return which bundle is in force, and its state in each data centre.

        While the key-value service is unreachable, the bundle with the
        highest number that an instance reports counts as the one in force.

        :param req: the request.
        """
        current = self._rollout.current()
        pointer = (
            current.ok.pointer if current.is_ok() else self._highest_reported()
        )
        in_force = None
        if pointer:
            prepared = self._drafts.prepared(pointer.digest)
            name = prepared.ok.manifest.name if prepared.is_ok() else ''
            in_force = {**pointer._asdict(), 'name': name}
        return Ok(
            {
                'in_force': in_force,
                'store_reachable': current.is_ok(),
                'data_centres': [
                    status._asdict() for status in self._statuses(pointer)
                ],
            }
        )

    def history(self, req: AdminRequest) -> ActionResult:
        """Return the current and the past bundles, the current one first.

        :param req: the request.
        """
        limit = min(req.number or DEFAULT_HISTORY, MAX_HISTORY)
        pointers = self._rollout.history(limit)
        if pointers.is_error():
            return Error(pointers.error)
        return Ok({'bundles': [past._asdict() for past in pointers.ok]})

    def _statuses(
        self,
        pointer: BundlePointer | None,
    ) -> tuple[DataCentreStatus, ...]:
        return self._summarise(pointer, self._source.instances())

    def _highest_reported(self) -> BundlePointer | None:
        pointers = [
            BundlePointer(each.bundle_number, each.bundle_digest, '', '')
            for each in self._source.instances()
            if each.bundle_number
        ]
        return max(pointers, default=None)

    def _draft_answer(self, prepared: PreparedDraft) -> ActionResult:
        manifest = prepared.manifest
        signed_by = self._drafts.signed_by(prepared.digest)
        if signed_by.is_error():
            return Error(signed_by.error)
        parent = None
        if manifest.parent:
            parent_draft = self._drafts.prepared(manifest.parent)
            if parent_draft.is_error():
                return Error(parent_draft.error)
            parent = parent_draft.ok.manifest
        changes = count_changes(parent, manifest, self._store.parts_of)
        if changes.is_error():
            return Error(store_error(changes.error))
        return Ok(
            {
                'digest': prepared.digest,
                'number': manifest.number,
                'parent': manifest.parent,
                'name': manifest.name,
                'changes': changes.ok._asdict(),
                'prepared_by': prepared.draft.prepared_by,
                'prepared_at': prepared.draft.prepared_at,
                'signed_by': signed_by.ok,
                'manifest': base64.b64encode(prepared.draft.manifest).decode(),
            }
        )

    def _roll_answer(
        self,
        req: AdminRequest,
        action: str,
        rolled: Result[BundlePointer, RolloutError],
    ) -> ActionResult:
        if rolled.is_error():
            log_event(
                Event.ROLL_REFUSED,
                digest=req.digest,
                operator=req.operator,
                action=action,
                reason=rolled.error,
            )
            return Error(rolled.error)
        log_event(
            Event.BUNDLE_ROLLED,
            bundle=rolled.ok.number,
            digest=req.digest,
            operator=req.operator,
            action=action,
        )
        self._cleaner.start(rolled.ok.number)
        return Ok({**rolled.ok._asdict()})
