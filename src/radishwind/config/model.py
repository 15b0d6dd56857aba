"""The operators' inventory and rules as frozen values.

They are read from JSON files and kept in the store as JSON; unknown keys are
refused. Durations are in seconds or milliseconds as the names say; shares are
fractions of one.
"""

import msgspec


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A frozen value read from JSON; unknown keys are refused."""


class FailureDomain(_Model, frozen=True):
    """Instances that fail together.

    Attributes:
      name: unique, for example `genova-a`.
      region: the region it lies in.
    """

    name: str
    region: str = "default"


class Service(_Model, frozen=True):
    """Targets that give the same answers.

    Attributes:
      name: unique, for example `prenota`.
      owner: the team to call.
      hosts: values of the Host field (without port) that mean this service;
        empty for any host.
      path_prefixes: request paths that mean this service; the longest match
        over all services wins. `/NAME` where none is given.
    """

    name: str
    owner: str = ""
    hosts: tuple[str, ...] = ()
    path_prefixes: tuple[str, ...] = ()


class Target(_Model, frozen=True):
    """One backend server as the asset register lists it.

    Attributes:
      name: unique; the server's node announces itself by it.
      service: the service it gives.
      failure_domain: where it stands.
      slots: requests it runs at once.
      connections: connections it accepts.
    """

    name: str
    service: str
    failure_domain: str
    slots: int
    connections: int = 200


class Link(_Model, frozen=True):
    """The latency between two failure domains.

    Attributes:
      a: one failure domain.
      b: the other.
      one_way_ms: latency one way (ms).
    """

    a: str
    b: str
    one_way_ms: float


class Inventory(_Model, frozen=True):
    """All that the asset register lists."""

    failure_domains: tuple[FailureDomain, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    links: tuple[Link, ...] = ()


class ServiceRules(_Model, frozen=True):
    """How requests of one service are treated.

    Attributes:
      idempotent_methods: methods that may run more than once.
      idempotent_paths: path prefixes that may run more than once, whatever
        the method.
      deadline_ms: what a request gets when it names no deadline (ms).
      max_deadline_ms: the most a request may ask for (ms).
      queue_length: requests that may wait at one target.
      queue_wait_ms: the longest a request waits for a slot (ms).
      retry_share: retries as a share of first attempts.
      hedge_share: hedges as a share of first attempts; 0 for none.
      probe_share: probing time as a share of slot time.
      caller_weights: share of a target's queue by caller; 1 where not named.
      claim_ttl_s: how long an idempotency key is remembered (s).
      latency_objective_ms: the answer time objective (ms).
      latency_target: share of requests that meet it.
      success_target: share of requests that are answered.
    """

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    idempotent_paths: tuple[str, ...] = ()
    deadline_ms: int = 2_000
    max_deadline_ms: int = 30_000
    queue_length: int = 64
    queue_wait_ms: int = 500
    retry_share: float = 0.1
    hedge_share: float = 0.05
    probe_share: float = 0.01
    caller_weights: dict[str, float] = {}
    claim_ttl_s: int = 86_400
    latency_objective_ms: int = 250
    latency_target: float = 0.99
    success_target: float = 0.999


class Rules(_Model, frozen=True):
    """The rules of every service; `defaults` where a service has none."""

    defaults: ServiceRules = ServiceRules()
    services: dict[str, ServiceRules] = {}

    def for_service(self, name: str) -> ServiceRules:
        """Returns the rules of the service `name`."""
        return self.services.get(name, self.defaults)


class Configuration(msgspec.Struct, frozen=True):
    """An accepted configuration.

    Attributes:
      revision: grows by one with each accepted change; 0 before the first.
      change_id: names the change that made it, unique.
      inventory: the inventory.
      rules: the rules.
    """

    revision: int = 0
    change_id: str = ""
    inventory: Inventory = Inventory()
    rules: Rules = Rules()
