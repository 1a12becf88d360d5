"""An HTTP server in a thread, and what comes back on its connections."""

import threading
from contextlib import contextmanager

from wasabicross.runtime.http_server import HttpServer

THREADS = 2


@contextmanager
def served(application, timeout_s=1):
    """Serve a WSGI application on a free port; yields its address.

    :param timeout_s: seconds for a request to be whole.
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
    """Return all that comes on a connection until it ends."""
    return b''.join(iter(lambda: conn.recv(65536), b''))
