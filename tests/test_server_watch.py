"""What an entry concludes when the connection of a request breaks."""

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
    """Answers which loads an engine holds, unless it is dying."""

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
    told = []
    trials = Trials(
        lambda message, timeout_s: Error(LinkClosed('none')), told.append, 'e'
    )
    watch = ServerWatch(Suspects(), lambda: told.append('news'), trials)
    server = ServerInfo('s', 'engine', 'g', 'n', '127.0.0.1', port, 'live', 'b')
    watch.update_servers([server], time.monotonic())
    return watch


def clearance(watch, request):
    return watch.suspects.clearance(request, 'elsewhere', time.monotonic())


def told(watch):
    _, records = watch.suspects.records_since(0, time.monotonic())
    return {record.fingerprint for record in records}


@pytest.mark.parametrize('is_streaming', [True, False])
@pytest.mark.parametrize(
    ('held', 'load_name', 'after', 'is_told'),
    [
        # Only the connection broke: the load is still there.
        ((LOAD,), LOAD, GO, False),
        # Restarted before anybody could see it refuse a connection.
        ((), LOAD, TRIAL, True),
        ((LATER,), LOAD, TRIAL, True),
        # It tells nothing, so that the request is only held suspect here.
        (None, LOAD, TRIAL, False),
        # A plain service holds nothing by which to tell.
        ((), '', GO, False),
    ],
)
def test_restart_is_told_from_a_cut(
    engine, is_streaming, held, load_name, after, is_told
):
    engine.held = held
    watch = watch_of(engine.server_address[1])
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    if is_streaming:
        watch.end(REQUEST, 's', Ending.cut, load_name)
    else:
        watch.fail(REQUEST, 's', BROKEN, load_name)
    assert clearance(watch, REQUEST) is after
    assert told(watch) == ({REQUEST} if is_told else set())


def test_restart_makes_all_that_ran_there_suspect(engine):
    """Also those whose own connections have not been seen to break yet."""
    watch = watch_of(engine.server_address[1])
    for request in (REQUEST, COPY):
        assert watch.begin(request, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', BROKEN, LOAD)
    assert told(watch) == {REQUEST, COPY}
    watch.fail(COPY, 's', BROKEN, LOAD)
    assert clearance(watch, COPY) is TRIAL


@pytest.mark.parametrize('load_name', [LOAD, ''])
def test_server_that_accepts_while_it_dies_is_lost(engine, load_name):
    """Its connections are closed before it stops to listen."""
    engine.is_dying = True
    watch = watch_of(engine.server_address[1])
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', BROKEN, load_name)
    assert told(watch) == {REQUEST}


def test_refused_connection_is_a_loss():
    (port,) = free_ports(1)
    watch = watch_of(port)
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', BROKEN, LOAD)
    assert told(watch) == {REQUEST}


@pytest.mark.parametrize(
    ('refusal', 'is_usable'),
    [('server is leaving', False), ('queue full', True)],
)
def test_own_word_of_leaving_counts_at_once(engine, refusal, is_usable):
    """The list still shows the server as live, again and again."""
    watch = watch_of(engine.server_address[1])
    assert watch.begin(REQUEST, 's', time.monotonic()) is GO
    watch.fail(REQUEST, 's', ServerRefused(refusal), LOAD)
    for _ in range(3):
        assert ('s' in watch.usable(['s'], time.monotonic())) is is_usable
        watch.update_servers(watch.group('engine', 'g'), time.monotonic())
