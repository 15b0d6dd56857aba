"""Mechanisms that an experiment may switch off, one by one.

They are read here and nowhere else, from `RADISHWIND_WITHOUT`: names with
commas between them. A node that serves callers has none switched off.
"""

from collections.abc import Mapping
import dataclasses

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

VARIABLE = "RADISHWIND_WITHOUT"


class SwitchUnknownError(RadishwindError):
    """A name is not that of a mechanism."""

    code = ResultCode.SETTING_INVALID


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """What is in use.

    Attributes:
      room: the learned number of requests at once.
      hold: work held back in a slow spell.
      hedges: second attempts beside a first that will be late.
      newest_first: the newest first in a congestion.
      refuse_hopeless: refusal of what will come to its turn too late.
      quarantine: care with requests that broke an attempt off.
      failures: memory of failures in a choice.
      slowness: memory of run times in a choice.
      crossing: the cost of another failure domain in a choice.
      ahead: pipelined reads run at once.
      spread: times to come back are spread.
      returns: callers that come back are known, and what an answer is still
        worth to them.
      siblings: calls that belong together are served or refused alike.
      run_times: what a run takes there, its calls included, is learned, and
        nothing begins that would not end in time.
      ways: what the links between nodes add to a choice.
      nested: calls of the server beside are told from callers' requests.
      foresight: what every target would answer late is refused at once.
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
    """Returns the switches with those in `names` off.

    Raises:
      SwitchUnknownError: a name is not that of a mechanism.
    """
    known = {field.name for field in dataclasses.fields(Switches)}
    off = {name.strip() for name in names.split(",") if name.strip()}
    if off - known:
        raise SwitchUnknownError(
            f"{VARIABLE}: expected names of {sorted(known)}, got "
            f"{sorted(off - known)}"
        )
    return Switches(**dict.fromkeys(off, False))


def read_switches(environment: Mapping[str, str]) -> Switches:
    """Returns the switches that `environment` names."""
    return parse_switches(environment.get(VARIABLE, ""))
