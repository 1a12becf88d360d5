"""How a controller handles the messages on its links."""

import time
from functools import singledispatchmethod
from typing import Any

from wasabicross.bundles.bundles import BundlePointer
from wasabicross.bundles.propagation import LinkSource, answer_part_request
from wasabicross.controllers.parts import ControllerParts
from wasabicross.controllers.trial_permit_locator import TrialPermitLocator
from wasabicross.controllers.trial_permit_service import TrialPermitService
from wasabicross.controllers.use_grants import UseGrants
from wasabicross.messaging import messages as msg
from wasabicross.messaging.links import Link
from wasabicross.stores.instances import Instance


class DialledLinks:
    """Handles messages on the links that this controller has opened.

    :param controller: the controller that opened the links.
    """

    def __init__(self, controller: ControllerParts) -> None:
        self._ctl = controller
        self.grants = UseGrants(controller.loads.notify_entries)

    def on_message(self, link: Link, message: Any, call_id: int) -> None:
        """Handle a message from the peer of a link that was opened."""
        self._handle(message, link, call_id)

    def peer_linked(self, link: Link, peer: Instance) -> None:
        """Send what the peer may lack: bundle, suspects, lost claim holders."""
        offer = self._ctl.follower.current_offer()
        if offer is not None:
            link.send(offer)
        link.send(self._ctl.known_suspects(time.monotonic()))
        self._ctl.send_recent_losses(link)

    def peer_renewed(
        self, peer: Instance, granted: msg.Renewed, asked_s: float
    ) -> None:
        """Add the use grants of the peer to those sent to the entries."""
        until_s = asked_s + self._ctl.subscribers.window.use_lease_s
        grants = [
            msg.Grant(server.server_id, until_s - server.confirmed_age_s)
            for server in granted.servers
        ]
        self.grants.add(grants, granted.servers, time.monotonic())
        if granted.is_listed:
            self._ctl.list.confirm_listing(
                server.server_id for server in granted.servers
            )
        own = self._ctl.cfg.instance
        is_other = peer.instance_id != own.instance_id
        if is_other and peer.data_centre == own.data_centre:
            self._ctl.owners.confirm_ownership(granted.confirmed, asked_s)

    @singledispatchmethod
    def _handle(self, message: Any, link: Link, call_id: int) -> None:
        """Refuse a request that a peer should not send."""
        _refuse(message, link, call_id)

    @_handle.register
    def _(self, message: msg.OwnedServers, link: Link, call_id: int) -> None:
        for server in message.servers:
            self._ctl.owner_announced(server, link)

    @_handle.register
    def _(self, message: msg.LoadsOpened, link: Link, call_id: int) -> None:
        self._ctl.loads.open_loads(message)
        self._ctl.owners.loads_opened(message.load_names)

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
        load_request = self._ctl.owner_links.pending_requests.record_decline(
            message, now_s
        )
        if load_request is not None:
            self._ctl.owner_links.request_load(load_request, now_s)

    @_handle.register
    def _(self, message: msg.PermitGranted, link: Link, call_id: int) -> None:
        self._ctl.owners.permit_granted(message)


