"""Client of model engines: model calls, and orders to load and evict.

A load is an adapter version that is resident in a slot of an engine.
"""

import json
from typing import NamedTuple, TypeVar
from urllib.parse import quote

from expression import Result
from pydantic import BaseModel

from wasabicross.dispatching.answers import Answer
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.engine_answers import (
    check_call_answer,
    check_order_answer,
    order_error_from,
    read_document,
)
from wasabicross.dispatching.engine_documents import (
    CacheEventsDocument,
    LoadDocument,
    ModelsDocument,
)
from wasabicross.dispatching.errors import DispatchError, OrderError
from wasabicross.stores.instances import BackendServer

#: Path of model calls.
COMPLETIONS_PATH = '/v1/chat/completions'

#: Time limit for a load order, in seconds.
LOAD_TIMEOUT_S = 60.0

#: Time limit for an eviction or a query, in seconds.
QUERY_TIMEOUT_S = 5.0

#: An engine must end a call this many seconds before the call's deadline.
DEADLINE_MARGIN_S = 0.05

_TERM_FIELD = 'X-Fencing-Term'
_DEADLINE_FIELD = 'X-Request-Deadline-Ms'
_PRIORITY_FIELD = 'X-Priority'
_ENGINE_FIELDS = frozenset((_DEADLINE_FIELD, _PRIORITY_FIELD))
_MS_PER_S = 1000


_Document = TypeVar('_Document', bound=BaseModel)


class LoadOrder(NamedTuple):
    """An order to load an adapter version into a free slot.

    :param load_name: unique name of the load; calls give it as their model.
    :param adapter: name of the adapter in the weight store.
    :param version: version of the adapter.
    :param term: fencing term of the server's owner.
    """

    load_name: str
    adapter: str
    version: str
    term: int


class EvictOrder(NamedTuple):
    """An order to evict a load from its slot.

    :param load_name: name of the load, as in its `LoadOrder`.
    :param term: fencing term of the server's owner.
    """

    load_name: str
    term: int


class Inventory(NamedTuple):
    """The loads and the capacity of an engine.

    :param loads: names of the loads that calls can use now.
    :param slots: maximum number of loads.
    :param batch_size: maximum number of requests that run at once.
    """

    loads: tuple[str, ...]
    slots: int
    batch_size: int


class LoadReport(NamedTuple):
    """The number of requests at an engine at a past moment.

    :param running: requests in the batch.
    :param waiting: requests waiting for a place in the batch.
    :param by_load: running and waiting requests together, by load name.
    :param age_s: seconds since these numbers were taken.
    """

    running: int
    waiting: int
    by_load: dict[str, int]
    age_s: float


class CacheEvent(NamedTuple):
    """A change of an engine's prompt cache; engines may omit some changes.

    :param number: sequence number in the engine's events, with gaps.
    :param kind: ``stored`` or ``removed``.
    :param load_name: load that the prefix was computed with.
    :param prefix: digest of the prompt prefix.
    """

    number: int
    kind: str
    load_name: str
    prefix: str


