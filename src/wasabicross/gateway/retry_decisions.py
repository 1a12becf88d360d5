"""Whether a request is sent once more after an attempt at a server."""

from __future__ import annotations

from types import MappingProxyType

from wasabicross.gateway.configuration import Route
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.crashes.crash_evidence import SEPARATE_S
from wasabicross.gateway.progress import Ending, RequestProgress
from wasabicross.gateway.request_placement import MAX_SENDS
from wasabicross.servers.retries import RetryBudget

#: Pause before a retry, where there is one. A server couldn't run the request now,
#: or ended under it: a second one that ends after such a pause hasn't been lost
#: together with the first one.
_PAUSES_S = MappingProxyType(
    {Ending.not_run: 0.05, Ending.crashed: SEPARATE_S * 1.2}
)

#: Number of servers that may end under one request before it is ended.
_MAX_CRASHES = 2

#: After these endings a server may have run the request.
_MAY_HAVE_RUN = frozenset((Ending.unknown, Ending.failed, Ending.crashed))


def may_retry(
    ending: Ending,
    route: Route,
    progress: RequestProgress,
    answer: AnswerWriter,
    budget: RetryBudget,
) -> bool:
    """Return whether a request may be sent once more; spend its retry.

    :param ending: how its last attempt ended.
    :param route: its route.
    :param progress: its outcomes at all servers so far.
    :param answer: what its caller has got of the answer.
    :param budget: the retry budget of its service.
    """
    if ending is Ending.not_sent:
        return True
    if answer.has_started and not route.is_resumable:
        return False
    if lacks_event_id(answer, progress):
        return False
    if ending in _MAY_HAVE_RUN and not _may_run_again(route, progress):
        return False
    return progress.sends < MAX_SENDS and budget.spend()


def lacks_event_id(answer: AnswerWriter, progress: RequestProgress) -> bool:
    """Return whether events were sent after which no stream can go on.

    Another server would send them again.

    :param answer: what the caller has got of the answer.
    :param progress: outcomes of the request at all servers so far.
    """
    return bool(answer.sent_bytes) and not progress.last_event_id


def pause_before_retry_s(ending: Ending) -> float:
    """Return the pause before a request is sent once more, seconds.

    :param ending: how its last attempt ended.
    """
    return _PAUSES_S.get(ending, 0)


def _may_run_again(route: Route, progress: RequestProgress) -> bool:
    if not route.is_idempotent or not _may_crash_another(progress):
        return False
    return progress.runs < route.max_servers


def _may_crash_another(progress: RequestProgress) -> bool:
    """Return whether a server may be risked if the request has crashed some.

    Other requests tell more of a part of its prompt than its copy would.
    """
    return progress.crashes < _MAX_CRASHES and not progress.has_suspect_part
