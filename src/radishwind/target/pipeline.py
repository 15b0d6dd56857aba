"""Admits an attempt, runs it on the server beside, and says what came of it."""

import collections
from collections.abc import Callable

import anyio
import msgspec

from radishwind.admission.gate import Admission
from radishwind.admission.gate import Ticket
from radishwind.admission.room import Run
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.nested_routes import LocalConcurrency
from radishwind.entry.pipeline import AttemptResult
from radishwind.http.sender import Sender
from radishwind.http.types import Body
from radishwind.http.types import BodyStream
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.routing.chooser import LoadReport
from radishwind.target.backend_server import BackendServer
from radishwind.target.exchange_base import Exchange
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.pace import Pace
from radishwind.target.run_time_estimator import RunTimeEstimate
from radishwind.target.run_time_estimator import RunTimeEstimator
from radishwind.target.run_time_estimator import UNKNOWN_RUN_TIME
from radishwind.target.server_exchange import ServerExchange
from radishwind.target.warmup_limiter import NoSendLimiter
from radishwind.target.warmup_limiter import SendLimiter

#: The share that the newest answer has in the mean service time.
_SMOOTHING = 0.1

#: When a request that a leaving target refused may come back (s).
_LEAVING_RETRY_S = 1.0

#: How often a waiting request looks whether it is too late, and a planned
#: stop whether all has ended (s).
_LOOK_AGAIN_S = 0.1


