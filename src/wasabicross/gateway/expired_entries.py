"""Entries of servers that the store has lost and that may be written again."""

from __future__ import annotations

import math

from wasabicross.gateway.backend import BackendServer

#: Time after the store is reachable again, or has returned from an older copy,
#: in which servers may write their entries again.
_ENTRY_RESTORE_S = 2.5


class ExpiredEntries:
    """The servers whose entries are gone and which are kept for a while."""

    def __init__(self) -> None:
        #: Whether the store gave no answer to the last call.
        self.is_store_lost = False
        self._store_back_s = -math.inf
        self._restored_s = -math.inf
        self._due_s: dict[str, float] = {}

    def on_store_status(self, now_s: float, *, is_lost: bool) -> None:
        """Record whether the store answered.

        :param now_s: the present time, monotonic seconds.
        :param is_lost: whether the store gave no answer.
        """
        if self.is_store_lost and not is_lost:
            self._store_back_s = now_s
        self.is_store_lost = is_lost

    def on_store_restored(self, now_s: float) -> None:
        """Record that the store has returned from an older copy.

        :param now_s: the present time, monotonic seconds.
        """
        self._store_back_s = now_s
        self._restored_s = now_s

    def on_removal(self, server_id: str, now_s: float) -> bool:
        """Return whether the server is gone; otherwise keep it for a while.

        :param server_id: id of the server, which is known.
        :param now_s: the present time, monotonic seconds.
        """
        back_s = now_s if self.is_store_lost else self._store_back_s
        due_s = back_s + _ENTRY_RESTORE_S
        if now_s >= due_s:
            return True
        self._due_s.setdefault(server_id, due_s)
        return False

    def discard(self, server_id: str) -> None:
        """Forget a server whose entry is back, or which is gone.

        :param server_id: id of the server.
        """
        self._due_s.pop(server_id, None)

    def due(self, now_s: float) -> tuple[str, ...]:
        """Return the servers whose entries weren't written again in time.

        :param now_s: the present time, monotonic seconds.
        """
        if self.is_store_lost:
            return ()
        return tuple(
            server_id
            for server_id, due_s in self._due_s.items()
            if now_s >= due_s
        )

    def newer_entry(
        self, known: BackendServer | None, entry: BackendServer, now_s: float
    ) -> BackendServer | None:
        """Return the entry to use, None if an older copy holds an older one.

        A server that is leaving stays so, and an earlier start of a server
        doesn't return, nor another software version without a later start.

        :param known: the server as known, None if it isn't.
        :param entry: its entry in the store.
        :param now_s: the present time, monotonic seconds.
        """
        if known is None or now_s >= self._restored_s + _ENTRY_RESTORE_S:
            return entry
        if 0 < entry.start_ms < known.start_ms:
            return None
        has_other_version = entry.software_version != known.software_version
        if has_other_version and entry.start_ms <= known.start_ms:
            return None
        if entry.start_ms == known.start_ms and known.is_leaving:
            return entry._replace(is_leaving=True)
        return entry
