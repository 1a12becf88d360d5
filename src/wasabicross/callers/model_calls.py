"""Calls to models, run on engines that hold the adapter version."""

import json
import time
from typing import Any, NamedTuple

from wasabicross.bundles.bundles import AdapterVersion
from wasabicross.callers.attempts import AttemptHistory, Attempts
from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.entry_link import EntryLink
from wasabicross.callers.model_field import ModelField
from wasabicross.callers.replies import (
    BAD_JSON,
    LOAD_TIMEOUT,
    UNKNOWN_ADAPTER,
    CallbackContent,
    Reply,
    refuse,
)
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.engines import COMPLETIONS_PATH, Engine
from wasabicross.dispatching.errors import AdapterNotLoaded, DispatchError
from wasabicross.loads.load_names import server_of
from wasabicross.loads.load_requests import SEND_INTERVAL_S, LoadRequestSender
from wasabicross.messaging.messages import LoadMissing, WantLoad
from wasabicross.runtime.telemetry import BATCH_FILL_RATIO, LOAD_STALL_SECONDS
from wasabicross.servers.policy import Weights
from wasabicross.servers.routing import (
    Dispatch,
    Hints,
    Holder,
    batch_fill,
    choose,
    has_full_batch,
)

MAX_LOAD_WAIT_S = 20.0
RETRY_AFTER_S = 2.0
MAX_ROOM_WAIT_S = 2.0


class _ModelCall(NamedTuple):
    """A model call, its adapter version, and where it was sent so far."""

    req: CallerRequest
    document: dict[str, Any]
    requested: AdapterVersion
    history: AttemptHistory


