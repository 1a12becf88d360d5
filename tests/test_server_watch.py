"""How an entry tells a lost server from a broken connection.

If it took one for the other, a request that crashes servers would run again, or
a harmless request would be held back as a suspect.
"""

import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from expression import Error

from emulator.waiting import free_ports
from wasabicross.dispatching.errors import OutcomeUnknown, ServerRefused
from wasabicross.messaging.errors import LinkClosed
from wasabicross.messaging.messages import ServerInfo
from wasabicross.servers.server_watch import Ending, ServerWatch
from wasabicross.servers.suspects import Clearance, Suspects, fingerprint
from wasabicross.servers.trials import Trials

REQUEST = fingerprint('/v1/chat', b'request')
COPY = fingerprint('/v1/chat', b'other')
LOAD = 'quote@1#s:2:1'
LATER = 'quote@1#s:2:2'
GO, TRIAL = Clearance.go, Clearance.trial
BROKEN = OutcomeUnknown('the connection broke')


class Inventory(BaseHTTPRequestHandler):
    """Answers which loads an engine holds, unless it is shutting down."""

    def setup(self):
        super().setup()
        if self.server.is_dying:
            self.server.socket.shutdown(socket.SHUT_RDWR)
            self.connection.shutdown(socket.SHUT_RDWR)

    def do_GET(self):  # noqa: N802
        held = self.server.held
        cards = [{'id': name, 'parent': 'base'} for name in held or ()]
        document = {'data': cards, 'slots': 4, 'batch_size': 8}
        if held is None:
            document = {'error': {'code': 'starting'}}
        body = json.dumps(document).encode()
        self.send_response(503 if held is None else 200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_args):
        """Print nothing."""


@pytest.fixture
def engine():
    server = ThreadingHTTPServer(('127.0.0.1', 0), Inventory)
    server.held = ()
    server.is_dying = False
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def watch_of(port):
    notices = []
    trials = Trials(
        lambda message, timeout_s: Error(LinkClosed('none')),
        notices.append,
        'e',
    )
    watch = ServerWatch(Suspects(), lambda: notices.append('news'), trials)
    server = ServerInfo('s', 'engine', 'g', 'n', '127.0.0.1', port, 'live', 'b')
    watch.update_servers([server], time.monotonic())
    return watch


def clearance(watch, request):
    return watch.suspects.clearance(request, 'elsewhere', time.monotonic())


def suspect_records(watch):
    _, records = watch.suspects.records_since(0, time.monotonic())
    return {record.fingerprint for record in records}


@pytest.mark.parametrize('is_streaming', [True, False])
@pytest.mark.parametrize(
    ('held', 'load_name', 'after', 'is_suspect_everywhere'),
    [
        # Only the connection broke: the engine still holds the load.
        ((LOAD,), LOAD, GO, False),
        # The engine restarted before any connection to it was refused.
        ((), LOAD, TRIAL, True),
        ((LATER,), LOAD, TRIAL, True),
        # The engine does not say, so only this entry suspects the request.
        (None, LOAD, TRIAL, False),
        # A plain service holds no loads that could show a restart.
        ((), '', GO, False),
    ],
)
def test_restart_is_told_from_a_cut(
    engine, is_streaming, held, load_name, after, is_suspect_everywhere
):
    engine.held = held
    watch = watch_of(engine.server_address[1])
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    if is_streaming:
        watch.end(REQUEST, 's', Ending.cut, load_name)
    else:
        watch.fail(REQUEST, 's', BROKEN, load_name)
    assert clearance(watch, REQUEST) is after
    assert suspect_records(watch) == (
        {REQUEST} if is_suspect_everywhere else set()
    )


def test_restart_makes_all_that_ran_there_suspect(engine):
    """This includes requests whose connections have not broken yet."""
    watch = watch_of(engine.server_address[1])
    for request in (REQUEST, COPY):
        assert watch.begin(request, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', BROKEN, LOAD)
    assert suspect_records(watch) == {REQUEST, COPY}
    watch.fail(COPY, 's', BROKEN, LOAD)
    assert clearance(watch, COPY) is TRIAL


@pytest.mark.parametrize('load_name', [LOAD, ''])
def test_server_that_accepts_while_it_dies_is_lost(engine, load_name):
    """The server closes its connections before it stops listening."""
    engine.is_dying = True
    watch = watch_of(engine.server_address[1])
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', BROKEN, load_name)
    assert suspect_records(watch) == {REQUEST}


def test_refused_connection_is_a_loss():
    (port,) = free_ports(1)
    watch = watch_of(port)
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', BROKEN, LOAD)
    assert suspect_records(watch) == {REQUEST}


@pytest.mark.parametrize(
    ('refusal', 'is_usable'),
    [('server is leaving', False), ('queue full', True)],
)
def test_refusal_for_leaving_counts_at_once(engine, refusal, is_usable):
    """The list still shows the server as live in later readings."""
    watch = watch_of(engine.server_address[1])
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', ServerRefused(refusal), LOAD)
    for _ in range(3):
        assert ('s' in watch.usable(['s'], time.monotonic())) is is_usable
        watch.update_servers(watch.group('engine', 'g'), time.monotonic())
