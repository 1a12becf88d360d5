"""Calls to models: find or load the adapter version, run, pass on."""

import json
import time
from typing import Any, NamedTuple

from wasabicross.attempts import (
    Outstanding,
    failed_attempt,
    pass_on,
    start_answer,
)
from wasabicross.bundles import AdapterVersion
from wasabicross.caller_request import CallerRequest
from wasabicross.dispatch import Call, Dispatcher
from wasabicross.engines import COMPLETIONS_PATH, Engine
from wasabicross.entry_link import EntryLink
from wasabicross.exceptions import (
    AdapterNotLoaded,
    AnswerCut,
    DispatchError,
    NotRun,
)
from wasabicross.load_names import server_of
from wasabicross.messages import LoadMissing, ServerInfo, WantLoad
from wasabicross.policy import Weights
from wasabicross.replies import (
    BAD_JSON,
    LOAD_TIMEOUT,
    NO_SERVER,
    UNKNOWN_ADAPTER,
    Reply,
    refuse,
    unknown_outcome,
)
from wasabicross.retries import Outcome, RetryBudget, may_retry
from wasabicross.routing import Dispatch, Holder, choose
from wasabicross.telemetry import LOAD_STALL_SECONDS

WANT_INTERVAL_S = 0.5
MAX_LOAD_WAIT_S = 20.0
BATCH_SIZE = 16
RETRY_AFTER_S = 2.0


class _Run(NamedTuple):
    """A model call, its adapter version, and what was tried so far."""

    req: CallerRequest
    document: dict[str, Any]
    wanted: AdapterVersion
    tried: list[str]


