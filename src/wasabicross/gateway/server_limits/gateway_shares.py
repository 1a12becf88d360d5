"""Which gateways use a server, the same by every gateway's reckoning."""

from __future__ import annotations

from collections.abc import Collection

from wasabicross.runtime.rendezvous import rank

#: Most servers whose order of gateways is kept.
_MAX_RANKED = 1024


class GatewayShares:
    """Orders the gateways for each server, without asking anybody.

    :param instance: name of this gateway's machine.
    :param gateways: names of the machines of all gateways, as they are known
        later; a change of their number is noticed.
    """

    def __init__(self, instance: str, gateways: Collection[str]) -> None:
        self._instance = instance
        self._gateways = gateways
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._number = 0

    @property
    def count(self) -> int:
        """Return the number of gateways, with this one."""
        is_extra = self._instance not in self._gateways
        return len(self._gateways) + int(is_extra)

    def is_user(self, server_id: str, users: int) -> bool:
        """Return whether this gateway is among the users of a server.

        :param server_id: id of the server.
        :param users: number of gateways that use it.
        """
        if users >= self.count:
            return True
        return self._instance in self._ranking(server_id)[:users]

    def _ranking(self, server_id: str) -> tuple[str, ...]:
        number = len(self._gateways)
        if self._number != number or len(self._ranked) > _MAX_RANKED:
            self._ranked.clear()
            self._number = number
        ranking = self._ranked.get(server_id)
        if ranking is None:
            ranking = rank(server_id, {*self._gateways, self._instance})
            self._ranked[server_id] = ranking
        return ranking
