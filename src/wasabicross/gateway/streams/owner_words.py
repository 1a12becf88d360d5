"""Asks owners whether they know another software version of a service.

A division changes only by a write of an owner, or of any gateway while there is
no owner. The writer lists the servers of a version before it gives them
buckets. So if all other owners know one version only, no stream has begun at
another one, whether the store answers or not.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeAlias

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.stream_messages import StreamAnswer
from wasabicross.gateway.streams.service_versions import versions_digest

#: Longest wait for the answers of owners.
QUERY_TIMEOUT_S = 0.15

#: Least interval between two rounds of questions on a service.
_MIN_INTERVAL_S = 0.01
_INTERVAL_PER_GATEWAY_S = 0.00025

#: The answer of each other owner, None where none came.
Answers: TypeAlias = Sequence[StreamAnswer | None]
AskOwners: TypeAlias = Callable[[bytes], Awaitable[Answers]]


class Word(enum.Enum):
    """What the other owners tell of the versions of a service.

    `same`: all know the given version alone. `other`: one knows others.
    `partial`: no owner that answers knows others, but not all have told.
    `none`: no owner answers.
    """

    same = 'same'
    other = 'other'
    partial = 'partial'
    none = 'none'


class _Round(NamedTuple):
    """Questions to all other owners.

    :param begun_s: time before which none was sent, monotonic seconds.
    :param answers: their answers.
    """

    begun_s: float
    answers: asyncio.Task[Answers]


class OwnerWords:
    """Asks owners for the versions of services, in one round for all who wait.

    :param gateways: returns the number of gateways that may ask.
    """

    def __init__(self, gateways: Callable[[], int]) -> None:
        self._gateways = gateways
        self._rounds: dict[str, _Round] = {}
        #: Asks all other owners.
        self.ask_owners: AskOwners | None = None

    async def word(self, service: str, version: str, asked_s: float) -> Word:
        """Return what owners tell that were asked after a moment.

        :param service: name of the service.
        :param version: the one version that this gateway knows.
        :param asked_s: the moment, monotonic seconds.
        """
        if self.ask_owners is None:
            return Word.none
        return word_of(await self._answers(service, asked_s), version)

    async def _answers(self, service: str, asked_s: float) -> Answers:
        while True:
            known = self._rounds.get(service)
            if known is None:
                self._begin(service)
            elif known.begun_s >= asked_s:
                return await asyncio.shield(known.answers)
            elif known.answers.done():
                await self._begin_later(service, known)
            else:
                await asyncio.wait((known.answers,))

    async def _begin_later(self, service: str, known: _Round) -> None:
        """Begin a round once it is due, unless another caller has done so."""
        interval_s = max(
            _MIN_INTERVAL_S, _INTERVAL_PER_GATEWAY_S * self._gateways()
        )
        await asyncio.sleep(max(0, known.begun_s + interval_s - now_s()))
        if self._rounds[service] is known:
            self._begin(service)

    def _begin(self, service: str) -> None:
        begun_s = now_s()
        task = asyncio.ensure_future(self._ask(versions_digest(service)))
        self._rounds[service] = _Round(begun_s, task)

    async def _ask(self, digest: bytes) -> Answers:
        return await self.ask_owners(digest) if self.ask_owners else ()


def word_of(answers: Answers, version: str) -> Word:
    """Return what the answers of owners tell together.

    :param answers: the answer of each other owner, None where none came.
    :param version: the one version that this gateway knows.
    """
    came = [each for each in answers if each is not None]
    told = [each.software_version for each in came if each.is_known]
    if any(each != version for each in told):
        return Word.other
    if len(told) == len(answers):
        return Word.same
    return Word.partial if came else Word.none
