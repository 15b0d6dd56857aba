"""Runs the attempts of a call and answers its caller."""

import abc
import dataclasses
import itertools
import random
from collections.abc import Callable

from radishwind.claims.guard import ClaimGuard
from radishwind.config.index import ConfigIndex
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call import classify
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.outcomes import answer
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import problem
from radishwind.retries.policy import RetryPolicy
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """What became of one attempt.

    Attributes:
      outcome: the outcome.
      load: the target's load, where it told it.
    """

    outcome: Outcome
    load: LoadReport | None = None


class AttemptRunner(abc.ABC):
    """Runs one attempt at one target."""

    @abc.abstractmethod
    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        """Runs `call` at `member`; never raises for what a peer does."""


class EntryPipeline:
    """Answers callers: classify, choose, attempt, perhaps again, answer."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        rng: random.Random,
        index: Callable[[], ConfigIndex],
        directory: Directory,
        chooser: TargetChooser,
        retries: RetryPolicy,
        runner: AttemptRunner,
        claims: ClaimGuard,
    ) -> None:
        self._clock = clock
        self._index = index
        self._directory = directory
        self._chooser = chooser
        self._retries = retries
        self._runner = runner
        self._claims = claims
        # Unique over restarts: the name alone is not.
        self._id_prefix = f"{node_name}-{rng.getrandbits(64):016x}"
        self._calls = itertools.count(1)

    async def handle(self, request: Request) -> Response:
        """Returns the final answer to a caller's request."""
        try:
            call = classify(
                request,
                self._index(),
                f"{self._id_prefix}-{next(self._calls)}",
                self._clock.monotonic(),
                int(self._clock.now().timestamp() * 1000),
            )
        except CallRejectedError as exc:
            return problem(exc.code, exc.args[0], "not-run")
        return answer(await self._claims.run(call, self._run))

    async def _run(self, call: Call) -> Outcome:
        tried: frozenset[str] = frozenset()
        last: Outcome | None = None
        for number in itertools.count(1):
            members = self._directory.of_service(call.service)
            now = self._clock.monotonic()
            member = self._chooser.choose(members, now, tried)
            if member is None:
                return last or NotRun(
                    ResultCode.NO_TARGET,
                    f"No target of {call.service} takes requests now.",
                    1.0,
                )
            last = await self._attempt(call, member, f"{call.call_id}.{number}")
            tried |= {member.name}
            now = self._clock.monotonic()
            if not self._retries.again(call, last, number, now):
                return last
        raise AssertionError("unreachable: count() does not end")

    async def _attempt(
        self, call: Call, member: Member, attempt_id: str
    ) -> Outcome:
        began = self._clock.monotonic()
        self._chooser.started(member.name, began)
        result: AttemptResult | None = None
        try:
            result = await self._runner.run(call, member, attempt_id)
        finally:
            now = self._clock.monotonic()
            self._chooser.finished(
                member.name,
                now,
                now - began,
                result.outcome if result else None,
                result.load if result else None,
            )
        return result.outcome
