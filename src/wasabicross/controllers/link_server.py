"""How a controller serves the links that other processes open."""

import time

from wasabicross.controllers.controller_links import AcceptedLinks
from wasabicross.controllers.parts import ControllerParts
from wasabicross.messaging import messages as msg
from wasabicross.messaging.links import Link
from wasabicross.ownership.peers import max_silence_s
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event


class LinkServer:
    """Accepts links, sends the current state on them and handles messages.

    :param controller: the controller that accepts the links.
    """

    def __init__(self, controller: ControllerParts) -> None:
        self._ctl = controller
        self._accepted = AcceptedLinks(controller)

    def accept(self, link: Link) -> msg.Welcome | msg.Refusal:
        """Accept the link of a process that has the token of the peers.

        :param link: the link, with the hello of the process that opened it.
        """
        cfg = self._ctl.cfg
        if link.peer.token != cfg.peer_token:
            log_event(Event.PEER_REFUSED, peer=link.peer.name)
            return msg.Refusal('not_allowed', 'wrong token')
        return msg.Welcome(cfg.instance.instance_id)

    def serve(self, link: Link) -> None:
        """Serve a link until it ends.

        :param link: the accepted link.
        """
        if link.peer.kind == 'entry':
            self._serve_entry(link)
        elif link.peer.kind == 'controller':
            self._serve_peer(link)
        else:
            link.run(self._accepted)

    def _serve_entry(self, link: Link) -> None:
        ctl = self._ctl
        ctl.entry_linked(link.peer)
        link.send(ctl.fleet.update())
        self._offer_bundle(link)
        link.send(ctl.known_suspects(time.monotonic()))
        ctl.loads.entry_joined(link)
        link.run(self._accepted)
        ctl.loads.entry_left(link)

    def _serve_peer(self, link: Link) -> None:
        ctl = self._ctl
        ctl.subscribers.link_opened(link, time.monotonic())
        link.send(ctl.owners.announcement())
        for snapshot in ctl.owners.snapshots():
            link.send(snapshot)
        self._offer_bundle(link)
        link.send(ctl.known_suspects(time.monotonic()))
        silence_s = max_silence_s(
            ctl.subscribers.window.use_lease_s,
            is_local=link.peer.data_centre == ctl.cfg.instance.data_centre,
        )
        link.run(self._accepted, silence_s)
        ctl.subscribers.link_closed(link, time.monotonic())

    def _offer_bundle(self, link: Link) -> None:
        offer = self._ctl.follower.current_offer()
        if offer is not None:
            link.send(offer)
