"""The configuration in force: routes, services and limits of callers."""

from __future__ import annotations

import enum
from typing import NamedTuple

from wasabicross.runtime.rendezvous import rendezvous_hash

_MAX_HASH = 2**64


class RouteKind(enum.Enum):
    """Whether requests on a route may be retried.

    `safe`: a request may run more than once. `unsafe`: a request runs at most
    once. `streaming`: like `unsafe`, unless the route is resumable.
    """

    safe = 'safe'
    unsafe = 'unsafe'
    streaming = 'streaming'


class ServiceShare(NamedTuple):
    """A service that takes a share of a route's requests.

    :param weight: its share relative to the weights of the other services.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """The services and time limits for requests of one host and path prefix.

    :param host: host that callers request.
    :param prefix: prefix of the paths; begins and ends with a slash.
    :param timeout_s: longest time until the final answer.
    :param target_s: target latency; a later answer is late.
    :param gap_s: target for the time between events; a longer gap is late.
    :param priority: rank of its requests, 0 is the most urgent.
    :param max_servers: maximum number of servers on which one request may run.
    :param is_resumable: whether a broken stream may continue on another server.
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
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.safe or self.is_resumable

    def service_for(self, request_id: str) -> str:
        """Return the service for a request, chosen by the hash of its id.

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

    :param weights_mb: size of its weights, in MB.
    :param adapter_mb: size of each of its adapters, in MB.
    """

    name: str
    weights_mb: float
    adapter_mb: float


class EngineSpec(NamedTuple):
    """Capacity of the engines of a service.

    :param adapter_slots: maximum number of adapters on one server.
    :param memory_mb: memory of one server for weights and adapters, in MB.
    :param models: the base models of the service.
    """

    adapter_slots: int
    memory_mb: float
    models: tuple[ModelSpec, ...]

    def adapter_capacity(self, held: frozenset[str]) -> int:
        """Return how many adapters fit in memory beside some base models.

        :param held: names of the base models that a server holds.
        """
        models = [model for model in self.models if model.name in held]
        left_mb = self.memory_mb - sum(model.weights_mb for model in models)
        largest_mb = max((model.adapter_mb for model in models), default=0)
        if largest_mb <= 0:
            return self.adapter_slots
        return min(self.adapter_slots, max(0, int(left_mb // largest_mb)))

    def fits(self, name: str, held: frozenset[str]) -> bool:
        """Return whether a base model fits beside others and leaves a slot.

        :param name: name of the base model.
        :param held: names of the base models that a server holds.
        """
        return self.adapter_capacity(held | {name}) > 0


class Service(NamedTuple):
    """A group of backend servers of one kind.

    :param health_path: path that answers 200 while a server is healthy.
    :param max_connections: maximum number of connections that one server takes
        from all callers together.
    :param engine: capacity of its engines, None for a service without engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """Limits on the size and the speed of what callers send.

    :param header_bytes: maximum size of a request's head.
    :param body_bytes: maximum size of a request's body.
    :param header_timeout_s: longest time from the first byte of a request to
        the end of its head.
    :param idle_timeout_s: longest time that a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One version of the configuration.

    :param version: number that increases with each configuration.
    :param services: the services by name.
    :param routes_by_prefix: the routes by host and prefix, which begins and
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
        """Return a configuration with an index of its routes.

        :param version: its number.
        :param routes: all routes; of several with the same host and prefix, the
            last one is used.
        :param services: the services by name.
        :param limits: limits of callers.
        """
        by_prefix = {(route.host, route.prefix): route for route in routes}
        return cls(version, routes, services, limits, by_prefix)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        Takes one lookup for each slash in the path, whatever the number of
        routes.

        :param host: host that the caller requests.
        :param path: path of the request, without its query.
        """
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
