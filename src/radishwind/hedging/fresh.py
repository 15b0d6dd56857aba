"""Hedges idempotent calls that will miss their aim where they are."""

from typing import TYPE_CHECKING

from radishwind.hedging.policy import HedgePolicy
from radishwind.http.types import BodyStream
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome
from radishwind.retries.shared import SharedBudget
from radishwind.routing.chooser import LoadReport

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: A hedge begins so many usual answer times before the aim: the second
#: attempt then has about the time that an unhindered one takes.
LEAD = 1.5

#: The least part of the aim that the first attempt gets.
LEAST_PART = 0.35

#: Share of the requests of a service that may be hedged; calls that hedges
#: make count against the budget of other services, so it stays far below.
SHARE = 0.08

#: Weight of one answer in the usual answer time.
_WEIGHT = 0.05

#: Answer times count for at most so many times the usual one.
_CLIP = 3.0


class HedgeBeforeAim(HedgePolicy):
    """Starts a second attempt while it can still meet the aim."""

    def __init__(self, budget: SharedBudget) -> None:
        self._budget = budget
        self._usual_s: dict[str, float] = {}

    def delay_s(self, call: "Call", now: float) -> float | None:
        if not call.idempotent or isinstance(call.request.body, BodyStream):
            return None
        usual_s = self._usual_s.get(call.service)
        if usual_s is None or call.most_reached < 2:
            return None
        aim_s = call.aim - now
        return max(LEAST_PART * aim_s, aim_s - LEAD * usual_s)

    def spend(self, call: "Call", now: float) -> bool:
        return self._budget.spend(call.service, now)

    def finished(
        self,
        call: "Call",
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        if not isinstance(outcome, Done):
            return
        before = self._usual_s.get(call.service, elapsed_s)
        clipped_s = min(elapsed_s, before * _CLIP)
        self._usual_s[call.service] = before + _WEIGHT * (clipped_s - before)