class ModelCalls:
    """Runs model calls on the engines that hold their adapter version.

    :param link: knows the open loads, and sends load requests.
    :param attempts: sends requests to the engines.
    :param data_centre: the data centre of this entry.
    """

    def __init__(
        self,
        link: EntryLink,
        attempts: Attempts,
        data_centre: str,
    ) -> None:
        self._link = link
        self._attempts = attempts
        self._watch = attempts.watch
        self._load_request_sender = LoadRequestSender(link.send)
        self._data_centre = data_centre
        self._engines: dict[tuple[str, int], Engine] = {}

    def run(self, req: CallerRequest) -> Reply:
        """Run a model call and return its answer, or the error.

        :param req: the request; its body names the adapter as `model`.
        """
        document = req.document()
        if document is None:
            return refuse(BAD_JSON)
        requested = req.bundle.adapter(str(document.get('model')))
        if requested is None:
            return refuse(UNKNOWN_ADAPTER)
        self._attempts.count_request()
        run = _ModelCall(req, document, requested, AttemptHistory())
        while True:
            now_s = time.monotonic()
            holder = self._wait_for_holder(run, now_s)
            if holder is None:
                return run.history.refuse(LOAD_TIMEOUT, RETRY_AFTER_S)
            reply = self._attempt(run, holder)
            if reply is not None:
                return reply

    def _wait_for_holder(
        self, run: _ModelCall, started_s: float
    ) -> Holder | None:
        """Return a holder on which the request is registered as running."""
        until_s = min(run.req.deadline_s, started_s + MAX_LOAD_WAIT_S)
        holder = self._begin(run, started_s)
        if holder is None:
            with self._load_request_sender.waiting(
                self._load_request(run, (), started_s), started_s
            ):
                holder = self._wait(run, until_s)
        stalled_s = time.monotonic() - started_s
        self._observe_stall(run, stalled_s)
        return holder

    def _wait(self, run: _ModelCall, until_s: float) -> Holder | None:
        now_s = time.monotonic()
        while now_s < until_s:
            version = self._link.loads.version
            holder = self._begin(run, now_s)
            if holder is not None:
                return holder
            self._load_request_sender.send(
                self._load_request_elsewhere(run, now_s), now_s
            )
            wait_s = min(SEND_INTERVAL_S, until_s - now_s)
            self._link.loads.wait_for_change(version, wait_s)
            now_s = time.monotonic()
        return None

    def _begin(self, run: _ModelCall, now_s: float) -> Holder | None:
        holders = self._holders(run, now_s)
        weights = Weights.from_config(run.req.bundle.policy)
        hints = Hints(room_elsewhere=self._has_room(run, holders, now_s))
        choice = choose(holders, weights, self._data_centre, now_s, hints)
        if not isinstance(choice, Dispatch):
            return None
        if choice.copy_needed:
            self._load_request_sender.send(
                self._load_request_elsewhere(run, now_s), now_s
            )
        holder = self._holder_with_copy(run, holders) or choice.holder
        if not self._link.loads.begin_request(holder.load_name, now_s):
            return None
        BATCH_FILL_RATIO.labels(run.req.route.request_class).observe(
            batch_fill(holder, weights)
        )
        return holder

    def _holder_with_copy(
        self, run: _ModelCall, holders: list[Holder]
    ) -> Holder | None:
        """Return the holder that runs a copy of a request not completed yet.

        If copies of a request crash servers, they then crash only one.
        """
        copy_server = self._watch.running_on(run.req.fingerprint)
        with_copy = (each for each in holders if each.server_id == copy_server)
        return next(with_copy, None)

    def _holders(self, run: _ModelCall, now_s: float) -> list[Holder]:
        requested = run.requested
        load_names = self._link.loads.holders(
            requested.adapter, requested.version, now_s
        )
        by_server = {server_of(name) or '': name for name in load_names}
        group = self._watch.group('engine', run.req.route.group)
        usable = self._watch.usable(
            [server.server_id for server in group], now_s
        )
        return [
            self._watch.holder(server, by_server[server.server_id], now_s)
            for server in group
            if server.server_id in by_server
            and server.server_id in usable
            and server.server_id not in run.history.servers
        ]

    def _has_room(
        self, run: _ModelCall, holders: list[Holder], now_s: float
    ) -> bool:
        """Return whether only engines without the adapter have room.

        A request older than `MAX_ROOM_WAIT_S` is queued at an engine that holds
        the adapter instead of waiting for a load on another.
        """
        if now_s - run.req.accepted_s > MAX_ROOM_WAIT_S:
            return False
        if not all(has_full_batch(holder) for holder in holders):
            return False
        held_by = {holder.server_id for holder in holders}
        return any(
            not has_full_batch(engine)
            for engine in self._watch.engines(run.req.route.group, now_s)
            if engine.server_id not in held_by
            and engine.server_id not in run.history.servers
        )

    def _load_request_elsewhere(
        self, run: _ModelCall, now_s: float
    ) -> WantLoad:
        """Describe a load on an engine that does not hold it yet."""
        holders = self._holders(run, now_s)
        held_by = tuple(holder.server_id for holder in holders)
        return self._load_request(run, held_by, now_s)

    def _load_request(
        self, run: _ModelCall, held_by: tuple[str, ...], now_s: float
    ) -> WantLoad:
        """Describe what to load, and on which engines it would not help."""
        ungranted = self._link.loads.ungranted(now_s)
        requested = run.requested
        route = run.req.route
        group = [
            server.server_id
            for server in self._watch.group('engine', route.group)
        ]
        usable = self._watch.usable(group, now_s)
        excluded = [each for each in group if each not in usable]
        full = [
            engine.server_id
            for engine in self._watch.engines(route.group, now_s)
            if has_full_batch(engine)
        ]
        weights = Weights.from_config(run.req.bundle.policy)
        return WantLoad(
            requested.adapter,
            requested.version,
            requested.base_model,
            route.group,
            route.request_class,
            0,
            [*run.history.servers, *held_by, *ungranted, *excluded],
            full,
            weights.fills_in_turn,
        )

    def _observe_stall(self, run: _ModelCall, stalled_s: float) -> None:
        req = run.req
        LOAD_STALL_SECONDS.labels(req.tenant, req.route.request_class).observe(
            stalled_s
        )

    def _attempt(self, run: _ModelCall, holder: Holder) -> Reply | None:
        """Send the request once; None if another engine may be tried."""
        run.history.servers.append(holder.server_id)
        now_s = time.monotonic()
        cleared = self._attempts.clear(
            run.req, holder.server_id, run.history, now_s
        )
        if cleared is not True:
            self._link.finish_request(holder.load_name)
            return cleared or None
        call = self._call(run, holder, time.monotonic())
        priority = run.req.bundle.priority_of(run.req.route.request_class)
        reply = self._attempts.exchange(
            run.req,
            holder.server_id,
            lambda: self._engine(holder.server_id).complete(call, priority),
            self._extra_headers(run),
            ModelField(holder.load_name, run.requested.adapter).rename,
            holder.load_name,
        )
        if isinstance(reply, Reply):
            content = CallbackContent(
                reply.content,
                lambda: self._link.finish_request(holder.load_name),
            )
            # The first piece of a stream arrives once the request runs; a
            # complete answer arrives when it has run.
            is_streamed = run.document.get('stream') is True
            return reply._replace(
                content=content,
                running_since_s=time.monotonic() if is_streamed else None,
            )
        self._link.finish_request(holder.load_name)
        return self._after_failure(run, holder, reply)

    def _after_failure(
        self, run: _ModelCall, holder: Holder, exc: DispatchError
    ) -> Reply | None:
        if isinstance(exc, AdapterNotLoaded):
            self._link.loads.drop_loads([holder.load_name])
            self._link.send(LoadMissing(holder.server_id, holder.load_name))
            run.history.servers.remove(holder.server_id)
            return None
        return self._attempts.after_failure(
            run.req, exc, run.history, time.monotonic()
        )

    def _engine(self, server_id: str) -> Engine:
        server = self._watch.server(server_id)
        address = (server.host, server.port) if server else ('', 0)
        engine = self._engines.get(address)
        if engine is None:
            engine = Engine(Dispatcher(*address))
            self._engines[address] = engine
        return engine

    def _call(self, run: _ModelCall, holder: Holder, now_s: float) -> Call:
        req = run.req
        document = {**run.document, 'model': holder.load_name}
        headers = (
            ('Content-Type', 'application/json'),
            ('X-Request-Id', req.request_id),
        )
        return Call(
            'POST',
            COMPLETIONS_PATH,
            headers,
            json.dumps(document).encode(),
            req.deadline_s - now_s,
            req.is_idempotent,
        )

    def _extra_headers(self, run: _ModelCall) -> tuple[tuple[str, str], ...]:
        return (
            ('X-Wasabicross-Adapter', run.requested.adapter),
            ('X-Wasabicross-Version', run.requested.version),
            ('X-Wasabicross-Bundle', str(run.req.bundle.number)),
        )
