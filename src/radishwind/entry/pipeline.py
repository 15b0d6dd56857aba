"""Handles requests of callers from classification to the response."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

import msgspec

from radishwind.claims.claim_guard import ClaimGuard
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
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import outcome_response
from radishwind.quarantine.quarantine import NoQuarantine
from radishwind.quarantine.quarantine import QuarantineCheck
from radishwind.quotas import NoQuotas
from radishwind.quotas import QuotaGate
from radishwind.retries.policy import RetryPolicy
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.placement import Placement
from radishwind.supervision import Duty
from radishwind.supervision import notify

__all__ = ["AttemptResult", "AttemptRunner", "EntryPipeline"]


class EntryPipeline:
    """Handles requests of callers from classification to the response.

    A request is classified, checked against the quota of its account, guarded
    by its claim, and run by the attempts of its call.
    """

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
        quarantine: QuarantineCheck | None = None,
        retry_after: RetryAfter | None = None,
        respond: Callable[[Outcome], Response] = outcome_response,
        shedder: LoadShedder | None = None,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._clock = clock
        self._classifier = classifier
        self._claims = claims
        self._quotas = quotas or NoQuotas()
        self._observers = tuple(observers)
        self._quarantine = quarantine or NoQuarantine()
        self._retry_after = retry_after or RetryAfter()
        self._respond = respond
        self._latest_deadline = math.inf
        self._executor = CallExecutor(
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
        """Number of calls, attempts and hedges since the start."""
        return self._executor.counts

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties that start the hedges that fall due.

        While they do not run, no call is hedged.
        """
        return self._executor.duties()

    async def run_hedges(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await self._executor.run_hedges()

    def limit_deadlines(self, latest: float) -> None:
        """Lets calls from now on end by `latest` (monotonic s).

        A call that can't end by then is refused as not run where that is known,
        in place of being cut off when this node ends.
        """
        self._latest_deadline = latest

    async def handle(self, request: Request) -> Response:
        """Returns the final response to a request of a caller."""
        arrived_at = self._clock.monotonic()
        try:
            call = self._classifier.classify(request)
        except CallRejectedError as exc:
            for observer in self._observers:
                notify("entry.observers", observer.rejected, exc)
            refusal = NotRun(exc.code, exc.args[0], exc.retry_after_s)
            if exc.retry_after_s is None:
                refusal = self._with_retry_time(refusal)
            return self._respond(refusal)
        call = self._with_latest_deadline(call)
        try:
            outcome = await self._run_within_quota(call)
        except asyncio.CancelledError:
            elapsed_s = self._clock.monotonic() - arrived_at
            for observer in self._observers:
                notify(
                    "entry.observers", observer.disconnected, call, elapsed_s
                )
            raise
        elapsed_s = self._clock.monotonic() - arrived_at
        for observer in self._observers:
            notify(
                "entry.observers", observer.finished, call, outcome, elapsed_s
            )
        return self._respond(outcome)

    def _with_latest_deadline(self, call: Call) -> Call:
        excess_s = call.deadline - self._latest_deadline
        if excess_s <= 0:
            return call
        return dataclasses.replace(
            call,
            deadline=self._latest_deadline,
            expires_ms=call.expires_ms - int(excess_s * 1000),
        )

    async def _run_within_quota(self, call: Call) -> Outcome:
        """Runs `call` if it is within the quota of its account."""
        if not call.account:
            return await self._claims.run(call, self._run)
        admitted_at = self._clock.monotonic()
        wait_s = self._quotas.admit(call.account, admitted_at)
        if wait_s is not None:
            call.steps.append(self._quotas.describe(call.account))
            return NotRun(
                ResultCode.QUOTA_EXCEEDED,
                "The request quota of the account is exceeded.",
                round(wait_s, 3),
            )
        outcome = await self._claims.run(call, self._run)
        if isinstance(outcome, NotRun):
            now = self._clock.monotonic()
            self._quotas.refund(call.account, admitted_at, now)
        return outcome

    async def _run(self, call: Call) -> Outcome:
        refusal = self._quarantine.refusal(call)
        if refusal is not None:
            return refusal
        return self._finalize(await self._executor.run(call))

    def _finalize(self, outcome: Outcome) -> Outcome:
        """Returns `outcome`; a refusal gets a bounded retry time."""
        if not isinstance(outcome, NotRun):
            return outcome
        return self._with_retry_time(outcome)

    def _with_retry_time(self, refusal: NotRun) -> NotRun:
        retry_s = self._retry_after.for_refusal(refusal)
        return msgspec.structs.replace(refusal, retry_after_s=retry_s)
