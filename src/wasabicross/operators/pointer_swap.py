"""The write that brings a bundle into force, repeated if an answer is lost."""

from expression import Error, Ok, Result

from wasabicross.bundles.bundle_store import (
    BundleStore,
    StoredPointer,
    decode_current,
)
from wasabicross.bundles.bundles import BundlePointer
from wasabicross.bundles.errors import BundleNotFound
from wasabicross.bundles.manifests import encode_part
from wasabicross.bundles.rollout_errors import (
    RaceLost,
    RollOutcomeUnknown,
    RolloutError,
    StoredDataMalformed,
    StoreUnavailable,
)
from wasabicross.exceptions import WasabicrossError
from wasabicross.stores.errors import SwapConflict, SwapOutcomeUnknown
from wasabicross.stores.versioned import Versioned

_SWAP_ATTEMPTS = 3


class PointerSwap:
    """Moves the pointer to the bundle in force by compare-and-swap.

    It finds out which bundle came into force if a swap conflicts or its
    outcome is unknown.

    :param store: the bundles.
    """

    def __init__(self, store: BundleStore) -> None:
        self._store = store

    def move(
        self,
        current: StoredPointer,
        pointer: BundlePointer,
    ) -> Result[BundlePointer, RolloutError]:
        """Move the pointer from the one that was read.

        The replaced pointer is stored in the history before the swap, so that
        the history has no gaps. If the outcome of a swap is unknown, the same
        swap is repeated: because of the expected version only one of the two
        can take effect.
        Errors: RaceLost, RollOutcomeUnknown, StoreUnavailable,
        StoredDataMalformed.

        :param current: the pointer that was read, with its version.
        :param pointer: the pointer to the bundle that is to be in force.
        """
        stored = self._store_past(current.pointer)
        if stored.is_error():
            return Error(stored.error)
        is_outcome_unknown = False
        for _ in range(_SWAP_ATTEMPTS):
            swapped = self._store.swap_current(
                encode_part(pointer),
                current.version,
            )
            if swapped.is_ok():
                return Ok(pointer)
            exc = swapped.error
            if isinstance(exc, SwapConflict):
                return self._resolve_conflict(
                    pointer, exc.present, is_outcome_unknown
                )
            is_outcome_unknown = is_outcome_unknown or isinstance(
                exc, SwapOutcomeUnknown
            )
            if not is_outcome_unknown:
                return Error(StoreUnavailable(str(exc)))
        return Error(_outcome_unknown(exc))

    def _store_past(
        self,
        past: BundlePointer | None,
    ) -> Result[None, RolloutError]:
        if past is None:
            return Ok(None)
        stored = self._store.put_past_pointer(past.number, encode_part(past))
        if stored.is_error():
            return Error(StoreUnavailable(str(stored.error)))
        return Ok(None)

    def _resolve_conflict(
        self,
        pointer: BundlePointer,
        present: Versioned,
        is_outcome_unknown: bool,
    ) -> Result[BundlePointer, RolloutError]:
        decoded = decode_current(present)
        if decoded.is_error() or decoded.ok.pointer is None:
            return Error(StoredDataMalformed('the pointer is not readable'))
        winner = decoded.ok.pointer
        if winner.digest == pointer.digest:
            return Ok(winner)
        # The new pointer may have been in force and been replaced since.
        past = self._store.past_pointer(pointer.number)
        if past.is_ok() and past.ok.digest == pointer.digest:
            return Ok(past.ok)
        is_absent = past.is_ok() or isinstance(past.error, BundleNotFound)
        if is_outcome_unknown and not is_absent:
            return Error(_outcome_unknown(past.error))
        return Error(RaceLost(winner))


def _outcome_unknown(exc: WasabicrossError) -> RolloutError:
    return RollOutcomeUnknown(f'{exc}; repeat the action to learn more')
