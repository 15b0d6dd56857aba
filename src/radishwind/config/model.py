"""Frozen values that hold the operators' inventory and rules.

They are read from JSON files and stored as JSON; unknown keys are refused.
Durations are in seconds or milliseconds, as the suffixes of the names state.
Shares are fractions between 0 and 1.
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
    """Base of the frozen values; unknown keys are refused."""


class FailureDomain(_Model, frozen=True):
    """A group of instances that can fail together.

    Attributes:
      name: unique name, for example `genova-a`.
      region: region of the failure domain.
    """

    name: Name
    region: Name = "default"


class Service(_Model, frozen=True):
    """A group of interchangeable targets.

    Attributes:
      name: unique name, for example `prenota`.
      owner: the responsible team.
      hosts: values of the Host field (without port) that are routed to this
        service; empty for any host.
      path_prefixes: request paths that are routed to this service; the longest
        match over all services wins. Defaults to `/NAME`.
    """

    name: Name
    owner: Text = ""
    hosts: tuple[Host, ...] = ()
    path_prefixes: tuple[PathPrefix, ...] = ()


class Target(_Model, frozen=True):
    """A backend server as listed in the asset register.

    Attributes:
      name: unique name, by which the server's node announces itself.
      service: service that the server provides.
      failure_domain: failure domain of the server.
      slots: number of requests that it runs concurrently.
      connections: number of connections that it accepts.
    """

    name: Name
    service: Name
    failure_domain: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 200


class Link(_Model, frozen=True):
    """The latency between two failure domains.

    Attributes:
      a: the first failure domain.
      b: the second failure domain.
      one_way_ms: one-way latency (ms).
    """

    a: Name
    b: Name
    one_way_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)]


class Inventory(_Model, frozen=True):
    """The content of the asset register."""

    failure_domains: tuple[FailureDomain, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    links: tuple[Link, ...] = ()


class ServiceRules(_Model, frozen=True):
    """How requests of one service are handled.

    Attributes:
      idempotent_methods: methods whose requests may run more than once.
      idempotent_paths: path prefixes whose requests may run more than once,
        with any method.
      deadline_ms: deadline of a request that states none (ms).
      max_deadline_ms: maximum deadline that a request may state (ms).
      queue_length: maximum number of requests queued at one target.
      queue_wait_ms: maximum time that a request waits for a slot (ms).
      retry_share: retry budget as a fraction of first attempts.
      hedge_share: hedge budget as a fraction of first attempts; 0 disables
        hedged requests.
      probe_share: probing time as a fraction of slot time.
      caller_weights: weight of a caller in a target's queue, by caller; 1 for
        callers not listed.
      claim_ttl_s: time for which an idempotency key is remembered (s).
      latency_objective_ms: response time objective (ms).
      latency_target: fraction of requests that should meet the objective.
      success_target: fraction of requests that should succeed.
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
      defaults: rules of services that are not listed. In a file, fields that
        a service leaves out are taken from the defaults; what is stored are
        the completed rules.
      services: rules of a service, by its name.
    """

    defaults: ServiceRules = ServiceRules()
    services: dict[Name, ServiceRules] = {}

    def for_service(self, name: str) -> ServiceRules:
        """Returns the rules of service `name`."""
        return self.services.get(name, self.defaults)


class Configuration(msgspec.Struct, frozen=True):
    """An accepted configuration.

    Attributes:
      revision: rises with each accepted change; 0 before the first.
      change_id: unique ID of the change that produced it.
      inventory: the inventory.
      rules: the rules.
    """

    revision: int = 0
    change_id: str = ""
    inventory: Inventory = Inventory()
    rules: Rules = Rules()