class AcceptedLinks:
    """Handles messages of entries, other controllers and the admin.

    :param controller: the controller that accepted the links.
    """

    def __init__(self, controller: ControllerParts) -> None:
        self._ctl = controller
        locator = TrialPermitLocator(
            controller.fleet,
            controller.owners,
            controller.loads,
            controller.peers,
        )
        self._trial_permits = TrialPermitService(
            controller.owners.trial_permits,
            locator.is_kept_here,
            locator.link_to,
        )

    def on_message(self, link: Link, message: Any, call_id: int) -> None:
        """Handle a message from the process that opened a link."""
        self._handle(message, link, call_id)

    @singledispatchmethod
    def _handle(self, message: Any, link: Link, call_id: int) -> None:
        """Refuse a request that this program does not answer."""
        _refuse(message, link, call_id)

    @_handle.register
    def _(self, message: msg.Renew, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        peer = link.peer
        self._ctl.table.record_heartbeat(
            peer.instance_id, peer.data_centre, message, now_s
        )
        self._ctl.subscribers.record_grant(peer.instance_id, now_s)
        loads = self._ctl.owners.server_loads(self._ctl.lease.renewal, now_s)
        confirmed = self._ctl.loads.owned_by(peer.instance_id)
        listed = peer.instance_id in self._ctl.fleet.listed_instances()
        link.reply(call_id, msg.Renewed(loads, confirmed, listed))

    @_handle.register
    def _(self, message: msg.ServerReport, link: Link, call_id: int) -> None:
        owner = self._ctl.owners.get(message.server.server_id)
        if owner is not None:
            owner.receive_report(
                link.peer.instance_id, message, time.monotonic()
            )

    @_handle.register
    def _(self, message: msg.CloseRefused, link: Link, call_id: int) -> None:
        owner = self._ctl.owners.get(message.server.server_id)
        if owner is not None:
            owner.close_refused(message.server)

    @_handle.register
    def _(self, message: msg.LoadDrained, link: Link, call_id: int) -> None:
        peer = link.peer
        if peer.kind == 'entry':
            self._ctl.loads.entry_drained(peer.name, message.load_name)
            return
        owner = self._ctl.owners.owner_of_load(message.load_name)
        if owner is not None:
            owner.load_drained(peer.instance_id, message.load_name)

    @_handle.register
    def _(self, message: msg.WantLoad, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        self._ctl.owner_links.pending_requests.remember(message, now_s)
        self._ctl.owner_links.request_load(message, now_s)

    @_handle.register
    def _(self, message: msg.LoadWanted, link: Link, call_id: int) -> None:
        self._ctl.owners.request_load(
            message.server_id, message.load_request, link, time.monotonic()
        )

    @_handle.register
    def _(self, message: msg.LoadUses, link: Link, call_id: int) -> None:
        now_s = time.monotonic()
        if link.peer.kind == 'entry':
            self._ctl.owner_links.forward_usage(message, now_s)
        else:
            self._ctl.owners.record_usage(message, now_s)

    @_handle.register
    def _(self, message: msg.LoadMissing, link: Link, call_id: int) -> None:
        if link.peer.kind == 'entry':
            self._ctl.owner_links.send(
                message.server_id, message, time.monotonic()
            )
            return
        owner = self._ctl.owners.get(message.server_id)
        if owner is not None:
            owner.load_missing()

    @_handle.register
    def _(self, message: msg.BundleOffered, link: Link, call_id: int) -> None:
        self._ctl.follower.offer(BundlePointer(*message), LinkSource(link))

    @_handle.register
    def _(self, message: msg.BundleInForce, link: Link, call_id: int) -> None:
        self._ctl.in_force.record_bundle(link.peer.name, message)

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
        self._ctl.permit_issuer.request_permit(message, link, time.monotonic())

    @_handle.register
    def _(self, message: msg.PermitReturned, link: Link, call_id: int) -> None:
        self._ctl.permit_issuer.return_permit(message, time.monotonic())

    @_handle.register
    def _(self, message: msg.SuspectRecords, link: Link, call_id: int) -> None:
        self._ctl.merge_suspects(message, link)

    @_handle.register(msg.TakeTrial)
    @_handle.register(msg.TrialLost)
    def _(
        self, message: msg.TakeTrial | msg.TrialLost, link: Link, call_id: int
    ) -> None:
        self._trial_permits.handle_request(
            message, link, call_id, time.monotonic()
        )

    @_handle.register(msg.EndTrial)
    @_handle.register(msg.SuspectRunning)
    def _(
        self,
        message: msg.EndTrial | msg.SuspectRunning,
        link: Link,
        call_id: int,
    ) -> None:
        self._trial_permits.handle_notice(message, link, time.monotonic())

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
