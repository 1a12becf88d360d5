"""`wasabicross-controller`: owns servers, loads and bundles of an instance."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from functools import partial
from typing import Any

import click

from wasabicross import __version__
from wasabicross import messages as msg
from wasabicross.bundles import Bundle
from wasabicross.claim_desk import ClaimDesk
from wasabicross.claim_ranges import ClaimRanges
from wasabicross.controller_links import AcceptedLinks, DialledLinks
from wasabicross.entry_probe import EntryProbe
from wasabicross.events import Event
from wasabicross.fleet_view import FleetView
from wasabicross.holder import BundleHolder
from wasabicross.instance_loads import InstanceLoads
from wasabicross.instances import Fleet, InstanceList
from wasabicross.kv import KeyValueStore
from wasabicross.links import Link, listen
from wasabicross.load_names import server_of
from wasabicross.logs import configure_logs, log_event
from wasabicross.options import settings_options, settings_or_exit
from wasabicross.owners import DeskLink, Owners
from wasabicross.ownership import InstanceLease, OwnerKeeper
from wasabicross.pauses import PauseWatch
from wasabicross.peers import PeerLinks
from wasabicross.permits import PermitDesk
from wasabicross.placing import Placing
from wasabicross.policy import Weights
from wasabicross.rendezvous import rank
from wasabicross.settings import Settings
from wasabicross.spread import BundleFollower, PointerWatch
from wasabicross.status import InstanceBundle, InstanceTable
from wasabicross.stopping import stop_event, wait_for_stop
from wasabicross.subscribers import Subscribers, UseWindow
from wasabicross.suspects import Suspects
from wasabicross.telemetry import MetricsServer, Readiness

POINTER_WATCHERS = 2


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
        self.window = UseWindow(
            cfg.servers.use_lease_s, cfg.servers.max_request_s
        )
        data_centre = cfg.instance.data_centre
        self.follower = BundleFollower(
            BundleHolder.from_config(cfg), self._bundle_in_force
        )
        self.in_force = InstanceBundle()
        self.table = InstanceTable()
        self.loads = InstanceLoads(entry.name for entry in cfg.entries)
        self.subscribers = Subscribers(data_centre, self.window)
        self.placing = Placing()
        self.suspects = Suspects()
        self.desk = PermitDesk.from_config(
            cfg.weight_store, len(cfg.data_centres)
        )
        self.owners = Owners(
            self.subscribers,
            DeskLink(data_centre, self._send_to_desk),
            self.loads.term_of,
            self._deposed,
        )
        self.lease = InstanceLease(kv, self.stopping)
        self.claims = ClaimDesk(
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
        )
        self.readiness = Readiness(('bundle', 'instance_list'))
        self._metrics = MetricsServer(
            cfg.instance.host, cfg.controller.metrics_port, self.readiness
        )
        self._pauses = PauseWatch(
            cfg.servers.use_lease_s, self._forget_after_pause
        )
        self._probe = EntryProbe(
            cfg.instance.host,
            cfg.entries,
            self.loads.lost_entries,
            self.entry_ended,
        )
        self._threads: dict[str, threading.Thread] = {}
        self._instance_list = instance_list
        self._pointers = PointerWatch(kv, self.follower, self.stopping)
        self._accepted = AcceptedLinks(self)
        self._server = listen(
            cfg.instance.host,
            cfg.controller.port,
            self._accept,
            self._serve_link,
        )

    @classmethod
    def from_config(cls, cfg: Settings) -> 'Controller':
        """Make a controller with the platform that the settings name."""
        return cls(
            cfg,
            KeyValueStore.from_config(cfg.platform.kv),
            InstanceList.from_config(cfg.platform.instance_list),
        )

    def start(self) -> None:
        """Start all threads."""
        self._metrics.start()
        self.follower.start()
        runs = (
            ('lease', self.lease.run),
            ('links', self._server.serve_forever),
            ('list', self._follow_list),
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

    def stop(self) -> None:
        """Hand over what is owned here and close the links."""
        for part in (self.claims, self.keeper, self.owners):
            part.stop()
        self.stopping.set()
        self._say_goodbye()
        self._threads['lease'].join(self.cfg.platform.kv.timeout_s)
        self.peers.stop()
        self._server.shutdown()
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

    def place(self, want: msg.WantLoad, now_s: float) -> None:
        """Ask the owner of the best server to load an adapter version.

        :param want: the adapter version wanted.
        :param now_s: monotonic seconds.
        """
        servers = self.fleet.servers
        for server_id in self.placing.candidates(want, servers, now_s):
            wanted = msg.LoadWanted(server_id, want)
            if self.send_to_owner(server_id, wanted):
                return

    def send_to_owner(self, server_id: str, message: Any) -> bool:
        """Send a message to the owner of a server, if it can be reached."""
        owner_id = self.loads.owner_of(server_id)
        peer = self.peers.get(owner_id) if owner_id else None
        return peer is not None and peer.send(message)

    def forward_uses(self, told: msg.LoadUses) -> None:
        """Tell the owners how an entry of this instance uses their loads."""
        by_server: dict[str, list[msg.LoadUse]] = defaultdict(list)
        for use in told.uses:
            by_server[server_of(use.load_name) or ''].append(use)
        for server_id, uses in by_server.items():
            source = f'{self.cfg.instance.instance_id}/{told.source}'
            self.send_to_owner(server_id, msg.LoadUses(source, uses))

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

    def _forget_after_pause(self) -> None:
        """Own nothing and know no open load until told anew."""
        log_event(Event.PAUSE_NOTICED)
        for server_id in self.keeper.owned():
            self.keeper.resign(server_id)
        self.loads.forget_opened()
        self.peers.redial()

    def entry_ended(self, name: str) -> None:
        """Forget an entry whose process has ended."""
        self.loads.entry_gone(name)
        self.in_force.forget(name)

    # Links.

    def _accept(self, link: Link) -> msg.Welcome | msg.Refusal:
        hello = link.peer
        if hello.token != self.cfg.peer_token:
            log_event(Event.PEER_REFUSED, peer=hello.name)
            return msg.Refusal('not_allowed', 'wrong token')
        return msg.Welcome(self.cfg.instance.instance_id)

    def _serve_link(self, link: Link) -> None:
        if link.peer.kind == 'entry':
            self._serve_entry(link)
        elif link.peer.kind == 'controller':
            self._serve_peer(link)
        else:
            link.run(self._accepted)

    def _serve_entry(self, link: Link) -> None:
        link.send(self.fleet.update())
        offered = self.follower.offered()
        if offered is not None:
            link.send(offered)
        _, records = self.suspects.records_since(0, time.monotonic())
        link.send(msg.SuspectRecords(list(records)))
        self.loads.entry_joined(link)
        link.run(self._accepted)
        self.loads.entry_left(link)

    def _serve_peer(self, link: Link) -> None:
        self.subscribers.joined(link, time.monotonic())
        link.send(self.owners.announcement())
        for snapshot in self.owners.snapshots():
            link.send(snapshot)
        offered = self.follower.offered()
        if offered is not None:
            link.send(offered)
        link.run(self._accepted)
        self.subscribers.left(link, time.monotonic())

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
        offered = self.follower.offered()
        if offered is not None:
            self.loads.tell_entries(offered)
            for peer in self.peers.linked():
                peer.send(offered)

    def _deposed(self, server_id: str) -> None:
        log_event(Event.OWNER_DEPOSED, server=server_id)
        self.keeper.resign(server_id)

    def _follow_list(self) -> None:
        while not self.stopping.is_set():
            fetched = self._instance_list.fetch()
            if fetched.is_ok():
                self._take_fleet(fetched.ok, time.monotonic())
            self.stopping.wait(self.cfg.platform.instance_list.poll_s)

    def _take_fleet(self, fleet: Fleet, now_s: float) -> None:
        view = self.fleet
        changed = view.take(fleet)
        self.readiness.declare('instance_list', holds=True)
        self.subscribers.listed(view.residents(), now_s)
        self.peers.follow(fleet.instances)
        self.table.keep(view.listed(), now_s)
        self.desk.set_visible(self._visible_data_centres())
        self.lease.instances = len(fleet.instances)
        self.lease.listed.set()
        live = view.live_residents()
        own_id = self.cfg.instance.instance_id
        watchers = rank('bundle', live)[:POINTER_WATCHERS]
        self._pointers.is_watcher = own_id in watchers or own_id not in live
        engines = view.engines_here()
        self.owners.follow(engines)
        self.keeper.assign([each.server_id for each in engines], live)
        if changed:
            self.loads.tell_entries(view.update())

    def _visible_data_centres(self) -> int:
        visible = {peer.peer.data_centre for peer in self.peers.linked()}
        visible.add(self.cfg.instance.data_centre)
        return len(visible)

    def listing_confirmed(self, server_ids: Iterable[str]) -> None:
        """Note servers whose owner sees this instance in its own list."""
        if self.fleet.confirm_listing(server_ids):
            self.loads.tell_entries(self.fleet.update())


@click.command()
@settings_options('wasabicross-controller')
def main(config: tuple[str, ...], check_config: bool) -> None:
    """Run the controller of an instance."""
    cfg = settings_or_exit(config, check_config=check_config)
    configure_logs(cfg.logs, 'wasabicross-controller')
    stop = stop_event()
    controller = Controller.from_config(cfg)
    controller.start()
    log_event(Event.PROGRAM_STARTED, version=__version__)
    wait_for_stop(stop)
    log_event(Event.PROGRAM_STOPPING)
    controller.stop()
    log_event(Event.PROGRAM_STOPPED)


if __name__ == '__main__':
    main()
