"""Errors of operators' actions on bundles."""

from typing import TYPE_CHECKING

from wasabicross.exceptions import WasabicrossError

if TYPE_CHECKING:
    from wasabicross.bundles.bundles import BundlePointer


class RolloutError(WasabicrossError):
    """Base of the errors of an operator's action: it was refused or failed."""


class UnknownBundle(RolloutError):
    """There is no draft with this digest."""


class BundleNotSigned(RolloutError):
    """The draft has not been signed off yet."""


class SignatureRefused(RolloutError):
    """The signature is invalid, or its key is not trusted."""


class RaceLost(RolloutError):
    """Another bundle came into force first.

    :param winner: pointer of the bundle in force.
    """

    def __init__(self, winner: 'BundlePointer') -> None:
        super().__init__(
            f'bundle {winner.number} ({winner.digest[:12]}) was rolled first '
            f'by {winner.rolled_by} at {winner.rolled_at}; prepare again',
        )
        self.winner = winner


class StillRolling(RolloutError):
    """The bundle in force has not reached every reachable data centre.

    :param number: number of the bundle in force.
    :param data_centres: reachable data centres without that bundle.
    """

    def __init__(self, number: int, data_centres: tuple[str, ...]) -> None:
        lagging = ', '.join(data_centres)
        super().__init__(
            f'bundle {number} has not reached {lagging} yet; '
            'wait, or supersede it',
        )
        self.data_centres = data_centres


class SpreadUnknown(RolloutError):
    """No instance has reported, so the progress of the roll is unknown."""


class StoreUnavailable(RolloutError):
    """The key-value service did not answer; the action may be repeated."""


class RollOutcomeUnknown(RolloutError):
    """The roll may have taken effect; repeating it is safe and shows that."""


class StoredDataMalformed(RolloutError):
    """Data in the key-value service can't be decoded or is inconsistent."""


class AlreadySuperseded(RolloutError):
    """The bundle was in force and has been replaced by another one.

    :param past: pointer of the bundle.
    :param winner: pointer of the bundle in force.
    """

    def __init__(self, past: 'BundlePointer', winner: 'BundlePointer') -> None:
        super().__init__(
            f'bundle {past.number} was rolled by {past.rolled_by} at '
            f'{past.rolled_at} and has been superseded by bundle '
            f'{winner.number}; prepare again to bring it back',
        )
        self.winner = winner
