"""Frozen values that hold the operator's route configuration."""

from collections.abc import Mapping

import msgspec

from radishwind.accounts.model import Account


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests.

    Attributes:
      service: name of the service.
      weight: its share, relative to the weights of the route's other
        services.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """How requests below one path prefix of one host are handled.

    Attributes:
      name: unique name.
      host: requested host, lower case.
      prefix: path prefix; begins and ends with a slash.
      idempotent: whether a request may run more than once.
      weighted_services: services among which its requests are distributed.
      timeout_s: longest time that a caller waits for the response (s).
      aim_s: response time within which a response has its full value (s).
      priority: priority level; 0 is the highest.
      attempts: maximum number of targets that one request may reach.
      regions: regions in which its requests may run; empty for any region.
      public: whether requests are accepted without an API key.
      has_large_responses: whether its responses are large.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    aim_s: float
    priority: int
    attempts: int
    regions: frozenset[str] = frozenset()
    public: bool = False
    has_large_responses: bool = False


class ServiceInfo(msgspec.Struct, frozen=True):
    """Configured properties of the targets of a service.

    Attributes:
      name: name of the service.
      health_path: path of the health check of its servers; empty for none.
      connections: connections that one of its servers accepts.
      warmup_s: duration of the slow start of a server (s).
      warmup_rate_per_s: requests per second that a server accepts during slow
        start; `None` for no limit.
    """

    name: str
    health_path: str = ""
    connections: int = 64
    warmup_s: float = 0.0
    warmup_rate_per_s: float | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the requests and connections of callers.

    Attributes:
      header_bytes: maximum size of a request header (bytes).
      body_bytes: maximum size of a request body (bytes).
      header_s: time within which a request header must arrive (s).
      idle_s: time after which an idle connection is closed (s).
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteConfig(msgspec.Struct, frozen=True):
    """One version of the route configuration.

    Attributes:
      version: rises with each change, by any step.
      routes: all routes.
      services: properties of the services, by name.
      limits: limits on what callers send.
      accounts: client accounts; if there are none, no request needs an API
        key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceInfo]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[Account, ...] = ()
