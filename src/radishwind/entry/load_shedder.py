"""Sheds calls that every target is expected to answer too late.

In an overload all queues are long, and a request that is forwarded from one
full target to the next waits a little at each until its deadline has passed.
The entry node knows the expected response time of the best target. If that is
too long, the caller is refused at once and can retry, and the accepted requests
are answered in time.
"""

import abc
from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.membership.directory import Member
from radishwind.outcomes.model import NotRun
from radishwind.routing.chooser import TargetChooser

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Expected lateness tolerated for a request of the highest priority (s): the
#: forecast is not more exact, and a slow period of a server may end in that
#: time.
MAX_LATENESS_S = 0.2

#: Reduction of the tolerated lateness for each step of priority (s), so that
#: the requests of the highest priority are shed last.
PRIORITY_STEP_S = 0.1

#: Fraction of the time to the deadline that a nested call may take; the rest is
#: left to the request that waits for it.
NESTED_FRACTION = 0.5

#: Lower bound of the retry time that a refusal states (s).
_MIN_RETRY_S = 0.05


class LoadShedder(abc.ABC):
    """Decides whether a call is sent to a target or refused at once."""

    @abc.abstractmethod
    def refusal(
        self, call: "Call", member: Member, now: float
    ) -> NotRun | None:
        """Returns the refusal of `call`, or `None` if it is to be sent.

        Args:
          call: the call.
          member: the best target for it.
          now: monotonic time (s).
        """


class NoLoadShedding(LoadShedder):
    """Never sheds a call."""

    def refusal(
        self, call: "Call", member: Member, now: float
    ) -> NotRun | None:
        return None


class ShedLateCalls(LoadShedder):
    """Sheds calls whose expected response time is too long.

    A call whose aim has passed already is sent if it need not queue for long.
    """

    def __init__(self, chooser: TargetChooser) -> None:
        self._chooser = chooser

    def refusal(
        self, call: "Call", member: Member, now: float
    ) -> NotRun | None:
        expected_s = self._chooser.expected_s(member, now, call.route)
        if not expected_s:
            return None
        max_s = self._max_response_s(call, now)
        if expected_s <= max_s:
            return None
        return NotRun(
            ResultCode.OVERLOADED,
            "No target is expected to answer in time.",
            round(max(_MIN_RETRY_S, expected_s - max_s), 3),
        )

    def _max_response_s(self, call: "Call", now: float) -> float:
        """Returns the longest acceptable response time of `call` (s).

        A request that waits for a nested call fails without it. It can wait
        until the deadline of the call, less the time that it still needs.
        """
        if call.depth:
            return NESTED_FRACTION * (call.deadline - now)
        max_s = max(call.aim - now, self._chooser.mean_run_s(call.route))
        return max_s + max(
            0.0, MAX_LATENESS_S - PRIORITY_STEP_S * call.priority
        )
