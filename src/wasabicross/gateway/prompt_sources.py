"""Finds the server from which another one fetches the start of a prompt.

Long prompts begin with parts that requests for the same adapter share. Where
adapters move between engines, each engine would prefill them anew, although
another one keeps them; to fetch them takes a small part of that time.
"""

from __future__ import annotations

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

    :param view: the servers and what they hold.
    :param server: the server that will run the request.
    :param prompt: its prompt.
    :param now_s: the present time, monotonic seconds.
    """
    key = prompt.key
    if key is None or not key.adapter or prompt.tokens < _MIN_SHARED_TOKENS:
        return None
    source = _other_holder(view, server, key, prompt.version, now_s)
    if source is None:
        last_id = view.warm_copies.last_holder(
            key, prompt.version, server.server_id
        )
        source = view.servers.get(last_id)
    if source is None or not _is_reachable(view, source, now_s):
        return None
    return source


def _is_reachable(view: FleetView, source: BackendServer, now_s: float) -> bool:
    """Return whether neither this gateway nor the owner has lost a server."""
    if view.health[source.server_id].needs_probe:
        return False
    return view.takes_loads(source, now_s)


def _other_holder(
    view: FleetView,
    server: BackendServer,
    key: AdapterKey,
    version: int,
    now_s: float,
) -> BackendServer | None:
    """Return another server that holds the adapter, if any."""
    for each in view.servers.values():
        is_other = each.server_id != server.server_id
        if is_other and each.service == server.service:
            if view.held_version(each, key, now_s) == version:
                return each
    return None
