"""What a controller does with the messages of its links."""

import time
from functools import singledispatchmethod
from typing import Any

from wasabicross.bundles.bundles import BundlePointer
from wasabicross.bundles.propagation import LinkSource, answer_part_request
from wasabicross.controllers.parts import ControllerParts
from wasabicross.controllers.trial_desk import TrialDesk
from wasabicross.controllers.trial_keepers import TrialKeepers
from wasabicross.controllers.use_grants import UseGrants
from wasabicross.messaging import messages as msg
from wasabicross.messaging.links import Link
from wasabicross.stores.instances import Instance


class DialledLinks:
    """Handles what owners and other peers tell this instance.

    :param controller: the controller that dialled.
    """

    def __init__(self, controller: ControllerParts) -> None:
        self._ctl = controller
        self.grants = UseGrants(controller.loads.tell_entries)

    def on_message(self, link: Link, message: Any, call_id: int) -> None:
        """Handle a message from a peer that was dialled."""
        self._handle(message, link, call_id)

    def peer_linked(self, link: Link, peer: Instance) -> None:
        """Tell what the peer may have missed: bundle, crashers, losses."""
        offered = self._ctl.follower.current_offer()
        if offered is not None:
            link.send(offered)
        link.send(self._ctl.known_suspects(time.monotonic()))
        self._ctl.tell_recent_losses(link)

    def peer_renewed(
        self, peer: Instance, granted: msg.Renewed, asked_s: float
    ) -> None:
        """Tell the entries how long the peer's servers may be used."""
        until_s = asked_s + self._ctl.subscribers.window.use_lease_s
        grants = [
            msg.Grant(server.server_id, until_s - server.confirmed_age_s)
            for server in granted.servers
        ]
        self.grants.add(grants, granted.servers, time.monotonic())
        if granted.is_listed:
            self._ctl.list.confirmed(
                server.server_id for server in granted.servers
            )
        here = self._ctl.cfg.instance
        is_other = peer.instance_id != here.instance_id
        if is_other and peer.data_centre == here.data_centre:
            self._ctl.owners.confirmed(granted.confirmed, asked_s)

    @singledispatchmethod
    def _handle(self, message: Any, link: Link, call_id: int) -> None:
        """Refuse a request that a peer has no business to send."""
        _refuse(message, link, call_id)

    @_handle.register
    def _(self, message: msg.OwnedServers, link: Link, call_id: int) -> None:
        for server in message.servers:
            self._ctl.owner_announced(server, link)

    @_handle.register
    def _(self, message: msg.LoadsOpened, link: Link, call_id: int) -> None:
        self._ctl.loads.open_loads(message)
        self._ctl.owners.opened(message.load_names)

    @_handle.register
    def _(self, message: msg.LoadsSnapshot, link: Link, call_id: int) -> None:
        self._ctl.loads.replace_loads(message)

    @_handle.register
    def _(self, message: msg.LoadsGone, link: Link, call_id: int) -> None:
        self._ctl.loads.drop_loads(message.load_names)

    @_handle.register
    def _(self, message: msg.CloseLoad, link: Link, call_id: int) -> None:
        term = self._ctl.loads.term_of(message.server_id)
        if message.term > term:
            later = msg.ServerTerm(message.server_id, message.term)
            self._ctl.owner_announced(later, link)
        self._ctl.loads.consent_to_close(message, link)

    @_handle.register
    def _(self, message: msg.BundleOffered, link: Link, call_id: int) -> None:
        self._ctl.follower.offer(BundlePointer(*message), LinkSource(link))

    @_handle.register
    def _(self, message: msg.SuspectRecords, link: Link, call_id: int) -> None:
        self._ctl.merge_suspects(message, link)

    @_handle.register(msg.GetManifest)
    @_handle.register(msg.GetChunk)
    def _(
        self, message: msg.GetManifest | msg.GetChunk, link: Link, call_id: int
    ) -> None:
        holder = self._ctl.follower.holder
        link.reply(call_id, answer_part_request(message, holder))

    @_handle.register
    def _(self, message: msg.LoadDeclined, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        want = self._ctl.to_owners.placing.declined(message, now_s)
        if want is not None:
            self._ctl.to_owners.place(want, now_s)

    @_handle.register
    def _(self, message: msg.PermitGranted, link: Link, call_id: int) -> None:
        self._ctl.owners.permitted(message)


class AcceptedLinks:
    """Handles what entries, other controllers and the admin send.

    :param controller: the controller that was dialled.
    """

    def __init__(self, controller: ControllerParts) -> None:
        self._ctl = controller
        keepers = TrialKeepers(
            controller.fleet,
            controller.owners,
            controller.loads,
            controller.peers,
        )
        self._trials = TrialDesk(
            controller.owners.trials,
            keepers.is_here,
            keepers.link_to,
        )

    def on_message(self, link: Link, message: Any, call_id: int) -> None:
        """Handle a message from a process that dialled."""
        self._handle(message, link, call_id)

    @singledispatchmethod
    def _handle(self, message: Any, link: Link, call_id: int) -> None:
        """Refuse a request that this program does not answer."""
        _refuse(message, link, call_id)

    @_handle.register
    def _(self, message: msg.Renew, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        peer = link.peer
        self._ctl.table.heard(
            peer.instance_id, peer.data_centre, message, now_s
        )
        self._ctl.subscribers.record_grant(peer.instance_id, now_s)
        loads = self._ctl.owners.loads(self._ctl.lease.renewal, now_s)
        confirmed = self._ctl.loads.owned_by(peer.instance_id)
        listed = peer.instance_id in self._ctl.fleet.listed()
        link.reply(call_id, msg.Renewed(loads, confirmed, listed))

    @_handle.register
    def _(self, message: msg.ServerReport, link: Link, call_id: int) -> None:
        owner = self._ctl.owners.get(message.server.server_id)
        if owner is not None:
            owner.report_running(
                link.peer.instance_id, message, time.monotonic()
            )

    @_handle.register
    def _(self, message: msg.CloseRefused, link: Link, call_id: int) -> None:
        owner = self._ctl.owners.get(message.server.server_id)
        if owner is not None:
            owner.refused(message.server)

    @_handle.register
    def _(self, message: msg.LoadDrained, link: Link, call_id: int) -> None:
        peer = link.peer
        if peer.kind == 'entry':
            self._ctl.loads.entry_drained(peer.name, message.load_name)
            return
        owner = self._ctl.owners.of_load(message.load_name)
        if owner is not None:
            owner.drained(peer.instance_id, message.load_name)

    @_handle.register
    def _(self, message: msg.WantLoad, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        self._ctl.to_owners.placing.note(message, now_s)
        self._ctl.to_owners.place(message, now_s)

    @_handle.register
    def _(self, message: msg.LoadWanted, link: Link, call_id: int) -> None:
        self._ctl.owners.want(
            message.server_id, message.load_request, link, time.monotonic()
        )

    @_handle.register
    def _(self, message: msg.LoadUses, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        if link.peer.kind == 'entry':
            self._ctl.to_owners.forward_uses(message, now_s)
        else:
            self._ctl.owners.used(message, now_s)

    @_handle.register
    def _(self, message: msg.LoadMissing, link: Link, call_id: int) -> None:
        if link.peer.kind == 'entry':
            self._ctl.to_owners.send(
                message.server_id, message, time.monotonic()
            )
            return
        owner = self._ctl.owners.get(message.server_id)
        if owner is not None:
            owner.missing()

    @_handle.register
    def _(self, message: msg.BundleOffered, link: Link, call_id: int) -> None:
        self._ctl.follower.offer(BundlePointer(*message), LinkSource(link))

    @_handle.register
    def _(self, message: msg.BundleInForce, link: Link, call_id: int) -> None:
        self._ctl.in_force.told(link.peer.name, message)

    @_handle.register(msg.GetManifest)
    @_handle.register(msg.GetChunk)
    def _(
        self, message: msg.GetManifest | msg.GetChunk, link: Link, call_id: int
    ) -> None:
        holder = self._ctl.follower.holder
        link.reply(call_id, answer_part_request(message, holder))

    @_handle.register
    def _(self, message: msg.GetStatus, link: Link, call_id: int) -> None:
        reports = self._ctl.table.reports(time.monotonic())
        link.reply(call_id, msg.Status(reports))

    @_handle.register
    def _(self, message: msg.PermitLoad, link: Link, call_id: int) -> None:
        self._ctl.desk.request_permit(message, link, time.monotonic())

    @_handle.register
    def _(self, message: msg.PermitReturned, link: Link, call_id: int) -> None:
        self._ctl.desk.return_permit(message, time.monotonic())

    @_handle.register
    def _(self, message: msg.SuspectRecords, link: Link, call_id: int) -> None:
        self._ctl.merge_suspects(message, link)

    @_handle.register(msg.TakeTrial)
    @_handle.register(msg.TrialLost)
    def _(
        self, message: msg.TakeTrial | msg.TrialLost, link: Link, call_id: int
    ) -> None:
        self._trials.ask(message, link, call_id, time.monotonic())

    @_handle.register(msg.EndTrial)
    @_handle.register(msg.SuspectRunning)
    def _(
        self,
        message: msg.EndTrial | msg.SuspectRunning,
        link: Link,
        call_id: int,
    ) -> None:
        self._trials.note(message, link, time.monotonic())

    @_handle.register
    def _(self, message: msg.ClaimKey, link: Link, call_id: int) -> None:
        self._ctl.claims.claim(message, link, call_id)

    @_handle.register
    def _(self, message: msg.SettleKey, link: Link, call_id: int) -> None:
        self._ctl.claims.settle(message, link, call_id)

    @_handle.register
    def _(self, message: msg.HoldersLost, link: Link, call_id: int) -> None:
        self._ctl.claims.settle_lost_holders(message)

    @_handle.register
    def _(self, message: msg.Goodbye, link: Link, call_id: int) -> None:
        if link.peer.kind == 'entry':
            self._ctl.loads.entry_left(link)
            self._ctl.entry_ended(link.peer.name)
        else:
            self._ctl.subscribers.remove_instance(link.peer.instance_id)
            self._ctl.table.forget(link.peer.instance_id)


def _refuse(message: Any, link: Link, call_id: int) -> None:
    if call_id:
        link.reply(call_id, msg.Refusal('unexpected', type(message).__name__))
