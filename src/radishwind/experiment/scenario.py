"""What is played: services, kinds of requests, and what goes wrong when."""

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
    """A scenario cannot be read."""

    code = ResultCode.FILE_INVALID


class NoiseLaw(enum.StrEnum):
    """When the pace of an instance changes.

    Attributes:
      NONE: never.
      GRID: at moments a period apart.
      RANDOM: at random moments, so far apart in the mean.
    """

    NONE = "none"
    GRID = "grid"
    RANDOM = "random"


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the pace of an instance changes.

    Attributes:
      law: when.
      share: part of the spells that are slow.
      x: how many times as long work takes in those.
      every_s: how long a spell lasts (s).
      follows: whether a run follows the pace while it runs; else the pace at
        its beginning holds to its end.
    """

    law: NoiseLaw = NoiseLaw.NONE
    share: _Share = 0.25
    x: _Factor = 5.0
    every_s: Annotated[float, msgspec.Meta(gt=0)] = 0.15
    follows: bool = False


class ServiceModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and its servers, one beside each node.

    Attributes:
      name: the service.
      targets: how many servers.
      slots: requests that each runs at once.
      queue: requests that wait in it; it sheds the rest.
      knee: part of the slots beyond which runs take longer; 1 for none.
      slower: so many times longer.
      cold_s: how long a server is slow after its start (s).
      cold_x: how many times as long work takes then.
      cold_per_s: requests per second that a cold server sustains; it crashes,
        losing all running requests, when any second brings more than
        `COLD_RATE_FACTOR` times this rate plus `COLD_BURST_REQUESTS`. 0 for
        no limit.
      down_s: how long one that fell over is gone (s).
      noise: how the pace changes.
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
      name: the kind.
      service: where it goes.
      per_s: how many callers send a second; 0 where only servers call it.
      work_s: mean run time at the usual pace (s).
      spread: standard deviation of the run time, as a part of the mean.
      aim_s: an answer within this time earns its worth (s).
      timeout_s: how long callers wait (s).
      worth: of an answer within the aim.
      late_worth: of a later one.
      priority: its rank; 0 is the highest.
      idempotent: whether it may run more than once.
      calls: a kind that its run calls, if any.
      calls_share: part of the runs that do.
      calls_times: how many calls such a run makes, all at once.
      returns: how often a caller comes back.
      route_timeout_s: the longest that a node keeps it (s); 0 for `timeout_s`.
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
    """More callers for a while: `x` times as many for `for_s`."""

    at: _Seconds
    for_s: _Seconds
    x: _Factor


class SlowServers(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="slow"
):
    """Part of the servers take `x` times as long, which they don't tell."""

    at: _Seconds
    for_s: _Seconds
    x: _Factor
    share: _Share = 0.2


class PowerLoss(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="power-loss"
):
    """Part of the instances are gone for `for_s`, and start knowing nothing."""

    at: _Seconds
    for_s: _Seconds
    share: _Share = 1.0


class DomainEvacuation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="emptied"
):
    """A failure domain is emptied for `for_s`; its servers end cold."""

    at: _Seconds
    for_s: _Seconds
    domain: str


Event = Burst | SlowServers | PowerLoss | DomainEvacuation


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load to play.

    Attributes:
      services: the services.
      kinds: the kinds of requests.
      events: what goes wrong.
      seed: of everything random.
      length_s: how long callers come (s).
      lead_s: how long nodes run before they do (s).
      domains: failure domains that the nodes are dealt to.
      near_s: one way between nodes of a failure domain (s).
      far_s: one way to another (s).
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
    """Returns the scenario in the TOML file `path`.

    Raises:
      ScenarioError: it cannot be read; it says where and why.
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
