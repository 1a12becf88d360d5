"""Which instance keeps the permit for a trial."""

from wasabicross.messaging.links import Link
from wasabicross.ownership.fleet_view import FleetView
from wasabicross.ownership.instance_loads import InstanceLoads
from wasabicross.ownership.owners import Owners
from wasabicross.ownership.peers import PeerLinks
from wasabicross.runtime.rendezvous import rank


class TrialPermitLocator:
    """Finds the keeper of a permit: an engine's owner, or one chosen by rank.

    :param fleet: the instance list.
    :param owners: the engines owned here.
    :param loads: knows the owners of other engines.
    :param peers: links to all instances.
    """

    def __init__(
        self,
        fleet: FleetView,
        owners: Owners,
        loads: InstanceLoads,
        peers: PeerLinks,
    ) -> None:
        self._fleet = fleet
        self._owners = owners
        self._loads = loads
        self._peers = peers

    def is_kept_here(self, server_id: str) -> bool:
        """Return whether the permit of a server may be kept here.

        :param server_id: the server, empty for the permit of a request.
        """
        if self._fleet.is_engine(server_id):
            return self._owners.get(server_id) is not None
        return True

    def link_to(self, server_id: str, request: bytes) -> Link | None:
        """Return the link to the keeper, None if it can't be reached.

        A plain service or a request has no owner. So the instances choose its
        keeper by rank, and agree as far as they have the same links.

        :param server_id: the server, empty for the permit of a request.
        :param request: the request's fingerprint.
        """
        owner = self._loads.owner_of(server_id)
        if owner is not None or self._fleet.is_engine(server_id):
            return self._link(owner or '')
        linked = [peer.peer.instance_id for peer in self._peers.linked()]
        keepers = rank(server_id or request.hex(), linked)
        return self._link(keepers[0]) if keepers else None

    def _link(self, instance_id: str) -> Link | None:
        peer = self._peers.get(instance_id)
        return peer.link if peer else None
