"""Backend servers as listed in the store and as reported by themselves."""

from __future__ import annotations

from typing import NamedTuple


class AdapterKey(NamedTuple):
    """One adapter of a base model.

    :param model: the base model.
    :param adapter: name of the adapter.
    """

    model: str
    adapter: str


class BackendServer(NamedTuple):
    """One incarnation of a backend server, as listed in the store.

    :param server_id: unique id, which may stay the same after a restart.
    :param slots: number of requests that it runs at the same time.
    :param is_leaving: whether it takes no new requests.
    :param held: versions of the adapters that it listed as resident.
    :param models: base models that it listed as resident.
    :param start_ms: start time in Unix milliseconds, 0 if unknown.
    :param software_version: version of its software, empty if not stated.
        Versions are equal or not; they have no order.
    """

    server_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    held: dict[AdapterKey, int]
    models: frozenset[str]
    start_ms: int
    software_version: str = ''

    def is_same_run(self, other: BackendServer) -> bool:
        """Return whether two entries of one server are of the same process.

        :param other: another entry with the same id.
        """
        return (
            self.start_ms == other.start_ms
            and self.software_version == other.software_version
        )

    def is_at_same_place(self, other: BackendServer) -> bool:
        """Return whether two entries name one address and service.

        :param other: another entry.
        """
        return (self.service, self.host, self.port, self.data_centre) == (
            other.service,
            other.host,
            other.port,
            other.data_centre,
        )


class EngineReport(NamedTuple):
    """The report of an engine on its own state.

    :param order_count: number of orders that it has accepted since its start.
    :param is_busy: whether it is carrying out an order on a base model.
    :param queued: number of requests in its queue.
    :param running: number of requests in its batch.
    :param held: versions of the resident adapters.
    :param pending: adapters that are being loaded.
    :param models: resident base models.
    :param start_ms: start time in Unix milliseconds, 0 if unknown.
    """

    order_count: int
    is_busy: bool
    queued: int
    running: int
    held: dict[AdapterKey, int]
    pending: frozenset[AdapterKey]
    models: frozenset[str]
    start_ms: int


class Incarnation(NamedTuple):
    """One run of a server process; a restart under the same id is another.

    :param start_ms: start time in Unix milliseconds, 0 if unknown.
    """

    server_id: str
    start_ms: int

    @classmethod
    def from_server(cls, server: BackendServer) -> Incarnation:
        """Return the run of a server that is listed.

        :param server: the server.
        """
        return cls(server.server_id, server.start_ms)
