"""`wasabicross-controller`: the controller of an instance.

It owns backend servers, decides on their loads, keeps the bundle in force and
the claims on idempotency keys, and links the entries of the instance with the
controllers of the others.
"""

import threading
import time
from functools import partial
from typing import Any

import click

from wasabicross.bundles.bundles import Bundle
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.propagation import BundleFollower, PointerWatch
from wasabicross.claims.claim_ranges import ClaimRanges
from wasabicross.claims.claim_service import ClaimService
from wasabicross.controllers.controller_links import DialledLinks
from wasabicross.controllers.entry_incarnations import EntryIncarnations
from wasabicross.controllers.entry_probe import EntryProbe
from wasabicross.controllers.instance_list_poller import InstanceListPoller
from wasabicross.controllers.link_listener import LinkListener
from wasabicross.controllers.link_server import LinkServer
from wasabicross.controllers.status import InstanceBundle, InstanceTable
from wasabicross.loads.permits import PermitIssuer
from wasabicross.loads.subscribers import Subscribers, UseWindow
from wasabicross.messaging import messages as msg
from wasabicross.messaging.links import Link
from wasabicross.ownership.fleet_view import FleetView
from wasabicross.ownership.instance_lease import InstanceLease
from wasabicross.ownership.instance_loads import InstanceLoads
from wasabicross.ownership.instance_status import InstanceStatus
from wasabicross.ownership.owner_election import OwnerElection
from wasabicross.ownership.owner_links import OwnerLinks
from wasabicross.ownership.owners import Owners, PermitClient
from wasabicross.ownership.peers import PeerLinks
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import configure_logs, log_event
from wasabicross.runtime.options import settings_options, settings_or_exit
from wasabicross.runtime.pauses import PauseWatch
from wasabicross.runtime.running import StartResult, run_program
from wasabicross.runtime.settings import Settings
from wasabicross.runtime.telemetry import MetricsServer, Readiness
from wasabicross.servers.policy import Weights
from wasabicross.servers.suspects import Suspects
from wasabicross.stores.instances import InstanceList
from wasabicross.stores.kv import KeyValueStore


