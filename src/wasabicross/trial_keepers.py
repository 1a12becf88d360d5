"""Which instance keeps the permit of a server or of a request."""

from wasabicross.fleet_view import FleetView
from wasabicross.instance_loads import InstanceLoads
from wasabicross.links import Link
from wasabicross.owners import Owners
from wasabicross.peers import PeerLinks
from wasabicross.rendezvous import rank


class TrialKeepers:
    """Finds the keepers, as one instance sees the others.

    An engine's owner keeps its permit. Nobody owns a plain service or a
    request, so the instances agree on one by its id, as far as they see each
    other.

    :param fleet: the instance list.
    :param owners: the engines owned here.
    :param loads: the owners that are known.
    :param peers: the links to all instances.
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

    def may_be_here(self, server_id: str) -> bool:
        """Tell whether a permit that another instance asks for is kept here.

        :param server_id: the server, empty for the permit of a request.
        """
        if self._fleet.is_engine(server_id):
            return self._owners.get(server_id) is not None
        return True

    def link_to(self, server_id: str, request: bytes) -> Link | None:
        """Return the link to a permit's keeper, None if it is out of reach.

        :param server_id: the server, empty for the permit of a request.
        :param request: the request's fingerprint.
        """
        keeper = self._loads.owner_of(server_id)
        if keeper is None and not self._fleet.is_engine(server_id):
            linked = [peer.peer.instance_id for peer in self._peers.linked()]
            ranked = rank(server_id or request.hex(), linked)
            keeper = next(iter(ranked), None)
        peer = self._peers.get(keeper) if keeper else None
        return peer.link if peer else None
