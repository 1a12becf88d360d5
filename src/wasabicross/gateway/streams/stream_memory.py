"""Shares which software versions began streams that the division doesn't tell.

A gateway tells the owners of its data centre, which keep it, and asks them when
a caller takes such a stream up again.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.stream_messages import (
    DIGEST_BYTES,
    MAX_DIGESTS,
    StreamAnswer,
    StreamQuery,
    StreamsBegun,
)
from wasabicross.gateway.streams.begun_streams import (
    BegunStreams,
    is_settled,
    keep_time_s,
    stream_digest,
)
from wasabicross.gateway.streams.owner_words import (
    QUERY_TIMEOUT_S,
    OwnerWords,
)
from wasabicross.gateway.streams.service_versions import (
    asked_service,
    current_versions,
    versions_text,
)
from wasabicross.gateway.view import FleetView

#: Time in which streams that begin are collected into one frame.
_BATCH_DELAY_S = 0.1

Tell: TypeAlias = Callable[[tuple[StreamsBegun, ...]], None]
Ask: TypeAlias = Callable[[bytes], Awaitable[str | None]]


class StreamMemory:
    """Remembers and shares which software versions began streams.

    :param view: state of the deployment.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._begun = BegunStreams()
        self._queue: list[tuple[str, str, bytes]] = []
        #: Sends to the owners, and asks them for the version of a stream.
        self.to_owners: Tell = _tell_nobody
        self.ask_owners: Ask | None = None
        #: Asks owners for the versions of services.
        self.words = OwnerWords(lambda: len(view.instances))

    def note_begun(
        self, service: str, request_id: str, software_version: str
    ) -> None:
        """Remember and tell what began a stream, unless the division tells it.

        :param service: its service.
        :param request_id: id of the caller's attempt.
        :param software_version: what began it.
        """
        at_s = now_s()
        division = self._view.divisions.get(service)
        age_s = at_s - self._view.confirmed_s
        is_told = is_settled(
            division, request_id, software_version, age_s, at_s
        )
        if is_told and not self._view.divisions.is_restored(service, at_s):
            return
        digest = stream_digest(service, request_id)
        self._note(service, software_version, digest)
        if len(self._queue) >= MAX_DIGESTS:
            return
        if not self._queue:
            asyncio.get_running_loop().call_later(_BATCH_DELAY_S, self._flush)
        self._queue.append((service, software_version, digest))

    def on_begun(self, message: StreamsBegun) -> None:
        """Remember what another gateway tells.

        :param message: what it tells.
        """
        for start in range(0, len(message.digests), DIGEST_BYTES):
            self._note(
                message.service,
                message.software_version,
                message.digests[start : start + DIGEST_BYTES],
            )

    def answer(self, query: StreamQuery) -> StreamAnswer:
        """Return the answer to another gateway's query.

        :param query: the query.
        """
        service = asked_service(self._view, query.digest)
        if service is not None:
            known = current_versions(self._view, service, now_s())
            return StreamAnswer(query.call_id, True, versions_text(known))
        version = self._begun.version(query.digest, now_s())
        return StreamAnswer(query.call_id, version is not None, version or '')

    async def find(self, service: str, request_id: str) -> str | None:
        """Return the software version that began a stream, None if unknown.

        :param service: its service.
        :param request_id: id of the caller's attempt that began it.
        """
        digest = stream_digest(service, request_id)
        version = self._begun.version(digest, now_s())
        if version is not None or self.ask_owners is None:
            return version
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                version = await self.ask_owners(digest)
        except TimeoutError:
            # The take-up is refused, and logged with that reason.
            return None
        if version is not None:
            self._note(service, version, digest)
        return version

    def _note(self, service: str, software_version: str, digest: bytes) -> None:
        keep_s = keep_time_s(self._view.divisions.get(service))
        self._begun.note(digest, software_version, keep_s, now_s())

    def _flush(self) -> None:
        """Tell the owners what has been collected."""
        digests: dict[tuple[str, str], list[bytes]] = defaultdict(list)
        for service, software_version, digest in self._queue:
            digests[service, software_version].append(digest)
        self._queue.clear()
        self.to_owners(
            tuple(
                StreamsBegun(*kind, b''.join(each))
                for kind, each in digests.items()
            )
        )


def _tell_nobody(_messages: tuple[StreamsBegun, ...]) -> None:
    """Do nothing, as there are no links yet."""
