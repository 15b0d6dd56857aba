"""Runs the attempts of a call: the first one, hedges and retries."""

import dataclasses

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.hedge_timer import HedgeTimer
from radishwind.entry.load_shedder import LoadShedder
from radishwind.entry.load_shedder import NoLoadShedding
from radishwind.entry.race import Race
from radishwind.entry.runner import AttemptRunner
from radishwind.hedging.policy import HedgePolicy
from radishwind.http.types import abort_body
from radishwind.membership.directory import Member
from radishwind.outcomes import combine_outcomes
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.retries.policy import RetryPolicy
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.placement import Placement
from radishwind.supervision import Duty

#: Refusals by the server itself, which the request has reached.
_SERVER_REFUSALS = frozenset(
    {ResultCode.SERVER_SHED, ResultCode.SERVER_REPLACED}
)


class AttemptCounts(msgspec.Struct):
    """Counters of what was sent for callers since the start.

    Attributes:
      calls: number of calls that were run or refused.
      attempts: number of attempts, including hedges.
      hedges: number of hedges, started while another attempt was running.
    """

    calls: int = 0
    attempts: int = 0
    hedges: int = 0


class CallExecutor:
    """Runs calls to their final outcome; keeps no state of single calls."""

    def __init__(
        self,
        *,
        clock: Clock,
        placement: Placement,
        chooser: TargetChooser,
        retries: RetryPolicy,
        hedges: HedgePolicy,
        runner: AttemptRunner,
        shedder: LoadShedder | None = None,
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._chooser = chooser
        self._retries = retries
        self._hedges = hedges
        self._runner = runner
        self._shedder = shedder or NoLoadShedding()
        self.counts = AttemptCounts()
        self._timer = HedgeTimer(clock)

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties that start the hedges."""
        return self._timer.duties()

    async def run_hedges(self) -> None:
        """Starts the hedges that fall due, until cancelled."""
        await self._timer.run()

    async def run(self, call: Call) -> Outcome:
        """Returns the final outcome of `call`."""
        history = _AttemptHistory(call)
        self.counts.calls += 1
        now = self._clock.monotonic()
        self._retries.record_first_attempt(call, now)
        hedge_delay_s = self._hedges.delay_s(call, now)
        last: Outcome | None = None
        while True:
            member = self._choose(history)
            if member is None:
                return last or self._refusal(call)
            shed = self._shedder.refusal(call, member, self._clock.monotonic())
            if shed is not None:
                return combine_outcomes(last, shed)
            try:
                outcome = await self._attempt_or_race(
                    history, member, hedge_delay_s
                )
            except BaseException:
                _drop(last)
                raise
            if not isinstance(outcome, NotRun):
                # A retry is not hedged if a server may have been reached.
                hedge_delay_s = None
            last = _keep_one(last, outcome)
            now = self._clock.monotonic()
            if history.reached >= call.max_server_attempts:
                return last
            if not self._retries.should_retry(
                call, last, history.attempts, now
            ):
                return last

    def _refusal(self, call: Call) -> NotRun:
        """Returns the outcome of a call for which there is no target."""
        members = self._placement.candidates(call)
        refusal = self._chooser.refusal(members, self._clock.monotonic())
        return refusal or self._placement.refusal(call)

    def _choose(self, history: "_AttemptHistory") -> Member | None:
        """Returns a target that the call has not tried, if there is one."""
        members = self._placement.candidates(history.call)
        now = self._clock.monotonic()
        return self._chooser.choose(
            members,
            now,
            history.tried,
            history.call.route,
            history.call.aim,
        )

    async def _attempt_or_race(
        self,
        history: "_AttemptHistory",
        member: Member,
        hedge_delay_s: float | None,
    ) -> Outcome:
        if hedge_delay_s is None:
            return await self._attempt(history, member)
        return await self._race(history, member, hedge_delay_s)

    async def _race(
        self, history: "_AttemptHistory", member: Member, delay_s: float
    ) -> Outcome:
        """Runs an attempt and, if it is slow, a hedge; the first response wins.

        The other attempt is cancelled, which closes its connection.
        """
        race = Race()
        self._schedule_hedge(history, race, delay_s)
        return await race.run_first(lambda: self._attempt(history, member))

    def _schedule_hedge(
        self, history: "_AttemptHistory", race: Race, delay_s: float
    ) -> None:
        due = self._clock.monotonic() + delay_s
        self._timer.add(
            due, race, lambda: self._start_hedge(history, race, delay_s)
        )

    async def _start_hedge(
        self, history: "_AttemptHistory", race: Race, delay_s: float
    ) -> None:
        """Starts a hedge, or postpones it as the policy decides."""
        now = self._clock.monotonic()
        hold_off_s = self._hedges.hold_off_s(history.call, history.running, now)
        if hold_off_s > 0:
            self._schedule_hedge(history, race, hold_off_s)
            return
        member = self._choose(history)
        if (
            member is None
            or history.reached >= history.call.max_server_attempts
        ):
            return
        if self._chooser.is_limited(member.name) or (
            not self._hedges.is_worthwhile(
                history.call, history.running, member, now
            )
        ):
            recheck_s = self._hedges.recheck_s(history.call) or delay_s
            self._schedule_hedge(history, race, recheck_s)
            return
        if not self._hedges.try_spend(history.call, now):
            # A token may be available after another delay; a call without a
            # response by then is among the slowest.
            self._schedule_hedge(history, race, delay_s)
            return
        self.counts.hedges += 1
        await race.run_hedge(lambda: self._attempt(history, member))

    async def _attempt(
        self, history: "_AttemptHistory", member: Member
    ) -> Outcome:
        call = history.call
        self.counts.attempts += 1
        began = self._clock.monotonic()
        attempt_id = history.start_attempt(member.name, began)
        cost = self._chooser.describe_cost(member, began, call.route)
        expected_s = self._chooser.expected_s(member, began, call.route)
        self._chooser.attempt_started(member.name, began, expected_s)
        outcome, load = None, None
        if history.reached > 1:
            call = dataclasses.replace(call, is_retry=True)
        try:
            result = await self._runner.run(call, member, attempt_id)
            outcome, load = result.outcome, result.load
        finally:
            now = self._clock.monotonic()
            elapsed_s = now - began
            self._chooser.attempt_finished(
                member.name, now, elapsed_s, outcome, load, call.route
            )
            self._hedges.finished(call, now, elapsed_s, outcome, load)
            history.end_attempt(outcome)
            step = _step(member.name, cost, elapsed_s, outcome)
            call.steps.append(step)
        return outcome


class _AttemptHistory:
    """The attempts of one call so far.

    Attributes:
      attempts: number of attempts started.
      call: the call.
      reached: number of attempts that reached a server, or may still do so.
      running: the target and the start (monotonic s) of the latest attempt.
      tried: names of the targets tried.
    """

    __slots__ = ("attempts", "call", "reached", "running", "tried")

    def __init__(self, call: Call) -> None:
        self.call = call
        self.attempts = 0
        self.reached = 0
        self.running = ("", 0.0)
        self.tried: frozenset[str] = frozenset()

    def start_attempt(self, target: str, began: float) -> str:
        """Records an attempt at `target` and returns its id."""
        self.running = (target, began)
        self.attempts += 1
        self.reached += 1
        self.tried |= {target}
        return f"{self.call.call_id}.{self.attempts}"

    def end_attempt(self, outcome: Outcome | None) -> None:
        """Records the outcome of an attempt; `None` if it was cancelled."""
        if isinstance(outcome, NotRun) and outcome.code not in _SERVER_REFUSALS:
            self.reached -= 1


def _keep_one(earlier: Outcome | None, later: Outcome) -> Outcome:
    """Returns the outcome of both attempts; drops the response not returned."""
    kept = combine_outcomes(earlier, later)
    _drop(later if kept is earlier else earlier)
    return kept


def _drop(outcome: Outcome | None) -> None:
    """Aborts a response that nobody will read, which releases its slot."""
    if isinstance(outcome, Done):
        abort_body(outcome.response.body)


def _step(
    target: str, cost: str, elapsed_s: float, outcome: Outcome | None
) -> str:
    """Returns the log text of an attempt: target, cost, time and result."""
    if outcome is None:
        end = "cancelled"
    elif isinstance(outcome, Done):
        end = str(outcome.response.status)
    else:
        end = f"RW-{int(outcome.code)}"
    return f"{target} ({cost}) {elapsed_s * 1000:.0f}ms {end}"
