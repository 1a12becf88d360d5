"""Messages between gateways on servers that crashed."""

from __future__ import annotations

from typing import NamedTuple


class ServerCrash(NamedTuple):
    """A server that ended under requests that it had just begun to answer.

    :param start_ms: start time of the server, Unix milliseconds.
    :param age_ms: time since it ended.
    :param parts: the parts of these requests' prompts, except the last ones.
    """

    server_id: str
    start_ms: int
    age_ms: int
    parts: tuple[str, ...]


class PartsCleared(NamedTuple):
    """Parts of prompts that were involved in crashes and have run soundly.

    :param age_ms: time since their answer had gone on for a while.
    """

    age_ms: int
    parts: tuple[str, ...]
