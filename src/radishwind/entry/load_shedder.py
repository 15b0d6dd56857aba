"""Refuses at once what every target would answer late.

In an overload all queues are long, and a request that is sent from one full
target to the next waits a little at each until its caller has gone. Its node
knows how long the best of them would take: where that is too long, the caller
hears so at once and can come back, and what was accepted is answered in time.
"""

import abc
from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.membership.directory import Member
from radishwind.outcomes.model import NotRun
from radishwind.routing.chooser import TargetChooser

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: What a request of the highest rank may be late by and is sent all the same
#: (s): the forecast is no better, and a slow spell passes in that time.
MOST_LATE_S = 0.2

#: So much less for each step of rank (s), so that the most urgent stay longest.
RANK_STEP_S = 0.1

#: The part of the time left to a nested call that it may take.
NESTED_PART = 0.5

#: The least that a refused caller is told to wait (s).
_LEAST_RETRY_S = 0.05


class LoadShedder(abc.ABC):
    """Says whether an attempt is worth to be made."""

    @abc.abstractmethod
    def refusal(
        self, call: "Call", member: Member, now: float
    ) -> NotRun | None:
        """Returns why `call` had better not be sent to `member`, if so.

        Args:
          call: what would be sent.
          member: the best target there is for it.
          now: monotonic time (s).
        """


class NoLoadShedding(LoadShedder):
    """Sends everything."""

    def refusal(
        self, call: "Call", member: Member, now: float
    ) -> NotRun | None:
        return None


class ShedLateCalls(LoadShedder):
    """Refuses what would be late, by what the chooser expects.

    What is late already is sent where it need not wait for long.
    """

    def __init__(self, chooser: TargetChooser) -> None:
        self._chooser = chooser

    def refusal(
        self, call: "Call", member: Member, now: float
    ) -> NotRun | None:
        expected_s = self._chooser.expected_s(member, now, call.route)
        if not expected_s:
            return None
        most_s = self._most_s(call, now)
        if expected_s <= most_s:
            return None
        return NotRun(
            ResultCode.OVERLOADED,
            "Every target would answer late.",
            round(max(_LEAST_RETRY_S, expected_s - most_s), 3),
        )

    def _most_s(self, call: "Call", now: float) -> float:
        """Returns what `call` may take (s).

        The run that waits for a nested call is lost without it. It has until
        the call's deadline, less what it still needs itself.
        """
        if call.depth:
            return NESTED_PART * (call.deadline - now)
        most_s = max(call.aim - now, self._chooser.mean_run_s(call.route))
        return most_s + max(0.0, MOST_LATE_S - RANK_STEP_S * call.priority)
