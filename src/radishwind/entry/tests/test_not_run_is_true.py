"""A call is reported as not run only if none of its attempts may have run."""

import random

import pytest

from radishwind.config.model import ServiceRules
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.entry import AttemptResult
from radishwind.entry import AttemptRunner
from radishwind.entry.call import Call
from radishwind.entry.call_executor import CallExecutor
from radishwind.hedging.policy import NoHedging
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.retries import CappedRetryPolicy
from radishwind.routing.baselines import RandomChooser
from radishwind.routing.placement import UnrestrictedPlacement

BROKEN = Unknown(ResultCode.EXCHANGE_BROKEN, "broken")
REFUSED = NotRun(ResultCode.OVERLOADED, "full")
ANSWER = Done(Response(200))
CALL = Call("1", "s", Request("GET", "/"), ServiceRules(), True, 9.0, 0, "c")


class ThreeTargets(Directory):
    def eligible_members(self, service):
        address = Address("127.0.0.1", 1)
        return tuple(Member(n, "s", "d", address) for n in ("a", "b", "c"))

    def members(self):
        return self.eligible_members("s")


class ScriptedRunner(AttemptRunner):
    def __init__(self, *outcomes):
        self._outcomes = iter(outcomes)

    async def run(self, call, member, attempt_id):
        return AttemptResult(next(self._outcomes))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        ((BROKEN, REFUSED, REFUSED), BROKEN),
        ((REFUSED, BROKEN, REFUSED), BROKEN),
        ((BROKEN, REFUSED, ANSWER), ANSWER),
        ((REFUSED, REFUSED, REFUSED), REFUSED),
    ],
)
async def test_possible_run_is_not_reported_as_not_run(outcomes, expected):
    attempts = CallExecutor(
        clock=ManualClock(),
        placement=UnrestrictedPlacement(ThreeTargets()),
        chooser=RandomChooser(random.Random(1)),
        retries=CappedRetryPolicy(),
        hedges=NoHedging(),
        runner=ScriptedRunner(*outcomes),
    )
    assert await attempts.run(CALL) == expected
