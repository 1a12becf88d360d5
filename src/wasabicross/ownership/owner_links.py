"""Messages of an instance to the owners of engines in any data centre."""

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
from wasabicross.ownership.pending_load_requests import PendingLoadRequests


class OwnerLinks:
    """Sends messages to the owner of an engine over the links to instances.

    :param instance_id: the instance that sends.
    :param fleet: the instance list.
    :param loads: knows the owner of each server.
    :param peers: links to all instances.
    """

    def __init__(
        self,
        instance_id: str,
        fleet: FleetView,
        loads: InstanceLoads,
        peers: PeerLinks,
    ) -> None:
        self.pending_requests = PendingLoadRequests()
        self._instance_id = instance_id
        self._fleet = fleet
        self._loads = loads
        self._peers = peers

    def send(self, server_id: str, message: Any, now_s: float) -> bool:
        """Send a message to the owner of a server, if there is a link to it.

        Renewals to the owner are then sent more often, since their answers
        also report how busy the server is.

        :param server_id: the server.
        :param message: the message to send.
        :param now_s: present time, monotonic seconds.
        """
        owner_id = self._loads.owner_of(server_id)
        peer = self._peers.get(owner_id) if owner_id else None
        if peer is None:
            return False
        peer.record_use(now_s)
        return peer.send(message)

    def request_load(self, load_request: WantLoad, now_s: float) -> None:
        """Ask the owner of the best server to load an adapter version.

        :param load_request: the adapter version to load.
        :param now_s: present time, monotonic seconds.
        """
        servers = self._fleet.servers
        for server_id in self.pending_requests.candidates(
            load_request, servers, now_s
        ):
            if self.send(server_id, LoadWanted(server_id, load_request), now_s):
                return

    def forward_usage(self, usage: LoadUses, now_s: float) -> None:
        """Report an entry's usage of loads to the owners of the loads.

        :param usage: the usage of each load, and the name of the entry.
        :param now_s: present time, monotonic seconds.
        """
        by_server: dict[str, list[LoadUse]] = defaultdict(list)
        for use in usage.usage:
            by_server[server_of(use.load_name) or ''].append(use)
        for server_id, server_usage in by_server.items():
            source = f'{self._instance_id}/{usage.source}'
            self.send(server_id, LoadUses(source, server_usage), now_s)
