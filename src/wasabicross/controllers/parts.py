"""What the links and the list of a controller may use of it."""

import threading
from collections.abc import Iterable
from typing import Protocol

from wasabicross.bundles.spread import BundleFollower
from wasabicross.claims.claim_desk import ClaimDesk
from wasabicross.controllers.status import InstanceBundle, InstanceTable
from wasabicross.loads.permits import PermitDesk
from wasabicross.loads.subscribers import Subscribers
from wasabicross.messaging import messages as msg
from wasabicross.messaging.links import Link
from wasabicross.ownership.fleet_view import FleetView
from wasabicross.ownership.instance_lease import InstanceLease
from wasabicross.ownership.instance_loads import InstanceLoads
from wasabicross.ownership.owner_election import OwnerElection
from wasabicross.ownership.owner_links import OwnerLinks
from wasabicross.ownership.owners import Owners
from wasabicross.ownership.peers import PeerLinks
from wasabicross.runtime.settings import Settings
from wasabicross.runtime.telemetry import Readiness


class ListingObserver(Protocol):
    """Hears which servers' owners see this instance."""

    def confirm_listing(self, server_ids: Iterable[str]) -> None:
        """Note servers whose owner sees this instance in its own list.

        :param server_ids: the servers.
        """


class ControllerParts(Protocol):
    """The controller as its links and its list see it."""

    cfg: Settings
    stopping: threading.Event
    fleet: FleetView
    follower: BundleFollower
    in_force: InstanceBundle
    table: InstanceTable
    loads: InstanceLoads
    subscribers: Subscribers
    desk: PermitDesk
    owners: Owners
    lease: InstanceLease
    claims: ClaimDesk
    election: OwnerElection
    peers: PeerLinks
    readiness: Readiness
    owner_links: OwnerLinks

    @property
    def list(self) -> ListingObserver:
        """What follows the instance list."""

    def owner_announced(self, server: msg.ServerTerm, link: Link) -> None:
        """Answer a server's owner, or tell it that there is a later one.

        :param server: the server and the term that the owner claims.
        :param link: the link dialled to that owner.
        """

    def merge_suspects(self, told: msg.SuspectRecords, link: Link) -> None:
        """Keep what is known of requests that crash servers; pass it on.

        :param told: records of an entry or another instance.
        :param link: where they came from.
        """

    def known_suspects(self, now_s: float) -> msg.SuspectRecords:
        """Return all that is known of requests that crash servers.

        :param now_s: monotonic seconds.
        """

    def entry_linked(self, hello: msg.Hello) -> None:
        """Note the life of an entry; an earlier one of its name has ended.

        :param hello: how the entry introduced itself.
        """

    def entry_ended(self, name: str) -> None:
        """Forget an entry whose process has ended.

        :param name: its name.
        """

    def send_recent_losses(self, link: Link) -> None:
        """Tell a peer the dead holders of claims that it may not know.

        :param link: the link to the peer.
        """
