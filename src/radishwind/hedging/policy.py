"""The interface of the hedging policy."""

import abc
from typing import TYPE_CHECKING

from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport

if TYPE_CHECKING:
    from radishwind.entry.call import Call
    from radishwind.membership.directory import Member


class HedgePolicy(abc.ABC):
    """Decides when a second attempt begins beside one without an answer."""

    @abc.abstractmethod
    def delay_s(self, call: "Call", now: float) -> float | None:
        """Returns how long to wait for the first attempt (s).

        `None` where the call gets no hedge. Called once per call, as its
        first attempt begins.
        """

    def recheck_s(self, call: "Call") -> float | None:
        """Returns when to look at `call` again (s); `None` for as before."""
        return None

    def hold_off_s(
        self, call: "Call", running: tuple[str, float], now: float
    ) -> float:
        """Returns how long the first attempt is left alone (s); 0 for no more.

        Args:
          call: the call.
          running: the target of the first attempt, and its beginning
            (monotonic s).
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
        """Returns whether a hedge is worth its price now.

        Args:
          call: the call.
          running: the target of the first attempt, and its beginning
            (monotonic s).
          other: the target that the hedge would go to.
          now: monotonic time (s).
        """
        return True

    @abc.abstractmethod
    def try_spend(self, call: "Call", now: float) -> bool:
        """Returns whether the hedge, now due, may begin; it is then paid."""

    @abc.abstractmethod
    def finished(
        self,
        call: "Call",
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        """Notes that an attempt of `call` ended.

        Args:
          call: the call.
          now: monotonic time (s).
          elapsed_s: how long the attempt took (s).
          outcome: what became of it; `None` if it was cancelled by us.
          load: the target's report, where the answer carried one.
        """


class NoHedging(HedgePolicy):
    """Hedges nothing."""

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
