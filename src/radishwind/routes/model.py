"""The routes of an operator as frozen values."""

from collections.abc import Mapping

import msgspec

from radishwind.accounts.model import Account


class WeightedService(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests.

    Attributes:
      service: its name.
      weight: its share, against the weights of the route's other parts.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """How requests below one prefix of one host are treated.

    Attributes:
      name: unique.
      host: the host asked for, lower case.
      prefix: begins and ends with a slash.
      idempotent: whether a request may run more than once.
      weighted_services: the services that its requests are shared out to.
      timeout_s: the longest that a caller is kept waiting (s).
      aim_s: an answer within this time earns its full worth (s).
      priority: its rank; 0 is the highest.
      attempts: targets that one request may reach at most.
      regions: where its requests may run; empty for anywhere.
      public: whether a request needs no key.
      has_large_responses: whether its answers are large.
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
    """What is configured of a service's targets.

    Attributes:
      name: the service.
      health_path: where its servers answer health checks; empty for nowhere.
      connections: connections that one of its servers accepts.
      warmup_s: how long one is cold after its start (s).
      warmup_per_s: requests a second that a cold one stands; `None` where
        nothing bounds them.
    """

    name: str
    health_path: str = ""
    connections: int = 64
    warmup_s: float = 0.0
    warmup_per_s: float | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send and how long it may stay idle.

    Attributes:
      header_bytes: the largest header (bytes).
      body_bytes: the largest body (bytes).
      header_s: the longest that a header may take to arrive (s).
      idle_s: the longest that a connection may stay idle (s).
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteConfig(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
      version: rises with each change, by any step.
      routes: all routes.
      services: what is configured of services, by name.
      limits: what callers may send.
      accounts: the client accounts; without any, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceInfo]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[Account, ...] = ()
