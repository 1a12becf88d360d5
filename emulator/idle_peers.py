"""Peers of a controller that only send renewals and answer requests."""

import socket
import struct
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect
from websockets.sync.connection import Connection
from websockets.sync.server import ServerConnection, serve

from emulator.link_table import HOST
from wasabicross.messaging import messages as msg

#: Engines that each peer owns, about as many as in a full-size deployment.
SERVERS_PER_PEER = 2
TOKEN_AGE_S = 0.5
BUNDLE_DIGEST = 'ab' * 32
BUNDLE_SINCE = '2026-01-01T00:00:00.000000+00:00'
ANSWER_TIMEOUT_S = 5.0

# Layout of the byte and segment counts in the kernel's `tcp_info`.
_TCP_INFO_BYTES = 144
_COUNTS_OFFSET = 120
_COUNTS = struct.Struct('=QQII')


class LinkBytes(NamedTuple):
    """Payload bytes and segments of connections, in both directions."""

    payload: int
    segments: int


class IdlePeers:
    """Peers of one controller, which run as threads of this process.

    The controller connects to all of them at one port, and each of them
    connects to the controller, as controllers do with each other.

    :param count: number of peers.
    :param data_centre: data centre that they state as theirs.
    :param port: port at which the controller connects to them.
    :param token: the peer token.
    """

    def __init__(
        self, count: int, data_centre: str, port: int, token: str
    ) -> None:
        self._names = [f'{data_centre}-peer-{at}' for at in range(count)]
        self._data_centre = data_centre
        self._token = token
        self._lock = threading.Lock()
        self._accepted: list[ServerConnection] = []
        self._outgoing: list[ClientConnection] = []
        self._stop = threading.Event()
        self._server = serve(
            self._serve_link,
            HOST,
            port,
            compression=None,
            ping_interval=None,
        )
        self._port = port

    def instances(self) -> list[dict[str, Any]]:
        """Return the peers' entries for the instance list."""
        return [
            {
                'instance_id': name,
                'data_centre': self._data_centre,
                'host': HOST,
                'port': self._port,
                'state': 'live',
            }
            for name in self._names
        ]

    def server_ids(self) -> list[str]:
        """Return the ids of the servers that the peers own."""
        return [
            server_id
            for name in self._names
            for server_id in _server_ids_of(name)
        ]

    def listen(self) -> None:
        """Start to answer the controller."""
        self._start(self._server.serve_forever)

    def connect_to(self, port: int, renew_interval_s: float) -> None:
        """Connect each peer to the controller and start to send renewals.

        :param port: port of the controller.
        :param renew_interval_s: seconds between a peer's renewals.
        """
        for name in self._names:
            conn = connect(
                f'ws://{HOST}:{port}',
                compression=None,
                proxy=None,
                ping_interval=None,
            )
            opened = conn.__enter__()  # noqa: WPS609
            self._outgoing.append(opened)
            _call(opened, self._hello(name))
        self._start(lambda: self._renew(renew_interval_s))

    def linked(self) -> bool:
        """Return whether the controller has connected to every peer."""
        return len(self._accepted) >= len(self._names)

    def link_bytes(self) -> LinkBytes:
        """Return the traffic of all links so far."""
        conns: list[Connection] = [*self._accepted, *self._outgoing]
        counts = [_traffic_of(conn.socket) for conn in conns]
        return LinkBytes(
            sum(each.payload for each in counts),
            sum(each.segments for each in counts),
        )

    def close(self) -> None:
        """Close all links."""
        self._stop.set()
        for conn in self._outgoing:
            conn.socket.close()
        self._server.shutdown()

    def _start(self, run: Callable[[], None]) -> None:
        threading.Thread(target=run, daemon=True).start()

    def _hello(self, name: str) -> msg.Hello:
        return msg.Hello(
            'controller', name, name, self._data_centre, self._token, [], [], []
        )

    def _renew(self, interval_s: float) -> None:
        renew = msg.Renew(1, BUNDLE_DIGEST, BUNDLE_SINCE)
        pause_s = interval_s / max(1, len(self._outgoing))
        while not self._stop.is_set():
            for conn in self._outgoing:
                try:
                    _call(conn, renew)
                except (WebSocketException, OSError, TimeoutError):
                    return
                self._stop.wait(pause_s)

    def _serve_link(self, conn: ServerConnection) -> None:
        with self._lock:
            name = self._names[len(self._accepted) % len(self._names)]
            self._accepted.append(conn)
        loads = [
            msg.ServerLoad(server_id, 8, 0, 64, TOKEN_AGE_S, TOKEN_AGE_S)
            for server_id in _server_ids_of(name)
        ]
        for frame in conn:
            envelope = msg.decode(frame).ok
            if envelope.kind != msg.REQUEST:
                continue
            answer: Any = msg.Renewed(loads, [], is_listed=True)
            if isinstance(envelope.message, msg.Hello):
                answer = msg.Welcome(name)
            reply = msg.Envelope(msg.REPLY, envelope.call_id, answer)
            conn.send(msg.encode(reply))


def _server_ids_of(name: str) -> list[str]:
    return [f'{name}-engine-{at}' for at in range(SERVERS_PER_PEER)]


def _call(conn: Connection, message: Any) -> None:
    conn.send(msg.encode(msg.Envelope(msg.REQUEST, 1, message)))
    mark = msg.ONE_WAY
    while mark != msg.REPLY:
        mark = msg.decode(conn.recv(ANSWER_TIMEOUT_S)).ok.kind


def _traffic_of(sock: socket.socket) -> LinkBytes:
    tcp_info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
    )
    acked, received, sent_segments, received_segments = _COUNTS.unpack_from(
        tcp_info, _COUNTS_OFFSET
    )
    return LinkBytes(acked + received, sent_segments + received_segments)
