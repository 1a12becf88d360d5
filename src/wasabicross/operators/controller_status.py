"""The status of all instances, as the controller beside the admin knows it."""

import threading

from wasabicross.messaging.links import Link, dial
from wasabicross.messaging.messages import GetStatus, Hello, Status
from wasabicross.operators.bundle_status import InstanceBundleStatus
from wasabicross.runtime.settings import Settings

ANSWER_TIMEOUT_S = 2.0


class _NoMessages:
    """Takes no messages: an admin is only answered."""

    def on_message(self, link: Link, message: object, call_id: int) -> None:
        """Ignore a message."""


class ControllerStatus:
    """Asks the controller of the same instance; a `StatusSource`.

    :param host: IP number of the instance.
    :param port: link port of its controller.
    :param hello: who asks.
    """

    def __init__(self, host: str, port: int, hello: Hello) -> None:
        self._host = host
        self._port = port
        self._hello = hello
        self._lock = threading.Lock()
        self._link: Link | None = None

    @classmethod
    def from_config(cls, cfg: Settings) -> 'ControllerStatus':
        """Make a source from the settings of the instance."""
        instance = cfg.instance
        hello = Hello(
            'admin',
            'admin',
            instance.instance_id,
            instance.data_centre,
            cfg.peer_token,
            [],
            [],
            [],
        )
        return cls(instance.host, cfg.controller.port, hello)

    def instances(self) -> tuple[InstanceBundleStatus, ...]:
        """Return the last status of each instance, none if nobody answers."""
        link = self._open_link()
        if link is None:
            return ()
        answer = link.call(GetStatus(), ANSWER_TIMEOUT_S)
        if answer.is_error() or not isinstance(answer.ok, Status):
            link.close()
            return ()
        return tuple(
            InstanceBundleStatus(*report) for report in answer.ok.instances
        )

    def close(self) -> None:
        """Close the link."""
        if self._link is not None:
            self._link.close()

    def _open_link(self) -> Link | None:
        with self._lock:
            if self._link is not None and not self._link.closed.is_set():
                return self._link
            dialled = dial(self._host, self._port, self._hello)
            if dialled.is_error():
                return None
            self._link = dialled.ok
            threading.Thread(
                target=self._link.run,
                args=(_NoMessages(),),
                name='status',
                daemon=True,
            ).start()
            return self._link
