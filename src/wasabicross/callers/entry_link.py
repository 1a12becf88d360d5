"""The link of an entry to the controller of its instance."""

import threading
import time
from functools import singledispatchmethod
from typing import Any
from uuid import uuid4

from expression import Error, Result

from wasabicross.bundles.bundles import Bundle, BundlePointer
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.propagation import BundleFollower, LinkSource
from wasabicross.loads.load_table import LoadTable
from wasabicross.messaging import messages as msg
from wasabicross.messaging.errors import LinkClosed, LinkError
from wasabicross.messaging.links import Link, dial
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.settings import EntrySettings, Settings
from wasabicross.servers.server_watch import ServerWatch
from wasabicross.servers.suspects import Suspects
from wasabicross.servers.trials import Trials

USAGE_INTERVAL_S = 1.0
RETRY_S = 0.2


class EntryLink:
    """Keeps an entry's bundle, servers and loads as its controller reports.

    :param cfg: settings of the instance.
    :param entry: settings of the entry.
    """

    def __init__(self, cfg: Settings, entry: EntrySettings) -> None:
        self.loads = LoadTable(cfg.servers.use_lease_s, time.monotonic())
        #: Names this process, uniquely in all data centres and over restarts.
        self.incarnation = (
            f'{cfg.instance.instance_id}/{entry.name}/{uuid4().hex}'
        )
        self.watch = ServerWatch(
            Suspects(),
            self._report_suspects,
            Trials(self.call, self.send, self.incarnation),
        )
        self.list_received = threading.Event()
        self.follower = BundleFollower(
            BundleHolder.from_config(cfg), self._bundle_in_force
        )
        self._cfg = cfg
        self._entry = entry
        self._stop = threading.Event()
        self._link: Link | None = None
        self._suspects_reported = 0

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force at this entry, None before the first."""
        return self.follower.holder.current

    @property
    def is_linked(self) -> bool:
        """Whether the link to the controller is open."""
        link = self._link
        return link is not None and not link.closed.is_set()

    def start(self) -> None:
        """Start the threads."""
        self.follower.start()
        for run in (self._run, self._report_usage):
            threading.Thread(target=run, name='controller', daemon=True).start()

    def stop(self) -> None:
        """Report that no request runs here any more, and close the link."""
        self.send(msg.Goodbye())
        self._stop.set()
        link = self._link
        if link is not None:
            link.close()

    def send(self, message: Any) -> bool:
        """Send a message without an answer; return whether it was sent."""
        link = self._link
        return link is not None and link.send(message)

    def call(self, message: Any, timeout_s: float) -> Result[Any, LinkError]:
        """Send a request to the controller and wait for its answer.

        :param message: the request.
        :param timeout_s: maximum wait in seconds.
        """
        link = self._link
        if link is None:
            return Error(LinkClosed('no link to the controller'))
        return link.call(message, timeout_s)

    def finish_request(self, load_name: str) -> None:
        """End a request on a load; send consent if a closed load drained."""
        if self.loads.finish_request(load_name):
            self.send(msg.LoadDrained(load_name))

    def on_message(self, link: Link, message: Any, call_id: int) -> None:
        """Handle a message of the controller."""
        self._handle(message, link)

    def _run(self) -> None:
        host = self._cfg.instance.host
        port = self._cfg.controller.port
        while not self._stop.is_set():
            dialled = dial(host, port, self._hello())
            if dialled.is_error():
                self._stop.wait(RETRY_S)
                continue
            self._link = dialled.ok
            # A restarted controller knows none of the records.
            self._suspects_reported = 0
            log_event(Event.CONTROLLER_LINKED)
            self._report_bundle()
            dialled.ok.run(self)
            log_event(Event.CONTROLLER_LOST)

    def _hello(self) -> msg.Hello:
        instance = self._cfg.instance
        return msg.Hello(
            'entry',
            self._entry.name,
            instance.instance_id,
            instance.data_centre,
            self._cfg.peer_token,
            self.loads.running(),
            self.loads.closed(),
            self.loads.opened(),
            self.incarnation,
        )

    def _report_usage(self) -> None:
        while not self._stop.wait(USAGE_INTERVAL_S):
            self._reconnect_after_pause(time.monotonic())
            self._report_suspects()
            usage = self.loads.take_usage()
            if usage:
                self.send(msg.LoadUses(self._entry.name, usage))

    def _reconnect_after_pause(self, now_s: float) -> None:
        """Open a new link after a pause, to receive the open loads again."""
        link = self._link
        if self.loads.tick(now_s) and link is not None:
            log_event(Event.PAUSE_NOTICED)
            link.close()

    def _report_suspects(self) -> None:
        number, records = self.watch.suspects.records_since(
            self._suspects_reported, time.monotonic()
        )
        self._suspects_reported = number
        if records:
            self.send(msg.SuspectRecords(list(records)))

    def _bundle_in_force(self, bundle: Bundle) -> None:
        self._report_bundle()

    def _report_bundle(self) -> None:
        bundle = self.bundle
        since = self.follower.holder.in_force_since
        if bundle is not None:
            report = msg.BundleInForce(
                bundle.number, bundle.digest, since or ''
            )
            self.send(report)

    @singledispatchmethod
    def _handle(self, message: Any, link: Link) -> None:
        """Ignore a message that a controller should not send."""

    @_handle.register
    def _(self, message: msg.FleetUpdate, link: Link) -> None:
        self.loads.set_remote_servers(message.need_grant)
        self.watch.update_servers(message.servers, time.monotonic())
        self.list_received.set()

    @_handle.register
    def _(self, message: msg.UseGranted, link: Link) -> None:
        self.loads.grant_use(message.grants)
        self.watch.add_reports(message.loads, time.monotonic())

    @_handle.register
    def _(self, message: msg.LoadsOpened, link: Link) -> None:
        self.loads.open_loads(message.load_names)

    @_handle.register
    def _(self, message: msg.LoadsForgotten, link: Link) -> None:
        self.loads.forget_loads(message.load_names)

    @_handle.register
    def _(self, message: msg.LoadsGone, link: Link) -> None:
        self.loads.drop_loads(message.load_names)

    @_handle.register
    def _(self, message: msg.CloseLoad, link: Link) -> None:
        if self.loads.consent_to_close(message.load_name):
            link.send(msg.LoadDrained(message.load_name))

    @_handle.register
    def _(self, message: msg.SuspectRecords, link: Link) -> None:
        self.watch.merge(message.records, time.monotonic())

    @_handle.register
    def _(self, message: msg.BundleOffered, link: Link) -> None:
        self.follower.offer(BundlePointer(*message), LinkSource(link))
