"""The proof that a request hasn't run, without which no caller is told so."""

from __future__ import annotations

import enum

from wasabicross.gateway.errors import MayHaveRun
from wasabicross.gateway.progress import RequestProgress


class Ground(enum.Enum):
    """How it is known that a request hasn't run.

    `never_sent`: no byte of it has left. `stated`: each server and gateway that
    was asked, if it could be reached, has stated that it hasn't run there.
    """

    never_sent = 'never sent'
    stated = 'stated'


class NotRunProof:
    """Shows that a request hasn't run and never will.

    :param progress: outcomes of the request at all servers and gateways.
    :raises MayHaveRun: one of them has the request, or may have run it.
    """

    def __init__(self, progress: RequestProgress) -> None:
        if progress.may_run:
            raise MayHaveRun(f'{progress.runs} servers have the request')
        has_left = progress.sends or progress.was_at_peer
        self.ground = Ground.stated if has_left else Ground.never_sent


def prove_not_run(progress: RequestProgress) -> NotRunProof | None:
    """Return the proof that a request hasn't run, None if there is none.

    :param progress: outcomes of the request at all servers and gateways.
    """
    return None if progress.may_run else NotRunProof(progress)
