"""Operators' actions that bring bundles into force: roll and supersede.

To roll a bundle is to bring it into force after the one in force has
propagated; to supersede a bundle is to replace it without that wait. Each
action may be repeated: a bundle that is already in force is a success. The
pointer moves only by compare-and-swap, from the parent that the manifest
names.
"""

from collections.abc import Callable, Mapping
from datetime import datetime

from expression import Error, Ok, Result
from nacl.signing import VerifyKey

from wasabicross.bundles.bundle_store import BundleStore, StoredPointer
from wasabicross.bundles.bundles import BundlePointer, Manifest
from wasabicross.bundles.drafts import (
    draft_error,
    next_number_and_parent,
    store_error,
)
from wasabicross.bundles.errors import (
    BundleError,
    BundleNotFound,
    BundleUntrusted,
)
from wasabicross.bundles.manifests import verify_signed
from wasabicross.bundles.rollout_errors import (
    AlreadySuperseded,
    BundleNotSigned,
    RaceLost,
    RolloutError,
    SignatureRefused,
    SpreadUnknown,
    StillRolling,
    StoredDataMalformed,
    UnknownBundle,
)
from wasabicross.operators.bundle_status import (
    DataCentreStatus,
    lagging_data_centres,
)
from wasabicross.operators.pointer_swap import PointerSwap

StatusesOf = Callable[[BundlePointer], tuple[DataCentreStatus, ...]]


class Rollout:
    """Rolls and supersedes the bundles of the key-value service.

    :param store: the bundles.
    :param trusted_keys: trusted public keys by name.
    """

    def __init__(
        self,
        store: BundleStore,
        trusted_keys: Mapping[str, VerifyKey],
    ) -> None:
        self._store = store
        self._trusted_keys = trusted_keys
        self._pointer_swap = PointerSwap(store)

    def roll(
        self,
        digest: str,
        operator: str,
        now: datetime,
        statuses_of: StatusesOf,
    ) -> Result[BundlePointer, RolloutError]:
        """Bring a signed bundle into force if the one in force has propagated.

        Errors: those of :meth:`supersede`, StillRolling, SpreadUnknown.

        :param digest: digest of the bundle.
        :param operator: name of the operator.
        :param now: present time, UTC.
        :param statuses_of: returns the status of each data centre for a bundle.
        """
        current = self.current()
        if current.is_error():
            return Error(current.error)
        pointer = current.ok.pointer
        if pointer and pointer.digest == digest:
            return Ok(pointer)
        manifest = self._check_rollable(digest, current.ok)
        if manifest.is_error():
            return Error(manifest.error)
        if pointer:
            error = _propagation_error(pointer, statuses_of(pointer))
            if error:
                return Error(error)
        new_pointer = BundlePointer(
            manifest.ok.number,
            digest,
            now.isoformat(),
            operator,
        )
        return self._pointer_swap.move(current.ok, new_pointer)

    def supersede(
        self,
        digest: str,
        number: int,
        operator: str,
        now: datetime,
    ) -> Result[BundlePointer, RolloutError]:
        """Replace the bundle in force, even if it has not propagated yet.

        Errors: UnknownBundle, BundleNotSigned, SignatureRefused, RaceLost,
        AlreadySuperseded, RollOutcomeUnknown, StoreUnavailable,
        StoredDataMalformed.

        :param digest: digest of the bundle that replaces it.
        :param number: number of the bundle to be replaced.
        :param operator: name of the operator.
        :param now: present time, UTC.
        """
        current = self.current()
        if current.is_error():
            return Error(current.error)
        pointer = current.ok.pointer
        if pointer is None:
            return Error(UnknownBundle('no bundle is in force yet; roll one'))
        if pointer[:2] == (number + 1, digest):
            return Ok(pointer)
        manifest = self._check_rollable(digest, current.ok)
        if manifest.is_error():
            return Error(manifest.error)
        if pointer.number != number:
            return Error(RaceLost(pointer))
        new_pointer = BundlePointer(
            number + 1, digest, now.isoformat(), operator
        )
        return self._pointer_swap.move(current.ok, new_pointer)

    def current(self) -> Result[StoredPointer, RolloutError]:
        """Return the pointer of the bundle in force, with its version.

        Errors: StoreUnavailable, StoredDataMalformed.
        """
        return self._store.current().map_error(store_error)

    def history(
        self,
        limit: int,
    ) -> Result[tuple[BundlePointer, ...], RolloutError]:
        """Return the current and the past pointers, the current one first.

        :param limit: maximum number of pointers.
        """
        current = self.current()
        if current.is_error():
            return Error(current.error)
        pointer = current.ok.pointer
        if pointer is None:
            return Ok(())
        pointers = [pointer]
        oldest = max(pointer.number - limit, 0)
        for number in range(pointer.number - 1, oldest, -1):
            past = self._store.past_pointer(number)
            if past.is_error():
                return Error(store_error(past.error))
            pointers.append(past.ok)
        return Ok(tuple(pointers))

    def _check_rollable(
        self,
        digest: str,
        current: StoredPointer,
    ) -> Result[Manifest, RolloutError]:
        signed = self._store.manifest(digest)
        if signed.is_error():
            return Error(self._no_manifest_error(signed.error, digest))
        verified = verify_signed(signed.ok, digest, self._trusted_keys)
        if verified.is_error():
            return Error(_signature_error(verified.error))
        manifest = verified.ok
        if (manifest.number, manifest.parent) == next_number_and_parent(
            current.pointer
        ):
            return Ok(manifest)
        return Error(self._conflict_error(digest, manifest, current))

    def _conflict_error(
        self,
        digest: str,
        manifest: Manifest,
        current: StoredPointer,
    ) -> RolloutError:
        winner = current.pointer
        if winner is None:
            return StoredDataMalformed('the pointer in force has vanished')
        past = self._store.past_pointer(manifest.number)
        if past.is_ok() and past.ok.digest == digest:
            return AlreadySuperseded(past.ok, winner)
        if past.is_ok() or isinstance(past.error, BundleNotFound):
            return RaceLost(winner)
        return store_error(past.error)

    def _no_manifest_error(self, exc: BundleError, digest: str) -> RolloutError:
        if not isinstance(exc, BundleNotFound):
            return store_error(exc)
        draft = self._store.draft(digest)
        if draft.is_error():
            return draft_error(draft.error, digest)
        return BundleNotSigned('sign the bundle off first')


def _propagation_error(
    pointer: BundlePointer,
    statuses: tuple[DataCentreStatus, ...],
) -> RolloutError | None:
    if not any(status.reachable for status in statuses):
        return SpreadUnknown(
            f'no instance was heard of, so bundle {pointer.number} may still '
            'be rolling; wait, or supersede it',
        )
    lagging = lagging_data_centres(statuses)
    return StillRolling(pointer.number, lagging) if lagging else None


def _signature_error(exc: BundleError) -> RolloutError:
    if isinstance(exc, BundleUntrusted):
        return SignatureRefused(str(exc))
    return store_error(exc)
