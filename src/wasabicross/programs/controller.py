"""`wasabicross-controller`: owns servers, loads and bundles of an instance."""

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
from wasabicross.controllers.entry_lives import EntryLives
from wasabicross.controllers.entry_probe import EntryProbe
from wasabicross.controllers.link_listener import LinkListener
from wasabicross.controllers.link_serving import LinkServing
from wasabicross.controllers.list_following import ListFollowing
from wasabicross.controllers.status import InstanceBundle, InstanceTable
from wasabicross.loads.permits import PermitIssuer
from wasabicross.loads.subscribers import Subscribers, UseWindow
from wasabicross.messaging import messages as msg
from wasabicross.messaging.links import Link
from wasabicross.ownership.fleet_view import FleetView
from wasabicross.ownership.instance_lease import InstanceLease
from wasabicross.ownership.instance_loads import InstanceLoads
from wasabicross.ownership.owner_links import OwnerLinks
from wasabicross.ownership.owners import DeskLink, Owners
from wasabicross.ownership.ownership import OwnerKeeper
from wasabicross.ownership.peers import PeerLinks
from wasabicross.ownership.standing import Standing
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
        self._pauses = PauseWatch(
            cfg.servers.use_lease_s, self._forget_after_pause
        )
        data_centre = cfg.instance.data_centre
        self.follower = BundleFollower(
            BundleHolder.from_config(cfg), self._bundle_in_force
        )
        self.in_force = InstanceBundle()
        self.table = InstanceTable()
        self.loads = InstanceLoads(entry.name for entry in cfg.entries)
        self.subscribers = Subscribers(data_centre, window)
        self._lives = EntryLives(
            cfg.instance.instance_id, cfg.servers.max_request_s
        )
        self.suspects = Suspects()
        self.desk = PermitIssuer.from_config(
            cfg.weight_store, len(cfg.data_centres)
        )
        self.owners = Owners(
            self.subscribers,
            DeskLink(data_centre, self._send_to_desk),
            self.loads.term_of,
            self._deposed,
            Standing(self._pauses, self.fleet),
            cfg.servers.fencing,
        )
        self.lease = InstanceLease(kv, self.stopping)
        self.claims = ClaimService(
            ClaimRanges.from_config(cfg, kv, self._lease_id),
            self._link_to,
            self._count_reachable,
        )
        self.keeper = OwnerKeeper(
            cfg.instance.instance_id, kv, self.lease, self.owners
        )
        dialled = DialledLinks(self)
        self._grants = dialled.grants
        self.peers = PeerLinks(
            self._hello,
            self.in_force.heartbeat,
            dialled,
            cfg.servers.use_lease_s,
            data_centre,
        )
        self.readiness = Readiness(('bundle', 'instance_list'))
        self._metrics = MetricsServer(
            cfg.instance.host, cfg.controller.metrics_port, self.readiness
        )
        self._probe = EntryProbe(
            cfg.instance.host,
            cfg.entries,
            self.loads.lost_entries,
            self.entry_ended,
        )
        self._threads: dict[str, threading.Thread] = {}
        self._pointers = PointerWatch(kv, self.follower, self.stopping)
        self.list = ListFollowing(self, instance_list, self._pointers)
        self.to_owners = OwnerLinks(
            cfg.instance.instance_id, self.fleet, self.loads, self.peers
        )
        serving = LinkServing(self)
        self._listener = LinkListener(
            cfg.instance.host,
            cfg.controller.port,
            serving.accept,
            serving.serve,
        )

    @classmethod
    def from_config(cls, cfg: Settings) -> 'Controller':
        """Make a controller with the platform that the settings name."""
        return cls(
            cfg,
            KeyValueStore.from_config(cfg.platform.kv),
            InstanceList.from_config(cfg.platform.instance_list),
        )

    def start(self) -> StartResult:
        """Start all threads, or return `PortUnavailable`."""
        bound = self._metrics.start().bind(lambda _: self._listener.bind())
        if bound.is_error():
            self._metrics.stop()
            return bound
        self.follower.start()
        runs = (
            ('lease', self.lease.run),
            ('links', self._listener.serve),
            ('list', self.list.run),
            ('pointer', self._pointers.run),
            ('probe', partial(self._probe.run, self.stopping)),
            ('pauses', partial(self._pauses.run, self.stopping)),
            ('grants', partial(self._grants.run, self.stopping)),
            ('permits', partial(self.desk.run, self.stopping)),
            ('claims', partial(self.claims.run, self.stopping)),
        )
        for name, run in runs:
            thread = threading.Thread(target=run, name=name, daemon=True)
            thread.start()
            self._threads[name] = thread
        return bound

    def stop(self) -> None:
        """Hand over what is owned here and close the links."""
        for part in (self.claims, self.keeper, self.owners):
            part.stop()
        self.stopping.set()
        self._say_goodbye()
        self._threads['lease'].join(self.cfg.platform.kv.timeout_s)
        self.peers.stop()
        self._listener.stop()
        self._metrics.stop()

    def _say_goodbye(self) -> None:
        """Tell the peers that nothing runs here, once no entry does."""
        if self.loads.lost_entries() or self.loads.entries():
            return
        for peer in self.peers.linked():
            peer.send(msg.Goodbye())

    def owner_announced(self, server: msg.ServerTerm, link: Link) -> None:
        """Answer a server's owner, or tell it that there is a later one.

        :param server: the server and the term that the owner claims.
        :param link: the link dialled to that owner.
        """
        peer = self._peer_of(link)
        if not self.loads.accept_owner(server, peer):
            term = self.loads.term_of(server.server_id)
            known = msg.ServerTerm(server.server_id, term)
            link.send(msg.CloseRefused('', known))
            return
        own = self.owners.get(server.server_id)
        if own is not None and own.server.term < server.term:
            self.keeper.resign(server.server_id)
        link.send(self.loads.report(server))

    def merge_suspects(self, told: msg.SuspectRecords, link: Link) -> None:
        """Keep what is known of requests that crash servers; pass it on.

        :param told: records of an entry or another instance.
        :param link: where they came from.
        """
        self.suspects.merge(told.records, time.monotonic())
        self.loads.tell_entries(told)
        if link.peer.kind == 'entry':
            for peer in self.peers.linked():
                peer.send(told)

    def known_suspects(self, now_s: float) -> msg.SuspectRecords:
        """Return all that is known of requests that crash servers.

        :param now_s: monotonic seconds.
        """
        _, records = self.suspects.records_since(0, now_s)
        return msg.SuspectRecords(list(records))

    def _forget_after_pause(self) -> None:
        """Own nothing and know no open load until told anew."""
        log_event(Event.PAUSE_NOTICED)
        for server_id in self.keeper.owned():
            self.keeper.resign(server_id)
        self.loads.forget_opened()
        self.peers.redial()

    def entry_linked(self, hello: msg.Hello) -> None:
        """Note the life of an entry; an earlier one of its name has ended."""
        joined = self._lives.joined(hello.name, hello.life, time.monotonic())
        self._tell_lost(joined)

    def entry_ended(self, name: str) -> None:
        """Forget an entry whose process has ended."""
        self.loads.entry_gone(name)
        self.in_force.forget(name)
        self._tell_lost(self._lives.ended(name, time.monotonic()))

    def tell_recent_losses(self, link: Link) -> None:
        """Tell a peer the dead holders of claims that it may not know."""
        for lost in self._lives.recent(time.monotonic()):
            link.send(lost)

    def _tell_lost(self, lost: msg.HoldersLost | None) -> None:
        if lost is not None:
            for peer in self.peers.linked():
                peer.send(lost)

    # Links.

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

    def _send_to_desk(self, message: Any) -> None:
        linked = self.peers.linked()
        if linked:
            min(linked, key=lambda peer: peer.peer.instance_id).send(message)

    # What changes.

    def _bundle_in_force(self, bundle: Bundle) -> None:
        since = self.follower.holder.in_force_since or ''
        told = msg.BundleInForce(bundle.number, bundle.digest, since)
        self.in_force.told('controller', told)
        self.readiness.declare('bundle', holds=True)
        self.owners.set_weights(Weights.from_config(bundle.policy))
        offered = self.follower.current_offer()
        if offered is not None:
            self.loads.tell_entries(offered)
            for peer in self.peers.linked():
                peer.send(offered)

    def _deposed(self, server_id: str) -> None:
        log_event(Event.OWNER_DEPOSED, server=server_id)
        self.keeper.resign(server_id)


@click.command()
@settings_options('wasabicross-controller')
def main(config: tuple[str, ...], check_config: bool) -> None:
    """Run the controller of an instance."""
    cfg = settings_or_exit(config, check_config=check_config)
    configure_logs(cfg.logs, 'wasabicross-controller')
    run_program(lambda: Controller.from_config(cfg))


if __name__ == '__main__':
    main()
