"""How a controller reads and applies the instance list."""

import time
from collections.abc import Iterable

from wasabicross.bundles.propagation import PointerWatch
from wasabicross.controllers.parts import ControllerParts
from wasabicross.runtime.rendezvous import rank
from wasabicross.stores.instances import Fleet, InstanceList

POINTER_WATCHERS = 2


class InstanceListPoller:
    """Reads the list periodically and updates the parts of a controller.

    :param controller: the controller whose parts are updated.
    :param instance_list: the list.
    :param pointer_watch: watches the bundle pointer if this instance is chosen.
    """

    def __init__(
        self,
        controller: ControllerParts,
        instance_list: InstanceList,
        pointer_watch: PointerWatch,
    ) -> None:
        self._ctl = controller
        self._instance_list = instance_list
        self._pointer_watch = pointer_watch

    def run(self) -> None:
        """Read the list until the process stops."""
        poll_s = self._ctl.cfg.platform.instance_list.poll_s
        while not self._ctl.stopping.is_set():
            asked_s = time.monotonic()
            fetched = self._instance_list.fetch()
            if fetched.is_ok():
                self._apply(fetched.ok, asked_s, time.monotonic())
            self._ctl.stopping.wait(poll_s)

    def confirm_listing(self, server_ids: Iterable[str]) -> None:
        """Record servers whose owner has this instance in its own list.

        :param server_ids: the servers.
        """
        if self._ctl.fleet.confirm_listing(server_ids):
            self._ctl.loads.notify_entries(self._ctl.fleet.update())

    def _apply(self, fleet: Fleet, asked_s: float, now_s: float) -> None:
        ctl = self._ctl
        view = ctl.fleet
        changed = view.apply_list(fleet, now_s)
        ctl.readiness.declare('instance_list', holds=True)
        ctl.subscribers.update_listed(view.residents(), now_s, asked_s)
        ctl.peers.set_instances(fleet.instances)
        ctl.table.drop_stale(view.listed_instances(), now_s)
        ctl.permit_issuer.set_visible(self._visible_data_centres())
        ctl.lease.instance_count = len(fleet.instances)
        ctl.lease.list_received.set()
        live = view.live_residents()
        self._choose_watchers(live)
        self._assign(live)
        if changed:
            ctl.loads.notify_entries(view.update())

    def _assign(self, live: list[str]) -> None:
        engines = self._ctl.fleet.local_engines()
        self._ctl.owners.set_servers(engines)
        self._ctl.election.assign([each.server_id for each in engines], live)

    def _choose_watchers(self, live: list[str]) -> None:
        own_id = self._ctl.cfg.instance.instance_id
        watchers = rank('bundle', live)[:POINTER_WATCHERS]
        self._pointer_watch.is_watcher = (
            own_id in watchers or own_id not in live
        )

    def _visible_data_centres(self) -> int:
        visible = {peer.peer.data_centre for peer in self._ctl.peers.linked()}
        visible.add(self._ctl.cfg.instance.data_centre)
        return len(visible)
