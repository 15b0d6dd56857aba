"""Scenario of a simulation: services, kinds of requests and fault events."""

import enum
import pathlib
import tomllib
from typing import Annotated

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

_Seconds = Annotated[float, msgspec.Meta(ge=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Factor = Annotated[float, msgspec.Meta(ge=0.1, le=100)]
#: Load above its rate that a cold server sustains within any second; see
#: `ServiceModel.cold_per_s`.
COLD_RATE_FACTOR = 1.5
COLD_BURST_REQUESTS = 8.0

_Count = Annotated[int, msgspec.Meta(ge=1, le=1000)]


class ScenarioError(RadishwindError):
    """A scenario file cannot be read or is invalid."""

    code = ResultCode.FILE_INVALID


class NoiseLaw(enum.StrEnum):
    """When the pace of an instance changes.

    Attributes:
      NONE: never.
      GRID: periodically.
      RANDOM: at the times of a Poisson process with the same mean interval.
    """

    NONE = "none"
    GRID = "grid"
    RANDOM = "random"


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Variation of the pace of an instance over time.

    Attributes:
      law: when the pace changes.
      share: probability that an interval between two changes is slow.
      x: factor on run times in a slow interval.
      every_s: length of an interval, the mean if random (s).
      follows: whether a running request follows changes of the pace; otherwise
        the pace at its start applies to its end.
    """

    law: NoiseLaw = NoiseLaw.NONE
    share: _Share = 0.25
    x: _Factor = 5.0
    every_s: Annotated[float, msgspec.Meta(gt=0)] = 0.15
    follows: bool = False


class ServiceModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and its backend servers, one per node.

    Attributes:
      name: name of the service.
      targets: number of servers.
      slots: requests that a server runs concurrently.
      queue: requests that wait at a server; it sheds further ones.
      knee: utilization, as a fraction of the slots, above which runs slow down;
        1 for no slowdown.
      slower: factor on run times above the knee.
      cold_s: duration of the warm-up after a start (s).
      cold_x: factor on run times during the warm-up.
      cold_per_s: requests per second that a cold server sustains; it crashes,
        losing all running requests, when any second brings more than
        `COLD_RATE_FACTOR` times this rate plus `COLD_BURST_REQUESTS`. 0 for
        no limit.
      down_s: time from such a crash to the restart (s).
      noise: variation of the pace.
    """

    name: str
    targets: _Count = 6
    slots: _Count = 9
    queue: _Count = 18
    knee: _Share = 1.0
    slower: _Factor = 1.0
    cold_s: _Seconds = 0.0
    cold_x: _Factor = 1.0
    cold_per_s: _Seconds = 0.0
    down_s: _Seconds = 3.0
    noise: Noise = Noise()


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    Attributes:
      name: name of the kind.
      service: service that runs it.
      per_s: request rate of external callers (1/s); 0 where only backend
        servers send it.
      work_s: mean run time at the normal pace (s).
      spread: standard deviation of the run time, as a fraction of the mean.
      aim_s: latency objective; a response within it earns `worth` (s).
      timeout_s: timeout of the callers (s).
      worth: credit of a response within the aim.
      late_worth: credit of a later response.
      priority: priority class; 0 is the highest.
      idempotent: whether it may run more than once.
      calls: kind of the nested requests that a run sends, if any.
      calls_share: fraction of the runs that send nested requests.
      calls_times: nested requests of such a run, sent concurrently.
      returns: retries of a caller.
      route_timeout_s: timeout of the route (s); 0 for `timeout_s`.
    """

    name: str
    service: str
    per_s: Annotated[float, msgspec.Meta(ge=0)]
    work_s: Annotated[float, msgspec.Meta(gt=0)]
    aim_s: Annotated[float, msgspec.Meta(gt=0)]
    timeout_s: Annotated[float, msgspec.Meta(gt=0)]
    spread: _Share = 0.3
    worth: float = 1.0
    late_worth: float = 0.1
    priority: int = 1
    idempotent: bool = True
    calls: str | None = None
    calls_share: _Share = 1.0
    calls_times: Annotated[int, msgspec.Meta(ge=1, le=10)] = 1
    returns: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    route_timeout_s: _Seconds = 0.0


class Burst(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="burst"
):
    """A burst of load: `x` times the request rate for `for_s`."""

    at: _Seconds
    for_s: _Seconds
    x: _Factor


class SlowServers(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="slow"
):
    """Some servers run `x` times slower, which their load does not show."""

    at: _Seconds
    for_s: _Seconds
    x: _Factor
    share: _Share = 0.2


class LimitedServers(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="limited"
):
    """Some servers of a service state a request limit for `for_s`.

    Attributes:
      at: start (s).
      for_s: duration (s).
      service: the service.
      per_s: limit of each of these servers (requests/s).
      share: fraction of the servers of the service.
      in_health_responses: whether their health responses state it too.
    """

    at: _Seconds
    for_s: _Seconds
    service: str
    per_s: _Seconds
    share: _Share = 0.4
    in_health_responses: bool = True


class LeavingServers(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="leaving"
):
    """Some servers of a service state that they leave, and are replaced.

    Attributes:
      at: when they first state it (s).
      for_s: time until other processes take their places (s).
      service: the service.
      share: fraction of the servers of the service.
    """

    at: _Seconds
    for_s: _Seconds
    service: str
    share: _Share = 0.4


class PowerLoss(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="power-loss"
):
    """Some instances are down for `for_s` and restart without any state."""

    at: _Seconds
    for_s: _Seconds
    share: _Share = 1.0


class DomainEvacuation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="emptied"
):
    """A failure domain is evacuated for `for_s`; then its servers are cold."""

    at: _Seconds
    for_s: _Seconds
    domain: str


Event = (
    Burst
    | SlowServers
    | LimitedServers
    | LeavingServers
    | PowerLoss
    | DomainEvacuation
)


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load to simulate.

    Attributes:
      services: services.
      kinds: kinds of requests.
      events: bursts of load and faults.
      seed: seed of all random number generators.
      length_s: duration of the load (s).
      lead_s: time that the nodes run before the load starts (s).
      domains: number of failure domains, assigned to the nodes in turn.
      near_s: one-way delay within a failure domain (s).
      far_s: one-way delay between failure domains (s).
    """

    services: Annotated[tuple[ServiceModel, ...], msgspec.Meta(min_length=1)]
    kinds: Annotated[tuple[RequestKind, ...], msgspec.Meta(min_length=1)]
    events: tuple[Event, ...] = ()
    seed: int = 1
    length_s: _Seconds = 20.0
    lead_s: _Seconds = 2.0
    domains: _Count = 3
    near_s: _Seconds = 0.0005
    far_s: _Seconds = 0.0015


def load_scenario(path: pathlib.Path) -> Scenario:
    """Loads the scenario in the TOML file `path`.

    Raises:
      ScenarioError: the file cannot be read or is invalid; the message names
        the file, the place and the reason.
    """
    try:
        scenario = msgspec.convert(
            tomllib.loads(path.read_text()), Scenario, strict=True
        )
    except (OSError, ValueError) as exc:
        raise ScenarioError(f"{path.name}: {exc}") from exc
    _check_names(scenario, path.name)
    return scenario


def _check_names(scenario: Scenario, where: str) -> None:
    services = {service.name for service in scenario.services}
    kinds = {kind.name for kind in scenario.kinds}
    for kind in scenario.kinds:
        if kind.service not in services:
            raise ScenarioError(
                f"{where}: kind {kind.name}: expected a service of "
                f"{sorted(services)}, got {kind.service!r}"
            )
        if kind.calls is not None and kind.calls not in kinds:
            raise ScenarioError(
                f"{where}: kind {kind.name}: expected to call a kind of "
                f"{sorted(kinds)}, got {kind.calls!r}"
            )
