"""The status of all instances, as known to the controller of this instance."""

import threading

from wasabicross.messaging.links import Link, dial
from wasabicross.messaging.messages import GetStatus, Hello, Status
from wasabicross.operators.bundle_status import InstanceBundleStatus
from wasabicross.runtime.settings import Settings

STATUS_TIMEOUT_S = 2.0


class _IgnoringHandler:
    """Ignores messages, as a controller only sends answers to an admin."""

    def on_message(self, link: Link, message: object, call_id: int) -> None:
        """Ignore a message."""


class ControllerStatus:
    """A `StatusSource` that queries the controller of the same instance.

    :param host: IP address of the instance.
    :param port: link port of its controller.
    :param hello: the hello that opens the link.
    """

    def __init__(self, host: str, port: int, hello: Hello) -> None:
        self._host = host
        self._port = port
        self._hello = hello
        self._lock = threading.Lock()
        self._link: Link | None = None

    @classmethod
    def from_config(cls, cfg: Settings) -> 'ControllerStatus':
        """Create a source from the settings of the instance."""
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
        """Return the last status of each instance.

        The result is empty if the controller does not answer.
        """
        link = self._open_link()
        if link is None:
            return ()
        answer = link.call(GetStatus(), STATUS_TIMEOUT_S)
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
            opened = dial(self._host, self._port, self._hello)
            if opened.is_error():
                return None
            self._link = opened.ok
            threading.Thread(
                target=self._link.run,
                args=(_IgnoringHandler(),),
                name='status',
                daemon=True,
            ).start()
            return self._link
