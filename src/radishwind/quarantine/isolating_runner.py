"""Runs a call alone after one of its attempts broke off.

Otherwise a request that crashes servers would crash another one with each
attempt, together with everything else that runs there. Suspect reports take
seconds to spread between nodes, but the next attempt follows at once.
"""

import collections
import dataclasses

from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.entry.pipeline import AttemptRunner
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Unknown

#: Maximum number of calls tracked that had a broken attempt.
MAX_BROKEN_CALLS = 1024

#: Number of broken attempts after which a call is not tried again.
MAX_BROKEN_ATTEMPTS = 2


class IsolatingRunner(AttemptRunner):
    """Runs a call alone after one broken attempt, and not at all after two."""

    def __init__(self, runner: AttemptRunner) -> None:
        self._runner = runner
        self._broken_attempts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        broken_count = (
            self._broken_attempts.get(call.call_id, 0)
            if self._broken_attempts
            else 0
        )
        if broken_count >= MAX_BROKEN_ATTEMPTS:
            # Not `NotRun`: an earlier attempt may have run.
            return AttemptResult(
                Unknown(
                    ResultCode.EXCHANGE_BROKEN,
                    "Two servers broke the connection during this request.",
                )
            )
        if broken_count:
            call = dataclasses.replace(call, suspect=True)
        result = await self._runner.run(call, member, attempt_id)
        outcome = result.outcome
        if (
            isinstance(outcome, Unknown)
            and outcome.code is ResultCode.EXCHANGE_BROKEN
        ):
            self._record_broken(call.call_id, broken_count + 1)
        return result

    def _record_broken(self, call_id: str, broken_count: int) -> None:
        self._broken_attempts[call_id] = broken_count
        while len(self._broken_attempts) > MAX_BROKEN_CALLS:
            self._broken_attempts.popitem(last=False)
