"""Interface of hedging policies, and the policy without hedges."""

import abc
from typing import TYPE_CHECKING

from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport

if TYPE_CHECKING:
    from radishwind.entry.call import Call
    from radishwind.membership.directory import Member


class HedgePolicy(abc.ABC):
    """Decides when to hedge a call whose first attempt has not responded."""

    @abc.abstractmethod
    def delay_s(self, call: "Call", now: float) -> float | None:
        """Returns the delay of the hedge after the first attempt (s).

        Called once per call, when its first attempt begins. `None` if the call
        gets no hedge.
        """

    def recheck_s(self, call: "Call") -> float | None:
        """Returns the time until the next check of `call` (s).

        `None` for the delay of the previous check.
        """
        return None

    def hold_off_s(
        self, call: "Call", running: tuple[str, float], now: float
    ) -> float:
        """Returns how long to wait before a hedge is considered (s); 0 for now.

        Args:
          call: the call.
          running: the target and the start (monotonic s) of the first attempt.
          now: monotonic time (s).
        """
        return 0.0

    def is_worthwhile(
        self,
        call: "Call",
        running: tuple[str, float],
        other: "Member",
        now: float,
    ) -> bool:
        """Returns whether a hedge is worth its cost now.

        Args:
          call: the call.
          running: the target and the start (monotonic s) of the first attempt.
          other: the target of the hedge.
          now: monotonic time (s).
        """
        return True

    @abc.abstractmethod
    def try_spend(self, call: "Call", now: float) -> bool:
        """Takes a due hedge from the budget; returns `False` if it is empty."""

    @abc.abstractmethod
    def finished(
        self,
        call: "Call",
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        """Records the end of an attempt of `call`.

        Args:
          call: the call.
          now: monotonic time (s).
          elapsed_s: duration of the attempt (s).
          outcome: its outcome; `None` if this node cancelled it.
          load: the load report of the target, if the response had one.
        """


class NoHedging(HedgePolicy):
    """Never hedges."""

    def delay_s(self, call: "Call", now: float) -> float | None:
        return None

    def try_spend(self, call: "Call", now: float) -> bool:
        return False

    def finished(
        self,
        call: "Call",
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        """Does nothing."""
