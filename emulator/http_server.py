"""A small HTTP server for stand-ins, with a thread for each connection.

Unlike an ordinary server library, it can close a connection without answering
and holds many hundreds of waiting calls with little memory.
"""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from wasabicross.runtime.stopping import stop_event, wait_for_stop

STACK_BYTES = 256 * 1024
STATUS_NOT_FOUND = 404
STATUS_BAD_REQUEST = 400
STATUS_FAILED = 500


class Request(NamedTuple):
    """A received call.

    :param method: HTTP method.
    :param path: path without the query.
    :param query: parameters of the query.
    :param body: the complete body.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object, an empty one if it has no body.

        :raises ValueError: the body is not a JSON object.
        """
        document = json.loads(self.body or b'{}')
        if not isinstance(document, dict):
            raise ValueError('not a JSON object')
        return document


class Reply(NamedTuple):
    """An answer.

    :param status: HTTP status.
    :param body: the complete body.
    :param headers: header fields besides ``Content-Length``.
    """

    status: int = 200
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


#: Answers a call; returns ``None`` to close the connection without an answer.
CallHandler = Callable[[Request], Reply | None]


def json_reply(document: object, status: int = 200) -> Reply:
    """Return a reply with a JSON body."""
    headers = (('Content-Type', 'application/json'),)
    return Reply(status, json.dumps(document).encode(), headers)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1
    server: 'StandInServer'

    def __getattr__(self, name: str) -> Callable[[], None]:
        """Handle every HTTP method in the same way."""
        if name.startswith('do_'):
            return self._answer
        raise AttributeError(name)

    def log_message(self, *_args: object) -> None:
        """Do not log calls."""

    def _answer(self) -> None:
        path, _, query = self.path.partition('?')
        length = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(length)
        req = Request(self.command, path, dict(parse_qsl(query)), body)
        reply = self.server.reply_to(req)
        if reply is None:
            self.close_connection = True
            return
        self.send_response_only(reply.status)
        for name, value in reply.headers:
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(reply.body)))
        self.end_headers()
        self.wfile.write(reply.body)


class StandInServer(ThreadingHTTPServer):
    """Serves calls on one port of the loopback address.

    :param port: port to listen on, 0 for any.
    :param answer: answers each call, in the thread of its connection.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = 1024

    def __init__(self, port: int, answer: CallHandler) -> None:
        self._answer = answer
        threading.stack_size(STACK_BYTES)
        super().__init__(('127.0.0.1', port), _Handler)

    def reply_to(self, req: Request) -> Reply | None:
        """Answer a call, with status 400 if it is malformed."""
        try:
            return self._answer(req)
        except (KeyError, TypeError, ValueError) as exc:
            return json_reply({'error': repr(exc)}, STATUS_BAD_REQUEST)
        except Exception as exc:  # Report defects of a stand-in to the caller.
            return json_reply({'error': repr(exc)}, STATUS_FAILED)

    def handle_error(self, *_args: object) -> None:
        """Ignore callers that have closed their connection."""

    def start(self) -> None:
        """Serve in a thread of its own."""
        threading.Thread(target=self.serve_forever, daemon=True).start()


def serve_until_stopped(port: int, make: Callable[[], CallHandler]) -> None:
    """Serve until SIGTERM or SIGINT; must be called from the main thread.

    :param port: port to listen on.
    :param make: returns the function that answers calls, and starts the
        threads that it needs. A thread started before this call would receive
        the signal, which would then kill the process.
    """
    stop = stop_event()
    server = StandInServer(port, make())
    server.start()
    wait_for_stop(stop)
    server.shutdown()
