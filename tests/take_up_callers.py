"""Callers of streams that are read event by event, and left at any moment."""

import http.client
import time
from typing import NamedTuple

from take_up_engines import LAST


class Answer:
    """A caller's attempt at a gateway."""

    def __init__(self, host, port, path, fields):
        self.asked_s = time.monotonic()
        self._conn = http.client.HTTPConnection(host, port, timeout=6)
        self._conn.request('POST', path, b'x', fields)
        self._response = None
        self._events = []
        self.left_s = None

    @property
    def head(self):
        """Return the answer's head, and wait for it."""
        if self._response is None:
            self._response = self._conn.getresponse()
            self.answered_s = time.monotonic()
        return self._response

    @property
    def status(self):
        """Return the answer's status, and wait for it."""
        return self.head.status

    def read(self, upto=LAST):
        """Read events up to a number; return all so far, each with its version."""
        number = 0
        while number < upto:
            event = self._read_event()
            if event is None:
                break
            self._events.append(event)
            number = event[0]
        return self._events

    def read_to_end(self):
        """Return whether the answer is whole, and read it to its end."""
        try:
            while self._read_event_or_end() is not None:
                continue
        except (http.client.HTTPException, OSError):
            return False
        return True

    def leave(self):
        """Close the connection."""
        sock = self._conn.sock
        self._conn.close()
        if self._response is not None:
            self._response.close()
        if sock is not None:
            sock.close()
        self.left_s = time.monotonic()

    def _read_event(self):
        try:
            return self._read_event_or_end()
        except (http.client.HTTPException, OSError):
            return None

    def _read_event_or_end(self):
        line = self.head.readline()
        if not line:
            return None
        data = self.head.readline()
        self.head.readline()
        if not data.endswith(b'\n'):
            raise http.client.IncompleteRead(data)
        return int(line.split()[1]), data.decode().split(maxsplit=1)[1].strip()


class Begun(NamedTuple):
    """A stream that has begun.

    :param request_id: id of the attempt that brought its first event.
    :param answer: that attempt.
    :param version: service and software version of its first event.
    """

    path: str
    request_id: str
    answer: Answer
    version: str