class ModelCalls:
    """Runs model calls on the engines that hold their adapter version.

    :param link: tells the servers and open loads.
    :param outstanding: requests under way at each server.
    :param retry_budget: bounds the retries of this process.
    :param data_centre: where this entry runs.
    """

    def __init__(
        self,
        link: EntryLink,
        outstanding: Outstanding,
        retry_budget: RetryBudget,
        data_centre: str,
    ) -> None:
        self._link = link
        self._outstanding = outstanding
        self._retry_budget = retry_budget
        self._data_centre = data_centre
        self._engines: dict[tuple[str, int], Engine] = {}

    def run(self, req: CallerRequest) -> Reply:
        """Run a model call and return its answer, or why there is none.

        :param req: the request; its body names the adapter as `model`.
        """
        document = req.document()
        if document is None:
            return refuse(BAD_JSON)
        wanted = req.bundle.adapter(str(document.get('model')))
        if wanted is None:
            return refuse(UNKNOWN_ADAPTER)
        self._retry_budget.add_request()
        run = _Run(req, document, wanted, [])
        while True:
            now_s = time.monotonic()
            holder = self._wait_for_holder(run, now_s)
            if holder is None:
                return refuse(LOAD_TIMEOUT, RETRY_AFTER_S)
            reply = self._attempt(run, holder)
            if reply is not None:
                return reply

    def _wait_for_holder(self, run: _Run, started_s: float) -> Holder | None:
        """Return a holder on which the request already counts as running."""
        until_s = min(run.req.deadline_s, started_s + MAX_LOAD_WAIT_S)
        now_s = started_s
        asked_s = float('-inf')
        while now_s < until_s:
            version = self._link.loads.version
            holder = self._begin(run, now_s)
            if holder is not None:
                self._observe_stall(run, now_s - started_s)
                return holder
            if now_s - asked_s >= WANT_INTERVAL_S:
                asked_s = now_s
                self._want(run, ())
            wait_s = min(WANT_INTERVAL_S, until_s - now_s)
            self._link.loads.wait_for_change(version, wait_s)
            now_s = time.monotonic()
        return None

    def _begin(self, run: _Run, now_s: float) -> Holder | None:
        holders = self._holders(run, now_s)
        weights = Weights.from_config(run.req.bundle.policy)
        choice = choose(holders, weights, self._data_centre, now_s)
        if not isinstance(choice, Dispatch):
            return None
        if choice.copy_wanted:
            self._want(run, tuple(holder.server_id for holder in holders))
        load_name = choice.holder.load_name
        if not self._link.loads.begin_request(load_name, now_s):
            return None
        return choice.holder

    def _holders(self, run: _Run, now_s: float) -> list[Holder]:
        wanted = run.wanted
        servers = {server.server_id: server for server in self._link.servers}
        load_names = self._link.loads.holders(
            wanted.adapter, wanted.version, now_s
        )
        return [
            self._holder(load_name, servers[server_id])
            for load_name in load_names
            if (server_id := server_of(load_name) or '') in servers
            and server_id not in run.tried
            and servers[server_id].state == 'live'
        ]

    def _holder(self, load_name: str, server: ServerInfo) -> Holder:
        return Holder(
            server.server_id,
            server.data_centre,
            load_name,
            self._outstanding.at(server.server_id),
            0,
            0,
            BATCH_SIZE,
            0,
        )

    def _want(self, run: _Run, held_by: tuple[str, ...]) -> None:
        wanted = run.wanted
        route = run.req.route
        self._link.send(
            WantLoad(
                wanted.adapter,
                wanted.version,
                wanted.base_model,
                route.group,
                route.request_class,
                1,
                [*run.tried, *held_by],
            ),
        )

    def _observe_stall(self, run: _Run, stalled_s: float) -> None:
        req = run.req
        LOAD_STALL_SECONDS.labels(
            req.tenant, req.route.request_class
        ).observe(stalled_s)

    def _attempt(self, run: _Run, holder: Holder) -> Reply | None:
        """Send the request once; None if it may be sent elsewhere."""
        run.tried.append(holder.server_id)
        self._outstanding.add(holder.server_id)
        try:
            reply = self._exchange(run, holder)
        except BaseException:
            self._end(holder)
            raise
        if isinstance(reply, Reply):
            return reply
        self._end(holder)
        return self._after_failure(run, holder, reply)

    def _exchange(self, run: _Run, holder: Holder) -> Reply | DispatchError:
        engine = self._engine(holder.server_id)
        answer = engine.complete(self._call(run, holder, time.monotonic()))
        if answer.is_error():
            return answer.error
        try:
            started = start_answer(answer.ok)
        except AnswerCut as exc:
            return exc
        return pass_on(
            run.req, started, self._named(run), lambda: self._end(holder)
        )

    def _after_failure(
        self, run: _Run, holder: Holder, exc: DispatchError
    ) -> Reply | None:
        if isinstance(exc, AdapterNotLoaded):
            self._link.loads.drop_loads([holder.load_name])
            self._link.send(LoadMissing(holder.server_id, holder.load_name))
            run.tried.remove(holder.server_id)
            return None
        not_run = isinstance(exc, NotRun)
        outcome = Outcome.not_run if not_run else Outcome.unknown
        now_s = time.monotonic()
        attempt = failed_attempt(run.req, outcome, run.tried, now_s)
        if may_retry(attempt) and self._retry_budget.spend():
            return None
        if not_run:
            return refuse(NO_SERVER, RETRY_AFTER_S)
        return unknown_outcome()

    def _end(self, holder: Holder) -> None:
        self._outstanding.remove(holder.server_id)
        self._link.finish_request(holder.load_name)

    def _engine(self, server_id: str) -> Engine:
        server = next(
            each for each in self._link.servers if each.server_id == server_id
        )
        address = (server.host, server.port)
        engine = self._engines.get(address)
        if engine is None:
            engine = Engine(Dispatcher(*address))
            self._engines[address] = engine
        return engine

    def _call(self, run: _Run, holder: Holder, now_s: float) -> Call:
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

    def _named(self, run: _Run) -> tuple[tuple[str, str], ...]:
        return (
            ('X-Wasabicross-Adapter', run.wanted.adapter),
            ('X-Wasabicross-Version', run.wanted.version),
            ('X-Wasabicross-Bundle', str(run.req.bundle.number)),
        )
