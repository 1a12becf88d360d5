"""The configuration in force: routes, services and limits of callers."""

from __future__ import annotations

import enum
from typing import NamedTuple

from wasabicross.runtime.rendezvous import rendezvous_hash

_MAX_HASH = 2**64


class RouteKind(enum.Enum):
    """What may be repeated of the requests on a route.

    `safe`: anything. `unsafe`: a request runs at most once. `streaming`: as
    `unsafe`, unless the route is resumable.
    """

    safe = 'safe'
    unsafe = 'unsafe'
    streaming = 'streaming'


class ServiceShare(NamedTuple):
    """A service that takes a share of a route's requests.

    :param weight: its share, in proportion to the other weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path go, and in which time.

    :param prefix: start of the paths; begins and ends with a slash.
    :param timeout_s: longest time until the final answer.
    :param target_s: time within which an answer is on time.
    :param gap_s: longest pause between events that is on time.
    :param priority: rank of its requests, 0 is the most urgent.
    :param max_servers: most servers that may run one request.
    :param is_resumable: whether a broken stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_servers: int
    is_resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.safe or self.is_resumable

    def service_for(self, request_id: str) -> str:
        """Return the service that takes a request, by its id.

        :param request_id: unique id of the request.
        """
        total = sum(share.weight for share in self.shares)
        digest = rendezvous_hash(self.name, request_id)
        point = int.from_bytes(digest) / _MAX_HASH * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class ModelSpec(NamedTuple):
    """A base model of a service.

    :param weights_mb: size of its weights.
    :param adapter_mb: size of one of its adapters.
    """

    name: str
    weights_mb: float
    adapter_mb: float


class EngineSpec(NamedTuple):
    """What the engines of a service can hold.

    :param adapter_slots: adapters that one server holds at most.
    :param memory_mb: memory of one server for weights and adapters.
    :param models: the base models of the service.
    """

    adapter_slots: int
    memory_mb: float
    models: tuple[ModelSpec, ...]

    def adapter_capacity(self, held: frozenset[str]) -> int:
        """Return how many adapters fit beside base models.

        :param held: names of the base models that a server holds.
        """
        models = [model for model in self.models if model.name in held]
        left_mb = self.memory_mb - sum(model.weights_mb for model in models)
        largest_mb = max((model.adapter_mb for model in models), default=0)
        if largest_mb <= 0:
            return self.adapter_slots
        return min(self.adapter_slots, max(0, int(left_mb // largest_mb)))

    def fits(self, name: str, held: frozenset[str]) -> bool:
        """Tell whether a base model fits beside others, with some adapters.

        :param name: name of the base model.
        :param held: names of the base models that a server holds.
        """
        return self.adapter_capacity(held | {name}) > 0


class Service(NamedTuple):
    """A group of backend servers of one kind.

    :param health_path: path that answers 200 while a server is healthy.
    :param max_connections: connections that a server takes from all callers.
    :param engine: what its engines hold, None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """What callers may send, and how slowly.

    :param header_timeout_s: longest time from the first byte of a request to
        the end of its head.
    :param idle_timeout_s: how long a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One version of the configuration.

    :param version: rises with each configuration.
    :param services: by name.
    :param routes_by_prefix: the routes by their host and prefix, which begins and
        ends with a slash.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    routes_by_prefix: dict[tuple[str, str], Route] = {}

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: CallerLimits,
    ) -> Configuration:
        """Make a configuration in which routes are found by host and prefix.

        :param version: its number.
        :param routes: all routes; of two alike the last one counts.
        :param services: by name.
        :param limits: what callers may send.
        """
        by_prefix = {(route.host, route.prefix): route for route in routes}
        return cls(version, routes, services, limits, by_prefix)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any.

        Costs what the path has slashes, whatever the number of routes.

        :param host: host that the caller asked for.
        :param path: path of the request, without its query.
        """
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
