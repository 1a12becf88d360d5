"""Whether an answer is complete where it ends.

A process that is killed has its connections closed in order, unless bytes are
unread. So the end of a connection ends an answer only if the process that sent it
is known to have lived on.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.answer_ends.end_proof import EndProof
from wasabicross.gateway.backend import BackendServer


class AnswerOrigin(NamedTuple):
    """Where an answer is from.

    :param server: the server, as it was listed when it was chosen.
    :param sent_s: when the request was sent to it, monotonic seconds.
    :param start_ms: start that the process behind its connection has reported,
        Unix milliseconds, 0 if it hasn't.
    """

    server: BackendServer
    sent_s: float
    start_ms: int = 0

    @property
    def known_start_ms(self) -> int:
        """Return the start of its process, by its entry if it told none."""
        return self.start_ms or self.server.start_ms


class LifeSign(NamedTuple):
    """What was learned of a server's process by asking it.

    :param start_ms: start that the process reported, Unix milliseconds, 0 for
        none.
    :param since_s: time since which that process is known to have been at its
        address, monotonic seconds, infinite if it isn't known.
    :param reason: why that may prove nothing, for the log.
    :param is_final: whether asking again can't tell more.
    """

    start_ms: int = 0
    since_s: float = math.inf
    reason: str = ''
    is_final: bool = False


class AnswerEnd(NamedTuple):
    """The last bytes of an answer whose connection hasn't been reset.

    :param is_stated: whether the answer states where it ends.
    :param is_empty: whether it has no content.
    :param is_inside_event: whether it is a stream that ends inside an event.
    """

    is_stated: bool
    is_empty: bool
    is_inside_event: bool = False


def why_broken(end: AnswerEnd, proof: EndProof) -> str:
    """Return why an answer isn't complete, empty if it is.

    :param end: its last bytes.
    :param proof: what shows that its server ended it.
    """
    if end.is_inside_event:
        return 'stream ended inside an event'
    if end.is_stated:
        return ''
    if end.is_empty:
        return 'connection ended before any content'
    if proof is EndProof.none:
        return 'nothing shows that the server outlived its answer'
    return ''


def needs_proof(end: AnswerEnd) -> bool:
    """Return whether it depends on the server if an answer is complete.

    :param end: its last bytes.
    """
    return bool(why_broken(end, EndProof.none)) and not why_broken(
        end, EndProof.same_start
    )


def proof_by(sign: LifeSign, origin: AnswerOrigin) -> EndProof:
    """Return what a sign of life proves of an answer that ended before it.

    An address belongs to one process at a time. So a process that was there
    before the request was sent and after its answer ended has given that answer.

    :param sign: the sign of life.
    :param origin: where the answer is from.
    """
    if sign.start_ms and sign.start_ms == origin.known_start_ms:
        return EndProof.same_start
    if sign.since_s <= origin.sent_s:
        return EndProof.same_process
    return EndProof.none
