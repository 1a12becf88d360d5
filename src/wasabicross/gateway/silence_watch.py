"""Asks other servers to take a request over while its server is silent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import NamedTuple, TypeAlias

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import AnswerBroken
from wasabicross.gateway.progress import Ending
from wasabicross.gateway.retrying_placer import Placement

#: Called when another server has begun to answer.
OnAccepted: TypeAlias = Callable[[], None]

#: Pause before another server is looked for again, which grows with each search
#: of an attempt: a search may have an adapter loaded.
_FIRST_PAUSE_S = 0.25
_PAUSE_GROWTH = 1.5
_MAX_PAUSE_S = 2.0

#: Why the request is withdrawn from a server that was asked to take over.
_WENT_ON = 'the silent server went on'
_ENDED = 'the request ended at the silent server'


class Replacements(NamedTuple):
    """The servers that may take over from a silent one.

    :param find: returns a server that can run the request now, None if there
        is none.
    :param send: runs the request there; its last argument is called when the
        answer has begun.
    """

    find: Callable[[], Awaitable[Placement | None]]
    send: Callable[[Placement, OnAccepted], Awaitable[Ending]]


class SilenceWatch:
    """Asks other servers while one is silent, and keeps that one meanwhile.

    The silent server may be sound and go on, so its connection is closed only
    when another one has begun to answer.

    :param replacements: the other servers.
    :param leave: closes the connection to the silent one.
    """

    def __init__(
        self, replacements: Replacements, leave: Callable[[], None]
    ) -> None:
        self._replacements = replacements
        self._leave = leave
        self._search: asyncio.Task[Ending] | None = None
        self._errors = ErrorContainment('silence watch')
        self._pause_s = _FIRST_PAUSE_S
        self._next_search_s: float = 0
        self._is_asking = False
        #: Whether no further server is looked for.
        self._is_last = False
        #: Done when another server has taken over.
        self._accepted = asyncio.get_running_loop().create_future()

    @property
    def is_asking(self) -> bool:
        """Return whether the answer of another server is awaited or has come."""
        return self._search is not None and (
            self._is_asking or self.is_taken_over
        )

    @property
    def is_taken_over(self) -> bool:
        """Return whether another server answers instead."""
        return self._accepted.done()

    @contextlib.contextmanager
    def limit(self, max_silence_s: float | None) -> Iterator[None]:
        """Limit the silence while the next bytes are awaited.

        A server that has been asked by then is waited for until `keep`.

        :param max_silence_s: the longest silence, seconds, None for no limit.
        """
        if max_silence_s is None:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max_silence_s, self._begin_search)
        try:
            yield
        finally:
            timer.cancel()

    def keep(self) -> None:
        """Go on with the silent server and withdraw from others.

        :raises AnswerBroken: another server has taken over.
        """
        if self.is_taken_over:
            raise AnswerBroken('another server has taken over')
        self._end_search(_WENT_ON)

    async def successor(self) -> asyncio.Task[Ending] | None:
        """Return the attempt of the server that takes over, None if none does.

        A server that is being asked is waited for, no other one is looked for.
        """
        search = self._search
        if search is None or not self.is_asking:
            return None
        self._is_last = True
        await asyncio.wait(
            (search, self._accepted), return_when=asyncio.FIRST_COMPLETED
        )
        if not self.is_taken_over:
            return None
        self._search = None
        return search

    def end(self) -> None:
        """Withdraw from other servers, but for the successor."""
        self._end_search(_ENDED)

    def _begin_search(self) -> None:
        if self._search is None:
            self._search = asyncio.ensure_future(self._seek())

    def _end_search(self, reason: str) -> None:
        if self._search is not None:
            self._search.cancel(reason)
            self._search = None

    async def _seek(self) -> Ending:
        while True:
            await asyncio.sleep(max(0, self._next_search_s - now_s()))
            try:
                ending = await self._ask_another()
            finally:
                self._next_search_s = now_s() + self._pause_s
                self._pause_s = min(_MAX_PAUSE_S, self._pause_s * _PAUSE_GROWTH)
            if self.is_taken_over or self._is_last:
                return ending

    async def _ask_another(self) -> Ending:
        """Return how the attempt at another server ended, if there is one."""
        try:
            return await self._find_and_send()
        except Exception as exc:
            if self.is_taken_over:
                raise
            self._errors.log('replacement', exc)
            return Ending.not_sent

    async def _find_and_send(self) -> Ending:
        placement = await self._replacements.find()
        if placement is None:
            return Ending.not_sent
        self._is_asking = True
        try:
            return await self._replacements.send(placement, self._accept)
        finally:
            self._is_asking = False

    def _accept(self) -> None:
        """Leave the silent server, as another one has begun to answer."""
        if not self.is_taken_over:
            self._accepted.set_result(None)
            self._leave()
