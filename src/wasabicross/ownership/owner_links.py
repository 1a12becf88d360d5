"""What an instance asks of the owners of engines, wherever they are."""

from collections import defaultdict
from typing import Any

from wasabicross.loads.load_names import server_of
from wasabicross.messaging.messages import (
    LoadUse,
    LoadUses,
    LoadWanted,
    WantLoad,
)
from wasabicross.ownership.fleet_view import FleetView
from wasabicross.ownership.instance_loads import InstanceLoads
from wasabicross.ownership.peers import PeerLinks
from wasabicross.ownership.placing import Placing


class OwnerLinks:
    """Reaches the owner of each engine over the links to the instances.

    :param instance_id: the instance that asks.
    :param fleet: the instance list.
    :param loads: knows the owners.
    :param peers: links to all instances.
    """

    def __init__(
        self,
        instance_id: str,
        fleet: FleetView,
        loads: InstanceLoads,
        peers: PeerLinks,
    ) -> None:
        self.placing = Placing()
        self._instance_id = instance_id
        self._fleet = fleet
        self._loads = loads
        self._peers = peers

    def send(self, server_id: str, message: Any, now_s: float) -> bool:
        """Send a message to the owner of a server, if it can be reached.

        From then on the owner is asked more often how busy the server is.

        :param server_id: the server.
        :param message: what to send.
        :param now_s: monotonic seconds.
        """
        owner_id = self._loads.owner_of(server_id)
        peer = self._peers.get(owner_id) if owner_id else None
        if peer is None:
            return False
        peer.used(now_s)
        return peer.send(message)

    def place(self, want: WantLoad, now_s: float) -> None:
        """Ask the owner of the best server to load an adapter version.

        :param want: the adapter version wanted.
        :param now_s: monotonic seconds.
        """
        servers = self._fleet.servers
        for server_id in self.placing.candidates(want, servers, now_s):
            if self.send(server_id, LoadWanted(server_id, want), now_s):
                return

    def forward_uses(self, told: LoadUses, now_s: float) -> None:
        """Tell the owners how an entry of this instance uses their loads.

        :param told: the uses, and which entry's they are.
        :param now_s: monotonic seconds.
        """
        by_server: dict[str, list[LoadUse]] = defaultdict(list)
        for use in told.usage:
            by_server[server_of(use.load_name) or ''].append(use)
        for server_id, uses in by_server.items():
            source = f'{self._instance_id}/{told.source}'
            self.send(server_id, LoadUses(source, uses), now_s)
