"""Sends a call on with care after an attempt of it broke off.

A request that crashes servers would otherwise crash one with each attempt, and
take what else runs there with it. Facts between nodes take seconds; the next
attempt comes at once.
"""

import collections
import dataclasses

from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.entry.pipeline import AttemptRunner
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Unknown

#: Calls remembered whose attempt broke off.
MAX_BROKEN_CALLS = 1024

#: After so many attempts that broke off there is no further one.
MAX_BROKEN_ATTEMPTS = 2


class IsolatingRunner(AttemptRunner):
    """Lets a call run alone after one broken attempt, and not after two."""

    def __init__(self, runner: AttemptRunner) -> None:
        self._runner = runner
        self._breaks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        breaks = self._breaks.get(call.call_id, 0) if self._breaks else 0
        if breaks >= MAX_BROKEN_ATTEMPTS:
            # It may have run, so this must not be told as "not run".
            return AttemptResult(
                Unknown(
                    ResultCode.EXCHANGE_BROKEN,
                    "Two servers broke off under this request.",
                )
            )
        if breaks:
            call = dataclasses.replace(call, suspect=True)
        result = await self._runner.run(call, member, attempt_id)
        outcome = result.outcome
        if (
            isinstance(outcome, Unknown)
            and outcome.code is ResultCode.EXCHANGE_BROKEN
        ):
            self._note(call.call_id, breaks + 1)
        return result

    def _note(self, call_id: str, breaks: int) -> None:
        self._breaks[call_id] = breaks
        while len(self._breaks) > MAX_BROKEN_CALLS:
            self._breaks.popitem(last=False)
