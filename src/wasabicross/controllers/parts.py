"""What the links and the list poller use of their controller."""

import threading
from collections.abc import Iterable
from typing import Protocol

from wasabicross.bundles.propagation import BundleFollower
from wasabicross.claims.claim_service import ClaimService
from wasabicross.controllers.status import InstanceBundle, InstanceTable
from wasabicross.loads.permits import PermitIssuer
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
    """Records servers whose owner has this instance in its list."""

    def confirm_listing(self, server_ids: Iterable[str]) -> None:
        """Record servers whose owner has this instance in its own list.

        :param server_ids: the servers.
        """


class ControllerParts(Protocol):
    """The controller, as its links and its list poller use it."""

    cfg: Settings
    stopping: threading.Event
    fleet: FleetView
    follower: BundleFollower
    in_force: InstanceBundle
    table: InstanceTable
    loads: InstanceLoads
    subscribers: Subscribers
    permit_issuer: PermitIssuer
    owners: Owners
    lease: InstanceLease
    claims: ClaimService
    election: OwnerElection
    peers: PeerLinks
    readiness: Readiness
    owner_links: OwnerLinks

    @property
    def list(self) -> ListingObserver:
        """The poller of the instance list."""

    def owner_announced(self, server: msg.ServerTerm, link: Link) -> None:
        """Report a server's loads to its owner, or refuse an outdated owner.

        :param server: the server and the term that the owner claims.
        :param link: the link opened to that owner.
        """

    def merge_suspects(self, message: msg.SuspectRecords, link: Link) -> None:
        """Store records of suspect requests and forward them.

        A suspect is a request that may have crashed a server.

        :param message: the records of an entry or another instance.
        :param link: where they came from.
        """

    def known_suspects(self, now_s: float) -> msg.SuspectRecords:
        """Return all known records of suspect requests.

        :param now_s: present time, monotonic seconds.
        """

    def entry_linked(self, hello: msg.Hello) -> None:
        """Record an entry's process; an earlier one of its name has ended.

        :param hello: the hello of the entry.
        """

    def entry_ended(self, name: str) -> None:
        """Forget an entry whose process has ended.

        :param name: its name.
        """

    def send_recent_losses(self, link: Link) -> None:
        """Send a peer the lost holders of claims that it may not know.

        :param link: the link to the peer.
        """