class Engine:
    """Client of one model engine.

    :param dispatcher: sends requests to the engine.
    :param checks_terms: whether the engine refuses orders with an old fencing
        term; no term is sent to an engine that doesn't.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        *,
        checks_terms: bool = True,
    ) -> None:
        self._dispatcher = dispatcher
        self._checks_terms = checks_terms

    @classmethod
    def from_server(cls, server: BackendServer) -> 'Engine':
        """Create a client from the engine's entry in the instance list."""
        return cls(Dispatcher(server.host, server.port))

    def complete(
        self,
        call: Call,
        priority: int = 0,
    ) -> Result[Answer, DispatchError]:
        """Run a model call; the body's ``model`` is a load name.

        The engine gets a deadline slightly before that of the call, so that
        the engine itself ends the call and its answer states whether the call
        has run. A stream that ends without its end mark counts as cut.

        :param call: the call.
        :param priority: a call with a lower number leaves the queue first.
        :returns: the answer, or `AdapterNotLoaded`, another `NotRun`, or
            `OutcomeUnknown`.
        """
        engine_deadline_s = max(0, call.deadline_s - DEADLINE_MARGIN_S)
        deadline_ms = str(int(engine_deadline_s * _MS_PER_S))
        headers = (
            *(
                field
                for field in call.headers
                if field[0] not in _ENGINE_FIELDS
            ),
            (_DEADLINE_FIELD, deadline_ms),
            (_PRIORITY_FIELD, str(priority)),
        )
        started = self._dispatcher.start(call._replace(headers=headers))
        return started.bind(check_call_answer)

    def load(self, order: LoadOrder) -> Result[None, OrderError]:
        """Order a load and wait until calls can use it.

        :returns: `None`, also when the engine has the load already, or
            `OrderRefused`, `SlotsFull`, `LoadFailed`, `EngineUnreachable` or
            `OrderOutcomeUnknown`.
        """
        adapter = quote(order.adapter, safe='')
        version = quote(order.version, safe='')
        document = {
            'lora_name': order.load_name,
            'lora_path': f'{adapter}/{version}',
        }
        path = '/v1/load_lora_adapter'
        return self._send_order(path, document, order.term, LOAD_TIMEOUT_S)

    def evict(self, order: EvictOrder) -> Result[None, OrderError]:
        """Order an eviction.

        :returns: `None`, also when the engine has no such load, or
            `OrderRefused`, `AdapterInUse`, `EngineUnreachable` or
            `OrderOutcomeUnknown`.
        """
        document = {'lora_name': order.load_name}
        path = '/v1/unload_lora_adapter'
        return self._send_order(path, document, order.term, QUERY_TIMEOUT_S)

    def inventory(
        self, timeout_s: float = QUERY_TIMEOUT_S
    ) -> Result[Inventory, OrderError]:
        """Query the loads and the capacity of the engine.

        :param timeout_s: time limit for the query, in seconds.
        """
        models = self._query('/v1/models', ModelsDocument, timeout_s)
        return models.map(_to_inventory)

    def load_report(self) -> Result[LoadReport, OrderError]:
        """Query the number of requests at the engine, as of a past moment."""
        return self._query('/load', LoadDocument).map(_to_load_report)

    def cache_events(
        self,
        after: int,
    ) -> Result[tuple[CacheEvent, ...], OrderError]:
        """Query the changes of the prompt cache after a sequence number.

        :param after: number of the last event received, 0 for none.
        """
        path = f'/cache_events?after={after}'
        return self._query(path, CacheEventsDocument).map(_to_cache_events)

    def close(self) -> None:
        """Close the idle connections."""
        self._dispatcher.close()

    def _send_order(
        self,
        path: str,
        document: dict[str, str],
        term: int,
        timeout_s: float,
    ) -> Result[None, OrderError]:
        headers = [('Content-Type', 'application/json')]
        if self._checks_terms:
            headers.append((_TERM_FIELD, str(term)))
        body = json.dumps(document).encode()
        started = self._dispatcher.start(
            Call('POST', path, tuple(headers), body, timeout_s),
        )
        return started.map_error(order_error_from).bind(check_order_answer)

    def _query(
        self,
        path: str,
        document_type: type[_Document],
        timeout_s: float = QUERY_TIMEOUT_S,
    ) -> Result[_Document, OrderError]:
        started = self._dispatcher.start(
            Call('GET', path, (), b'', timeout_s, repeatable=True),
        )
        return started.map_error(order_error_from).bind(
            lambda answer: read_document(answer, document_type),
        )


def _to_inventory(document: ModelsDocument) -> Inventory:
    loads = tuple(card.id for card in document.data if card.parent)
    return Inventory(loads, document.slots, document.batch_size)


def _to_load_report(document: LoadDocument) -> LoadReport:
    return LoadReport(
        document.running,
        document.waiting,
        document.by_load,
        document.age_ms / _MS_PER_S,
    )


def _to_cache_events(document: CacheEventsDocument) -> tuple[CacheEvent, ...]:
    return tuple(
        CacheEvent(event.number, event.kind, event.load_name, event.prefix)
        for event in document.events
    )
