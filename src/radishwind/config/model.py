"""The operators' inventory and rules as frozen values.

They are read from JSON files and kept in the store as JSON; unknown keys are
refused. Durations are in seconds or milliseconds as the names say; shares are
fractions of one.
"""

from typing import Annotated
from typing import TypeAlias

import msgspec

Name: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z",
        description="1 to 63 letters, digits, dots, dashes or underscores, "
        "a letter or digit first",
    ),
]
Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=200)]
Host: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9.-]{0,252}\Z",
        description="a host name in lower case without port",
    ),
]
PathPrefix: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^/[!-~]{0,255}\Z",
        description="a path that starts with / and has no spaces",
    ),
]
Method: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Z]{1,20}\Z", description="a method in upper case"
    ),
]
Share: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=1)]
Weight: TypeAlias = Annotated[float, msgspec.Meta(ge=0.001, le=1000)]
Deadline: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A frozen value read from JSON; unknown keys are refused."""


class FailureDomain(_Model, frozen=True):
    """Instances that fail together.

    Attributes:
      name: unique, for example `genova-a`.
      region: the region it lies in.
    """

    name: Name
    region: Name = "default"


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

    name: Name
    owner: Text = ""
    hosts: tuple[Host, ...] = ()
    path_prefixes: tuple[PathPrefix, ...] = ()


class Target(_Model, frozen=True):
    """One backend server as the asset register lists it.

    Attributes:
      name: unique; the server's node announces itself by it.
      service: the service it gives.
      failure_domain: where it stands.
      slots: requests it runs at once.
      connections: connections it accepts.
    """

    name: Name
    service: Name
    failure_domain: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 200


class Link(_Model, frozen=True):
    """The latency between two failure domains.

    Attributes:
      a: one failure domain.
      b: the other.
      one_way_ms: latency one way (ms).
    """

    a: Name
    b: Name
    one_way_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)]


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

    idempotent_methods: tuple[Method, ...] = ("GET", "HEAD", "OPTIONS")
    idempotent_paths: tuple[PathPrefix, ...] = ()
    deadline_ms: Deadline = 2_000
    max_deadline_ms: Deadline = 30_000
    queue_length: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 64
    queue_wait_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 500
    retry_share: Share = 0.1
    hedge_share: Share = 0.05
    probe_share: Share = 0.01
    caller_weights: dict[Text, Weight] = {}
    claim_ttl_s: Annotated[int, msgspec.Meta(ge=1, le=31_536_000)] = 86_400
    latency_objective_ms: Deadline = 250
    latency_target: Share = 0.99
    success_target: Share = 0.999


class Rules(_Model, frozen=True):
    """The rules of every service.

    Attributes:
      defaults: for a service that has none. In a file, a field that a service
        leaves out is taken from here; kept are the whole rules.
      services: the rules of a service by its name.
    """

    defaults: ServiceRules = ServiceRules()
    services: dict[Name, ServiceRules] = {}

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
