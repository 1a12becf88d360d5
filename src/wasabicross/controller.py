"""`wasabicross-controller`: owns servers, loads and bundles of an instance."""

import socket
import threading
import time
from collections import defaultdict
from typing import Any

import click

from wasabicross import __version__
from wasabicross import messages as msg
from wasabicross.bundles import Bundle
from wasabicross.controller_links import AcceptedLinks, DialledLinks
from wasabicross.events import Event
from wasabicross.holder import BundleHolder
from wasabicross.instance_loads import InstanceLoads
from wasabicross.instances import LIVE, BackendServer, Fleet, InstanceList
from wasabicross.kv import KeyValueStore
from wasabicross.links import Link, listen
from wasabicross.load_names import server_of
from wasabicross.logs import configure_logs, log_event
from wasabicross.options import settings_options, settings_or_exit
from wasabicross.owners import DeskLink, Owners
from wasabicross.ownership import InstanceLease, OwnerKeeper
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

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
POINTER_WATCHERS = 2
NO_FLEET = Fleet((), ())


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
        self.fleet = NO_FLEET
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
        self.keeper = OwnerKeeper(
            cfg.instance.instance_id, kv, self.lease, self.owners
        )
        self.peers = PeerLinks(
            self._hello, self.in_force.heartbeat, DialledLinks(self)
        )
        self.readiness = Readiness(('bundle', 'instance_list'))
        self._metrics = MetricsServer(
            cfg.instance.host, cfg.controller.metrics_port, self.readiness
        )
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
            ('links', self._server.serve_forever),
            ('list', self._follow_list),
            ('pointer', self._pointers.run),
            ('probe', self._probe_entries),
        )
        for name, run in runs:
            threading.Thread(target=run, name=name, daemon=True).start()
        threading.Thread(
            target=self.desk.run,
            args=(self.stopping,),
            name='permits',
            daemon=True,
        ).start()
        self._lease_thread = threading.Thread(
            target=self.lease.run, name='lease', daemon=True
        )
        self._lease_thread.start()

    def stop(self) -> None:
        """Hand over what is owned here and close the links."""
        self.keeper.stop()
        self.owners.stop()
        self.stopping.set()
        if not self.loads.lost_entries() and not self.loads.entries():
            for peer in self.peers.linked():
                peer.send(msg.Goodbye())
        self._lease_thread.join(self.cfg.platform.kv.timeout_s)
        self.peers.stop()
        self._server.shutdown()
        self._metrics.stop()

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
        link.send(self._fleet_update())
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
        for opened in self.owners.opened():
            link.send(opened)
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
        changed = fleet != self.fleet
        self.fleet = fleet
        self.readiness.declare('instance_list', holds=True)
        here = self.cfg.instance.data_centre
        residents = {
            each.instance_id: each
            for each in fleet.instances
            if each.data_centre == here
        }
        self.subscribers.listed(set(residents), now_s)
        self.peers.follow(fleet.instances)
        listed = {each.instance_id for each in fleet.instances}
        self.table.keep(listed, now_s)
        self.desk.set_visible(self._visible_data_centres())
        live = [name for name, each in residents.items() if each.state == LIVE]
        self.lease.instances = len(fleet.instances)
        watchers = rank('bundle', live)[:POINTER_WATCHERS]
        own_id = self.cfg.instance.instance_id
        self._pointers.is_watcher = own_id in watchers or own_id not in live
        engines = self._engines_here()
        self.owners.follow(engines)
        self.keeper.assign([each.server_id for each in engines], live)
        if changed:
            self.loads.tell_entries(self._fleet_update())

    def _engines_here(self) -> list[BackendServer]:
        here = self.cfg.instance.data_centre
        return [
            server
            for server in self.fleet.servers
            if server.kind == 'engine' and server.data_centre == here
        ]

    def _visible_data_centres(self) -> int:
        visible = {peer.peer.data_centre for peer in self.peers.linked()}
        visible.add(self.cfg.instance.data_centre)
        return len(visible)

    def _fleet_update(self) -> msg.FleetUpdate:
        own_id = self.cfg.instance.instance_id
        here = self.cfg.instance.data_centre
        listed = {each.instance_id for each in self.fleet.instances}
        need_grant = [
            server.server_id
            for server in self.fleet.servers
            if server.data_centre != here or own_id not in listed
        ]
        servers = [msg.ServerInfo(*server) for server in self.fleet.servers]
        return msg.FleetUpdate(servers, need_grant)

    def _probe_entries(self) -> None:
        while not self.stopping.wait(PROBE_INTERVAL_S):
            for name in self.loads.lost_entries():
                entry = self.cfg.entry(name)
                if entry is None or not self._listens(entry.metrics_port):
                    self.entry_ended(name)

    def _listens(self, port: int) -> bool:
        """Tell whether a process of this instance may listen on a port."""
        address = (self.cfg.instance.host, port)
        try:
            socket.create_connection(address, PROBE_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True


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
