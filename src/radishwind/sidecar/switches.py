"""Mechanisms that an experiment may disable one by one.

The environment variable `RADISHWIND_WITHOUT` holds the names of the disabled
mechanisms, separated by commas. Nodes in production disable none.
"""

from collections.abc import Mapping
import dataclasses

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

VARIABLE = "RADISHWIND_WITHOUT"


class SwitchUnknownError(RadishwindError):
    """A name is not the name of a mechanism."""

    code = ResultCode.SETTING_INVALID


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """The mechanisms, each in use if true.

    Attributes:
      room: use of the learned best number of concurrent requests.
      hold: delay of starts while the pace of the server is slow.
      hedges: hedged requests for attempts that will be late.
      newest_first: newest requests first during congestion.
      refuse_hopeless: refusal of queued requests that will start too late.
      quarantine: isolation of requests whose attempt broke off.
      failures: past failures in the routing cost.
      slowness: past run times in the routing cost.
      crossing: the round trip to other failure domains in the routing cost.
      ahead: parallel runs of pipelined reads.
      spread: spread of the retry times given to callers.
      returns: recognition of retrying callers, and of how much a response is
        still worth to them.
      siblings: equal admission of the calls of one fan-out.
      run_times: learned run times of the server, nested calls included; a
        request that would not end in time is not started.
      ways: costs of the network paths in the routing cost.
      nested: distinction of the local server's calls from external requests.
      foresight: immediate refusal of requests that all targets would answer
        late.
    """

    room: bool = True
    hold: bool = True
    hedges: bool = True
    newest_first: bool = True
    refuse_hopeless: bool = True
    quarantine: bool = True
    failures: bool = True
    slowness: bool = True
    crossing: bool = True
    ahead: bool = True
    spread: bool = True
    returns: bool = True
    siblings: bool = True
    run_times: bool = True
    ways: bool = True
    nested: bool = True
    foresight: bool = True


ALL_ON = Switches()


def parse_switches(names: str) -> Switches:
    """Returns the switches with the mechanisms in `names` disabled.

    Raises:
      SwitchUnknownError: a name is not the name of a mechanism.
    """
    known = {field.name for field in dataclasses.fields(Switches)}
    disabled = {name.strip() for name in names.split(",") if name.strip()}
    if disabled - known:
        raise SwitchUnknownError(
            f"{VARIABLE}: expected names of {sorted(known)}, got "
            f"{sorted(disabled - known)}"
        )
    return Switches(**dict.fromkeys(disabled, False))


def read_switches(environment: Mapping[str, str]) -> Switches:
    """Returns the switches as set in `environment`."""
    return parse_switches(environment.get(VARIABLE, ""))
