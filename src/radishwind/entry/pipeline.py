"""Answers callers: classify, run once by claim, answer."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from radishwind.claims.guard import ClaimGuard
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call_executor import AttemptCounts
from radishwind.entry.call_executor import CallExecutor
from radishwind.entry.classifier import Classifier
from radishwind.entry.load_shedder import LoadShedder
from radishwind.entry.observer import CallObserver
from radishwind.entry.retry_after import RetryAfter
from radishwind.entry.runner import AttemptResult
from radishwind.entry.runner import AttemptRunner
from radishwind.hedging.policy import HedgePolicy
from radishwind.hedging.policy import NoHedging
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import answer
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.quarantine.gate import OpenGate
from radishwind.quarantine.gate import QuarantineGate
from radishwind.quotas import NoQuotas
from radishwind.quotas import QuotaGate
from radishwind.retries.policy import RetryPolicy
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.placement import Placement

__all__ = ["AttemptResult", "AttemptRunner", "EntryPipeline"]


class EntryPipeline:
    """Answers callers: classify, choose, attempt, perhaps again, answer."""

    def __init__(
        self,
        *,
        clock: Clock,
        classifier: Classifier,
        placement: Placement,
        chooser: TargetChooser,
        retries: RetryPolicy,
        runner: AttemptRunner,
        claims: ClaimGuard,
        hedges: HedgePolicy | None = None,
        observers: Sequence[CallObserver] = (),
        quarantine: QuarantineGate | None = None,
        retry_after: RetryAfter | None = None,
        respond: Callable[[Outcome], Response] = answer,
        shedder: LoadShedder | None = None,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._clock = clock
        self._classifier = classifier
        self._claims = claims
        self._quotas = quotas or NoQuotas()
        self._observers = tuple(observers)
        self._quarantine = quarantine or OpenGate()
        self._retry_after = retry_after or RetryAfter()
        self._respond = respond
        self._attempts = CallExecutor(
            clock=clock,
            placement=placement,
            chooser=chooser,
            retries=retries,
            hedges=hedges or NoHedging(),
            runner=runner,
            shedder=shedder,
        )

    @property
    def counts(self) -> AttemptCounts:
        """What was sent for callers since the start."""
        return self._attempts.counts

    async def run_hedges(self) -> None:
        """Starts the hedges that fall due, until cancelled.

        Without this task calls are answered, and none is hedged.
        """
        await self._attempts.run_hedges()

    async def handle(self, request: Request) -> Response:
        """Returns the final answer to a caller's request."""
        began = self._clock.monotonic()
        try:
            call = self._classifier.classify(request)
        except CallRejectedError as exc:
            for observer in self._observers:
                observer.rejected(exc)
            refusal = NotRun(exc.code, exc.args[0], exc.retry_after_s)
            if exc.retry_after_s is None:
                refusal = self._refusal(refusal)
            return self._respond(refusal)
        try:
            outcome = await self._within_quota(call)
        except asyncio.CancelledError:
            elapsed_s = self._clock.monotonic() - began
            for observer in self._observers:
                observer.disconnected(call, elapsed_s)
            raise
        elapsed_s = self._clock.monotonic() - began
        for observer in self._observers:
            observer.finished(call, outcome, elapsed_s)
        return self._respond(outcome)

    async def _within_quota(self, call: Call) -> Outcome:
        """Runs `call` if its account's quota has room for it."""
        if not call.account:
            return await self._claims.run(call, self._run)
        taken_at = self._clock.monotonic()
        wait_s = self._quotas.admit(call.account, taken_at)
        if wait_s is not None:
            call.steps.append(self._quotas.describe(call.account))
            return NotRun(
                ResultCode.QUOTA_EXCEEDED,
                "The account is over its quota.",
                round(wait_s, 3),
            )
        outcome = await self._claims.run(call, self._run)
        if isinstance(outcome, NotRun):
            now = self._clock.monotonic()
            self._quotas.refund(call.account, taken_at, now)
        return outcome

    async def _run(self, call: Call) -> Outcome:
        refused = self._quarantine.refusal(call)
        if refused is not None:
            return refused
        return self._with_retry_after(await self._attempts.run(call))

    def _with_retry_after(self, outcome: Outcome) -> Outcome:
        """Returns `outcome` saying when to come back, if it is a refusal."""
        if not isinstance(outcome, NotRun):
            return outcome
        return self._refusal(outcome)

    def _refusal(self, refusal: NotRun) -> NotRun:
        retry_s = self._retry_after.for_refusal(refusal)
        return msgspec.structs.replace(refusal, retry_after_s=retry_s)
