"""Requests and links for the tests of trials."""

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

KILLER = fingerprint('/v1/chat', b'killer')
INNOCENT = fingerprint('/v1/chat', b'innocent')
OTHER = fingerprint('/v1/chat', b'other')

GO, TRIAL = Clearance.go, Clearance.trial
BUSY, CONVICTED = Clearance.busy, Clearance.convicted
BROKEN = OutcomeUnknown('the connection broke')
SERVERS = 'abcdef'


class FakeLink:
    """Takes what a desk answers; is answered by another desk."""

    def __init__(self, kind, keeper=None):
        self.peer = SimpleNamespace(kind=kind)
        self.keeper = keeper
        self.answer = None

    def reply(self, call_id, message):
        self.answer = message

    def send(self, message):
        self.keeper.handle_notice(
            message, FakeLink('controller'), time.monotonic()
        )

    def request(self, message):
        back = FakeLink('controller')
        self.keeper.handle_request(message, back, 1, time.monotonic())
        fut = Future()
        fut.set_result(Ok(back.answer))
        return fut


class Fleet:
    """The controllers between two entries, with one keeper of permits."""

    def __init__(self, ttl_s=60):
        self.permits = TrialPermits(ttl_s)
        self.is_cut = False
        self.told = []
        self.keeper = TrialPermitService(
            self.permits, lambda _server_id: True, None
        )
        onward = FakeLink('controller', self.keeper)
        self.desk = TrialPermitService(
            TrialPermits(ttl_s),
            lambda _server_id: False,
            lambda _server_id, _request: None if self.is_cut else onward,
        )
        ports = free_ports(len(SERVERS))
        self._servers = [
            ServerInfo(
                name, 'engine', 'g', 'north', '127.0.0.1', port, 'live', 'b'
            )
            for name, port in zip(SERVERS, ports, strict=True)
        ]

    def ask(self, message, timeout_s):
        link = FakeLink('entry')
        self.desk.handle_request(message, link, 1, time.monotonic())
        if isinstance(link.answer, Refusal):
            return Error(LinkClosed(link.answer.code))
        return Ok(link.answer)

    def tell(self, message):
        self.told.append(message)
        self.desk.handle_notice(message, FakeLink('entry'), time.monotonic())
        return True

    def entry(self, name):
        trials = Trials(self.ask, self.tell, name)
        watch = ServerWatch(Suspects(), list, trials)
        # Nothing listens on the ports, so each server that breaks is lost.
        watch.update_servers(self._servers, time.monotonic())
        return watch


def begin(watch, request, server):
    return watch.begin(request, server, time.monotonic())


def tell(one, other):
    _, records = one.suspects.records_since(0, time.monotonic())
    other.merge(records, time.monotonic())


def is_convicted(watch, request):
    now_s = time.monotonic()
    return watch.suspects.clearance(request, 'f', now_s) is CONVICTED