class TargetPipeline:
    """Runs attempts on one server; exact about its slots and its leaving.

    Args:
      clock: the clock.
      admission: grants the slots of the server.
      sender: sends to the server.
      server: the server beside the node.
      watch: learns from each exchange.
      exchange: sends to the server; by default in our own fields.
      pace: returns how long work takes there now.
      ran: takes each run that went well.
      gate: bounds what the server is sent; by default nothing does.
      run_times: learns what runs take, so that none begins that would not end
        in time; by default twice their work is left.
      link_kbps: returns what the link of the node has left (kbit/s); by
        default it isn't told.
      runs: counts what runs there.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        sender: Sender,
        server: BackendServer,
        watch: ExchangeRecorder,
        exchange: Exchange | None = None,
        pace: Callable[[], Pace] | None = None,
        ran: Callable[[Run], None] | None = None,
        gate: SendLimiter | None = None,
        run_times: RunTimeEstimator | None = None,
        link_kbps: Callable[[], int] | None = None,
        runs: LocalConcurrency | None = None,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._server = server
        self._watch = watch
        self._exchange = exchange or ServerExchange(clock, sender, watch)
        self._pace = pace or _usual_pace
        self._ran = ran or _ignored
        self._gate = gate or NoSendLimiter()
        self._run_times = run_times
        self._link_kbps = link_kbps or _untold
        self._runs = runs or LocalConcurrency()
        self._service_s = 0.0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._queue_wait_s = 0.0
        self._leaving = False
        self._drained = anyio.Event()

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused, by this node or by the server."""
        return self._leaving or self._server.draining

    @property
    def queue_wait_s(self) -> float:
        """How long attempts waited for a slot, in all (s)."""
        return self._queue_wait_s

    def refuse_new_work(self) -> None:
        """Refuses new work from now on; what runs goes on."""
        self._leaving = True

    async def wait_drained(self) -> None:
        """Returns once nothing runs or waits here.

        A probe gives its slot back without telling us, so it looks again.
        """
        while not self._idle():
            self._drained = anyio.Event()
            with anyio.move_on_after(_LOOK_AGAIN_S):
                await self._drained.wait()

    def load_report(self) -> LoadReport:
        """Returns the load as of now.

        A server that fails is told as cold, whatever its health says.
        """
        warm = self._server.warm_fraction(self._clock.monotonic())
        pace = self._pace()
        return LoadReport(
            slots=self._admission.slots,
            in_flight=self._admission.in_flight,
            queued=self._admission.queued,
            service_ms=round(self._service_s * 1000, 3),
            leaving=self.is_leaving or self._server.is_domain_evacuated,
            warm_fraction=round(warm * self._watch.fitness(), 3),
            pace=round(pace.factor, 2),
            base_pace=round(pace.base_factor, 2),
            pace_interval_ms=round(pace.interval_s * 1000, 1),
            pace_interval_left_ms=round(pace.interval_left_s * 1000, 1),
            warmup_requests_left=self._gate.remaining(),
            link_free_kbps=self._link_kbps(),
        )

    def outcome_counts(self) -> dict[str, float]:
        """Returns how many attempts ended how, by code for those refused."""
        return dict(self._outcomes)

    async def run(self, call: Call) -> AttemptResult:
        """Runs `call` on the server beside."""
        run = _Run()
        outcome = await self._run(call, run)
        self._outcomes[_kind(outcome)] += 1
        load = msgspec.structs.replace(
            self.load_report(), normal_run_ms=round(run.work_s * 1000, 1)
        )
        return AttemptResult(outcome, load)

    def start_deferred(self) -> None:
        """Starts what was held back and may begin now."""
        self._admission.expire(self._clock.monotonic())

    async def _run(self, call: Call, run: "_Run") -> Outcome:
        refused = self._refusal(call)
        if refused is not None:
            return refused
        now = self._clock.monotonic()
        alone = self._watch.must_run_alone(call)
        ticket = Ticket(
            call.caller,
            call.deadline,
            now,
            _nobody_waits,
            alone,
            call.aim,
            call.priority,
            call.normal_run_s,
            call.group_rank,
            *self._expected_run(call),
            nested=call.depth > 0,
        )
        self._admission.offer(ticket, now)
        try:
            if not ticket.admitted and ticket.refused is None:
                await self._wait(ticket)
                self._queue_wait_s += self._clock.monotonic() - now
        except BaseException:
            self._release(ticket, 0.0)
            raise
        if ticket.refused is not None:
            return ticket.refused
        return await self._admitted(call, ticket, run)

    def _refusal(self, call: Call) -> NotRun | None:
        if self._leaving:
            return NotRun(
                ResultCode.LEAVING, "The target is leaving.", _LEAVING_RETRY_S
            )
        if self._too_late(call):
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline had passed."
            )
        return (
            self._server.refusal()
            or self._gate.refusal(call, self._admission.queued)
            or self._watch.refusal(call)
        )

    async def _wait(self, ticket: Ticket) -> None:
        ready = anyio.Event()
        ticket.notify = ready.set
        while not ready.is_set():
            with anyio.move_on_after(_LOOK_AGAIN_S):
                await ready.wait()
            if not ready.is_set():
                self._admission.expire(self._clock.monotonic())

    async def _admitted(
        self, call: Call, ticket: Ticket, run: "_Run"
    ) -> Outcome:
        """Runs `call` in the slot of `ticket` and gives the slot back."""
        began = self._clock.monotonic()
        outcome: Outcome | None = None
        factor = self._pace().factor
        begun_with = self._admission.in_flight
        self._runs.run_started(began, is_retry=call.is_retry)

        def ended() -> None:
            self._runs.run_ended(
                self._clock.monotonic(), is_retry=call.is_retry
            )
            if _ran_well(outcome):
                took_s = self._clock.monotonic() - began
                run.work_s = took_s / factor
                self._ran(Run(begun_with, call.normal_run_s * factor, took_s))
            self._learn_run(call, outcome, began)
            self._ended(ticket, outcome, began)

        try:
            outcome = await self._send(call, ticket)
        except BaseException:
            ended()
            raise
        if isinstance(outcome, Done) and _still_comes(outcome.response.body):
            return Done(
                self._exchange.wrap_stream(
                    call, outcome.response, ticket.alone, ended
                )
            )
        ended()
        return outcome

    async def _send(self, call: Call, ticket: Ticket) -> Outcome:
        refused = self._server.refusal()
        if refused is not None:
            return refused
        view = self._server.view
        assert view is not None, "a server unknown is refused above"
        if self._too_late(call):
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline passed in the queue."
            )
        refused = self._gate.try_send(call)
        if refused is not None:
            return refused
        return await self._exchange.send(call, view, ticket.alone)

    def _expected_run(self, call: Call) -> RunTimeEstimate:
        if self._run_times is None:
            return UNKNOWN_RUN_TIME
        return self._run_times.estimate(call.route)

    def _learn_run(
        self, call: Call, outcome: Outcome | None, began: float
    ) -> None:
        """Learns from a run that went well, and from one that was cut."""
        cut = outcome is None or (
            isinstance(outcome, Unknown)
            and outcome.code is ResultCode.EXCHANGE_TIMEOUT
        )
        if self._run_times is not None and (cut or _ran_well(outcome)):
            run_s = self._clock.monotonic() - began
            self._run_times.record_run(call.route, run_s)

    def _too_late(self, call: Call) -> bool:
        """Returns whether the time here or the wall clock is past the call's.

        The wall clock counts too, since monotonic time stands still while
        some machines are paused.
        """
        if self._clock.monotonic() >= call.deadline:
            return True
        return self._clock.wall_ms() >= call.expires_ms

    def _ended(
        self, ticket: Ticket, outcome: Outcome | None, began: float
    ) -> None:
        """Gives the slot back; what did not run costs no service time."""
        now = self._clock.monotonic()
        elapsed_s = now - began
        if isinstance(outcome, NotRun):
            elapsed_s = 0.0
            if outcome.code is ResultCode.SERVER_SHED:
                self._admission.shed(now)
        if _ran_well(outcome):
            step = _SMOOTHING if self._service_s else 1.0
            self._service_s += step * (elapsed_s - self._service_s)
        self._release(ticket, elapsed_s)

    def _release(self, ticket: Ticket, service_s: float) -> None:
        self._admission.release(ticket, self._clock.monotonic(), service_s)
        if self._idle():
            self._drained.set()

    def _idle(self) -> bool:
        return not self._admission.in_flight and not self._admission.queued


class _Run(msgspec.Struct):
    """What one attempt learned of its run.

    Attributes:
      work_s: its run time at the usual pace (s); 0 if it did not run well.
    """

    work_s: float = 0.0


def _still_comes(body: Body) -> bool:
    return isinstance(body, BodyStream) and not body.is_whole


def _ran_well(outcome: Outcome | None) -> bool:
    if not isinstance(outcome, Done):
        return False
    return not is_server_error(outcome.response.status)


def _usual_pace() -> Pace:
    return Pace()


def _ignored(run: Run) -> None:
    """Takes a run where nobody learns from it."""


def _untold() -> int:
    return 0


def _nobody_waits() -> None:
    """Takes the news of a ticket that is admitted or refused at once."""


def _kind(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return "done"
    return outcome.code.name.lower().replace("_", "-")
