"""An HTTP server in a thread, and a reader of its connections."""

import threading
from contextlib import contextmanager

from wasabicross.runtime.http_server import HttpServer

THREADS = 2


@contextmanager
def served(application, timeout_s=1):
    """Serve a WSGI application on a free port and yield its address.

    :param timeout_s: maximum seconds until a request is complete.
    """
    server = HttpServer(
        ('127.0.0.1', 0),
        application,
        numthreads=THREADS,
        timeout=timeout_s,
        body_timeout_s=timeout_s,
        shutdown_timeout=2,
    )
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield server.bind_addr
    finally:
        server.stop()
        thread.join()


def read_to_end(conn):
    """Return all bytes received on a connection until it closes."""
    return b''.join(iter(lambda: conn.recv(65536), b''))
