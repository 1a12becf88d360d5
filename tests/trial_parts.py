"""Requests, links and controllers for the tests of trials.

A suspect is a request that may have crashed a server. It runs again only as a
trial, for which an entry needs a permit of a controller.
"""

import time
from concurrent.futures import Future
from types import SimpleNamespace

from expression import Error, Ok

from emulator.waiting import free_ports
from wasabicross.controllers.trial_permit_service import TrialPermitService
from wasabicross.dispatching.errors import OutcomeUnknown
from wasabicross.messaging.errors import LinkClosed
from wasabicross.messaging.messages import Refusal, ServerInfo
from wasabicross.ownership.trial_permits import TrialPermits
from wasabicross.servers.server_watch import ServerWatch
from wasabicross.servers.suspects import Clearance, Suspects, fingerprint
from wasabicross.servers.trials import Trials

#: Crashes every server that runs it; the other two are harmless.
KILLER = fingerprint('/v1/chat', b'killer')
INNOCENT = fingerprint('/v1/chat', b'innocent')
OTHER = fingerprint('/v1/chat', b'other')

GO, TRIAL = Clearance.go, Clearance.trial
BUSY, CONVICTED = Clearance.busy, Clearance.convicted
BROKEN = OutcomeUnknown('the connection broke')
SERVERS = 'abcdef'


class FakeLink:
    """Records the reply of a permit service, or forwards to another one."""

    def __init__(self, kind, permit_service=None):
        self.peer = SimpleNamespace(kind=kind)
        self.permit_service = permit_service
        self.answer = None

    def reply(self, call_id, message):
        self.answer = message

    def send(self, message):
        self.permit_service.handle_notice(
            message, FakeLink('controller'), time.monotonic()
        )

    def request(self, message):
        reply_link = FakeLink('controller')
        self.permit_service.handle_request(
            message, reply_link, 1, time.monotonic()
        )
        fut = Future()
        fut.set_result(Ok(reply_link.answer))
        return fut


class ControllerPair:
    """Two permit services: entries ask one, which forwards to the other.

    The other one keeps the permits of all servers.
    """

    def __init__(self, ttl_s=60):
        self.permits = TrialPermits(ttl_s)
        self.is_disconnected = False
        self.notices = []
        self.permit_service = TrialPermitService(
            self.permits, lambda _server_id: True, None
        )
        onward_link = FakeLink('controller', self.permit_service)
        self.forwarding_service = TrialPermitService(
            TrialPermits(ttl_s),
            lambda _server_id: False,
            lambda _server_id, _request: (
                None if self.is_disconnected else onward_link
            ),
        )
        ports = free_ports(len(SERVERS))
        self._server_infos = [
            ServerInfo(
                name, 'engine', 'g', 'north', '127.0.0.1', port, 'live', 'b'
            )
            for name, port in zip(SERVERS, ports, strict=True)
        ]

    def request(self, message, timeout_s):
        link = FakeLink('entry')
        self.forwarding_service.handle_request(
            message, link, 1, time.monotonic()
        )
        if isinstance(link.answer, Refusal):
            return Error(LinkClosed(link.answer.code))
        return Ok(link.answer)

    def notify(self, message):
        self.notices.append(message)
        self.forwarding_service.handle_notice(
            message, FakeLink('entry'), time.monotonic()
        )
        return True

    def entry(self, name):
        trials = Trials(self.request, self.notify, name)
        watch = ServerWatch(Suspects(), list, trials)
        # Nothing listens on the ports, so a server counts as lost as soon as
        # the connection of a request to it breaks.
        watch.update_servers(self._server_infos, time.monotonic())
        return watch


def begin_request(watch, request, server):
    return watch.begin(request, server, time.monotonic())


def share_suspects(source, target):
    _, records = source.suspects.records_since(0, time.monotonic())
    target.merge(records, time.monotonic())


def is_convicted(watch, request):
    now_s = time.monotonic()
    return watch.suspects.clearance(request, 'f', now_s) is CONVICTED
