"""The proof that the process behind a connection runs a software version."""

from __future__ import annotations

import enum

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.errors import ProcessFormer, VersionUnproved


class VersionGround(enum.Enum):
    """How it is known that an entry is of the process that serves.

    `none`: it isn't. `same_start`: the process has reported the start that the
    entry names, on the connection that it serves. `same_id`: neither names a
    start, so the id stands for one.
    """

    none = 'none'
    same_start = 'same start'
    same_id = 'same id'


class VersionProof:
    """Shows which software version the process behind a connection runs.

    The store's entry tells the version of one start of a server, and a connection
    belongs to one process for as long as it lives.

    :param server: the server, as it is listed.
    :param conn: the connection.
    :param names_start: whether servers of its service report their starts.
    :raises VersionUnproved: the entry is of another start, or the process hasn't
        reported any.
    """

    def __init__(
        self,
        server: BackendServer,
        conn: ServerConnection,
        *,
        names_start: bool,
    ) -> None:
        self.ground = VersionGround.same_id
        self.software_version = server.software_version
        if not names_start or not server.start_ms:
            return
        if conn.start_ms != server.start_ms:
            is_former = 0 < conn.start_ms < server.start_ms
            error = ProcessFormer if is_former else VersionUnproved
            raise error(
                f'listed start {server.start_ms}, found {conn.start_ms}'
            )
        self.ground = VersionGround.same_start