class Controller:
    """The controller of one instance.

    :param cfg: settings of the instance.
    :param kv: the key-value service.
    :param instance_list: the list of instances and backend servers.
    """

    def __init__(
        self, cfg: Settings, kv: KeyValueStore, instance_list: InstanceList
    ) -> None:
        self.cfg = cfg
        self.stopping = threading.Event()
        self.fleet = FleetView(
            cfg.instance.instance_id, cfg.instance.data_centre
        )
        window = UseWindow(cfg.servers.use_lease_s, cfg.servers.max_request_s)
        self._pause_watch = PauseWatch(
            cfg.servers.use_lease_s, self._reset_after_pause
        )
        data_centre = cfg.instance.data_centre
        self.follower = BundleFollower(
            BundleHolder.from_config(cfg), self._bundle_in_force
        )
        self.in_force = InstanceBundle()
        self.table = InstanceTable()
        self.loads = InstanceLoads(entry.name for entry in cfg.entries)
        self.subscribers = Subscribers(data_centre, window)
        self._entry_incarnations = EntryIncarnations(
            cfg.instance.instance_id, cfg.servers.max_request_s
        )
        self.suspects = Suspects()
        self.permit_issuer = PermitIssuer.from_config(
            cfg.weight_store, len(cfg.data_centres)
        )
        self.owners = Owners(
            self.subscribers,
            PermitClient(data_centre, self._send_to_permit_issuer),
            self.loads.term_of,
            self._on_deposed,
            InstanceStatus(self._pause_watch, self.fleet),
            cfg.servers.fencing,
        )
        self.lease = InstanceLease(kv, self.stopping)
        self.claims = ClaimService(
            ClaimRanges.from_config(cfg, kv, self._lease_id),
            self._link_to,
            self._count_reachable,
        )
        self.election = OwnerElection(
            cfg.instance.instance_id, kv, self.lease, self.owners
        )
        dialled_links = DialledLinks(self)
        self._grants = dialled_links.grants
        self.peers = PeerLinks(
            self._hello,
            self.in_force.heartbeat,
            dialled_links,
            cfg.servers.use_lease_s,
            data_centre,
        )
        self.readiness = Readiness(('bundle', 'instance_list'))
        self._metrics = MetricsServer(
            cfg.instance.host, cfg.controller.metrics_port, self.readiness
        )
        self._entry_probe = EntryProbe(
            cfg.instance.host,
            cfg.entries,
            self.loads.unlinked_entries,
            self.entry_ended,
        )
        self._threads: dict[str, threading.Thread] = {}
        self._pointer_watch = PointerWatch(kv, self.follower, self.stopping)
        self.list = InstanceListPoller(self, instance_list, self._pointer_watch)
        self.owner_links = OwnerLinks(
            cfg.instance.instance_id, self.fleet, self.loads, self.peers
        )
        link_server = LinkServer(self)
        self._listener = LinkListener(
            cfg.instance.host,
            cfg.controller.port,
            link_server.accept,
            link_server.serve,
        )

    @classmethod
    def from_config(cls, cfg: Settings) -> 'Controller':
        """Create a controller with the services named in the settings."""
        return cls(
            cfg,
            KeyValueStore.from_config(cfg.platform.kv),
            InstanceList.from_config(cfg.platform.instance_list),
        )

    def start(self) -> StartResult:
        """Start all threads, or return `PortUnavailable`."""
        started = self._metrics.start().bind(lambda _: self._listener.bind())
        if started.is_error():
            self._metrics.stop()
            return started
        self.follower.start()
        thread_targets = (
            ('lease', self.lease.run),
            ('links', self._listener.serve),
            ('list', self.list.run),
            ('pointer', self._pointer_watch.run),
            ('probe', partial(self._entry_probe.run, self.stopping)),
            ('pauses', partial(self._pause_watch.run, self.stopping)),
            ('grants', partial(self._grants.run, self.stopping)),
            ('permits', partial(self.permit_issuer.run, self.stopping)),
            ('claims', partial(self.claims.run, self.stopping)),
        )
        for name, run in thread_targets:
            thread = threading.Thread(target=run, name=name, daemon=True)
            thread.start()
            self._threads[name] = thread
        return started

    def stop(self) -> None:
        """Hand over the owned servers and claims, and close the links."""
        for part in (self.claims, self.election, self.owners):
            part.stop()
        self.stopping.set()
        self._send_goodbye()
        self._threads['lease'].join(self.cfg.platform.kv.timeout_s)
        self.peers.stop()
        self._listener.stop()
        self._metrics.stop()

    def _send_goodbye(self) -> None:
        """Announce an orderly stop to the peers unless an entry still runs."""
        if self.loads.unlinked_entries() or self.loads.entries():
            return
        for peer in self.peers.linked():
            peer.send(msg.Goodbye())

    def owner_announced(self, server: msg.ServerTerm, link: Link) -> None:
        """Report a server's loads to its owner, or refuse an outdated owner.

        :param server: the server and the term that the owner claims.
        :param link: the link that was opened to that owner.
        """
        peer = self._peer_of(link)
        if not self.loads.accept_owner(server, peer):
            term = self.loads.term_of(server.server_id)
            known = msg.ServerTerm(server.server_id, term)
            link.send(msg.CloseRefused('', known))
            return
        own = self.owners.get(server.server_id)
        if own is not None and own.server.term < server.term:
            self.election.resign(server.server_id)
        link.send(self.loads.server_report(server))

    def merge_suspects(self, message: msg.SuspectRecords, link: Link) -> None:
        """Merge records of suspects and forward them.

        Records go to the entries of this instance, and those that come from
        an entry also go to the other instances.

        :param message: records of an entry or another instance.
        :param link: the link over which they came.
        """
        self.suspects.merge(message.records, time.monotonic())
        self.loads.notify_entries(message)
        if link.peer.kind == 'entry':
            for peer in self.peers.linked():
                peer.send(message)

    def known_suspects(self, now_s: float) -> msg.SuspectRecords:
        """Return the records of all suspects.

        :param now_s: present time, monotonic seconds.
        """
        _, records = self.suspects.records_since(0, now_s)
        return msg.SuspectRecords(list(records))

    def _reset_after_pause(self) -> None:
        """Give up all ownership and known loads after a pause of the process.

        Other instances may have taken over the servers meanwhile, and loads
        may have been evicted without the consent of this instance. Owners
        report their open loads again over the new links.
        """
        log_event(Event.PAUSE_NOTICED)
        for server_id in self.election.owned():
            self.election.resign(server_id)
        self.loads.forget_opened()
        self.peers.redial()

    def entry_linked(self, hello: msg.Hello) -> None:
        """Record the incarnation of an entry that has opened its link.

        An earlier incarnation of the same name has ended: its claim holders
        are reported as lost.
        """
        lost = self._entry_incarnations.joined(
            hello.name, hello.incarnation, time.monotonic()
        )
        self._send_lost_holders(lost)

    def entry_ended(self, name: str) -> None:
        """Remove an entry whose process has ended and report its holders."""
        self.loads.entry_gone(name)
        self.in_force.forget(name)
        self._send_lost_holders(
            self._entry_incarnations.ended(name, time.monotonic())
        )

    def send_recent_losses(self, link: Link) -> None:
        """Send a peer the recently lost claim holders."""
        for lost in self._entry_incarnations.recent_losses(time.monotonic()):
            link.send(lost)

    def _send_lost_holders(self, lost: msg.HoldersLost | None) -> None:
        if lost is not None:
            for peer in self.peers.linked():
                peer.send(lost)

    def _hello(self) -> msg.Hello:
        instance = self.cfg.instance
        return msg.Hello(
            'controller',
            instance.instance_id,
            instance.instance_id,
            instance.data_centre,
            self.cfg.peer_token,
            [],
            [],
            [],
        )

    def _peer_of(self, link: Link) -> str:
        for peer in self.peers.linked():
            if peer.link is link:
                return peer.peer.instance_id
        return ''

    def _lease_id(self) -> str | None:
        return self.lease.lease_id

    def _link_to(self, instance_id: str) -> Link | None:
        peer = self.peers.get(instance_id)
        return peer.link if peer else None

    def _count_reachable(self) -> int:
        # Every instance dials itself as well.
        return len(self.peers.linked())

    def _send_to_permit_issuer(self, message: Any) -> None:
        linked = self.peers.linked()
        if linked:
            min(linked, key=lambda peer: peer.peer.instance_id).send(message)

    def _bundle_in_force(self, bundle: Bundle) -> None:
        since = self.follower.holder.in_force_since or ''
        report = msg.BundleInForce(bundle.number, bundle.digest, since)
        self.in_force.record_bundle('controller', report)
        self.readiness.declare('bundle', holds=True)
        self.owners.set_weights(Weights.from_config(bundle.policy))
        offer = self.follower.current_offer()
        if offer is not None:
            self.loads.notify_entries(offer)
            for peer in self.peers.linked():
                peer.send(offer)

    def _on_deposed(self, server_id: str) -> None:
        log_event(Event.OWNER_DEPOSED, server=server_id)
        self.election.resign(server_id)


@click.command()
@settings_options('wasabicross-controller')
def main(config: tuple[str, ...], check_config: bool) -> None:
    """Run the controller of an instance."""
    cfg = settings_or_exit(config, check_config=check_config)
    configure_logs(cfg.logs, 'wasabicross-controller')
    run_program(lambda: Controller.from_config(cfg))


if __name__ == '__main__':
    main()
