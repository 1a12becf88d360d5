"""Finds the server from which another one fetches the start of a prompt.

Long prompts begin with parts that requests for the same adapter share. Where
adapters move between engines, each engine would prefill them anew, although
another one keeps them; to fetch them takes a small part of that time.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.view import FleetView

#: Least length of the shared start that is worth fetching, tokens.
_MIN_SHARED_TOKENS = 1000


class SharedPrompt(NamedTuple):
    """A prompt whose start other requests share.

    :param key: its adapter, None for none.
    :param version: version of the adapter.
    :param tokens: length of the shared start.
    """

    key: AdapterKey | None
    version: int
    tokens: int


def prompt_source(
    view: FleetView, server: BackendServer, prompt: SharedPrompt, now_s: float
) -> BackendServer | None:
    """Return the server that probably keeps the start of a prompt, if any.

    It is another holder of the adapter, or else the server that held it last.
    What a server of another software version has read isn't used, nor anything
    while either server runs another start than its entry tells the version of.

    :param view: the servers and what they hold.
    :param server: the server that will run the request.
    :param prompt: its prompt.
    :param now_s: the present time, monotonic seconds.
    """
    key = prompt.key
    if key is None or not key.adapter or prompt.tokens < _MIN_SHARED_TOKENS:
        return None
    alike = _alike(view, server)
    source = _holder(view, alike, key, prompt.version, now_s)
    if source is None:
        last_id = view.warm_copies.last_holder(key, prompt.version, alike)
        source = alike.get(last_id)
    if source is None or not _is_reachable(view, source, now_s):
        return None
    if not _is_listed_run(view, server, now_s):
        return None
    return source if _is_listed_run(view, source, now_s) else None


def _is_reachable(view: FleetView, source: BackendServer, now_s: float) -> bool:
    """Return whether neither this gateway nor the owner has lost a server."""
    if view.health[source.server_id].needs_probe:
        return False
    return view.takes_loads(source, now_s)


def _is_listed_run(
    view: FleetView, server: BackendServer, now_s: float
) -> bool:
    """Return whether a server's owner reports the start that is listed.

    Its software version is then that of the process that runs. Where entries
    name no start, the id stands for one.
    """
    if not server.start_ms:
        return True
    report = view.valid_report(server, now_s)
    return report is not None and report.state.start_ms == server.start_ms


def _alike(view: FleetView, server: BackendServer) -> dict[str, BackendServer]:
    """Return the other servers of a service with the same software version."""
    return {
        each.server_id: each
        for each in view.servers.values()
        if each.server_id != server.server_id
        and each.service == server.service
        and each.software_version == server.software_version
    }


def _holder(
    view: FleetView,
    servers: Mapping[str, BackendServer],
    key: AdapterKey,
    version: int,
    now_s: float,
) -> BackendServer | None:
    """Return a server that holds the adapter, if any."""
    for each in servers.values():
        if view.held_version(each, key, now_s) == version:
            return each
    return None
