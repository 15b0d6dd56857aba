"""Admits an attempt, runs it on the backend server, and reports its outcome."""

import collections
from collections.abc import Callable

import anyio
import msgspec

from radishwind.admission.admission import Admission
from radishwind.admission.admission import Ticket
from radishwind.admission.concurrency_estimator import CompletedRun
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.nested_routes import LocalConcurrency
from radishwind.entry.pipeline import AttemptResult
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import Body
from radishwind.http.types import BodyStream
from radishwind.http.types import is_dropped
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.routing.chooser import LoadReport
from radishwind.supervision import notify
from radishwind.target.backend_server import BackendServer
from radishwind.target.exchange_base import Exchange
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.pace import Pace
from radishwind.target.run_time_estimator import RunTimeEstimate
from radishwind.target.run_time_estimator import RunTimeEstimator
from radishwind.target.run_time_estimator import UNKNOWN_RUN_TIME
from radishwind.target.send_limiter import NoSendLimiter
from radishwind.target.send_limiter import SendLimiter
from radishwind.target.server_exchange import ServerExchange

#: Name of the records of runs in the log and in the metrics.
_RECORDS = "target.runs"

#: Weight of the newest run in the mean service time.
_SMOOTHING = 0.1

#: Retry-After of a request that a leaving target refused (s).
_LEAVING_RETRY_AFTER_S = 1.0

#: Retry-After of a request whose body was dropped while it waited (s).
_OUT_OF_MEMORY_RETRY_AFTER_S = 1.0

#: Interval at which a waiting request checks its deadline, and a planned stop
#: whether the target is idle (s).
_RECHECK_INTERVAL_S = 0.1


class TargetPipeline:
    """Runs attempts on one server; the authority on its slots and its draining.

    Args:
      clock: the clock.
      admission: grants the slots of the server.
      sender: sends to the server.
      server: the backend server of this node.
      recorder: records the outcome of each exchange.
      exchange: sends calls to the server; by default a `ServerExchange`.
      pace: returns the current pace of the server.
      on_run: called with each successful run.
      send_limiter: limits what the server is sent; by default unlimited.
      run_times: learns run times, so that no run is started that would not end
        in time; by default twice the work of a run must be left.
      link_free_kbps: returns the free capacity of the node's link (kbit/s); by
        default it is not reported.
      concurrency: counts the requests running on the server.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        sender: Sender,
        server: BackendServer,
        recorder: ExchangeRecorder,
        exchange: Exchange | None = None,
        pace: Callable[[], Pace] | None = None,
        on_run: Callable[[CompletedRun], None] | None = None,
        send_limiter: SendLimiter | None = None,
        run_times: RunTimeEstimator | None = None,
        link_free_kbps: Callable[[], int] | None = None,
        concurrency: LocalConcurrency | None = None,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._server = server
        self._recorder = recorder
        self._exchange = exchange or ServerExchange(clock, sender, recorder)
        self._pace = pace or _normal_pace
        self._on_run = on_run or _ignore_run
        self._send_limiter = send_limiter or NoSendLimiter()
        self._run_times = run_times
        self._link_free_kbps = link_free_kbps or _unknown_link_capacity
        self._concurrency = concurrency or LocalConcurrency()
        self._service_s = 0.0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._queue_wait_s = 0.0
        self._refuses_new_work = False
        self._drained = anyio.Event()

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused, by this node or by the server."""
        return self._refuses_new_work or self._server.is_draining

    @property
    def queue_wait_s(self) -> float:
        """Total time that attempts waited for a slot (s)."""
        return self._queue_wait_s

    def refuse_new_work(self) -> None:
        """Refuses new work from now on; running requests continue."""
        self._refuses_new_work = True

    def refuse_queued(self) -> None:
        """Refuses the requests that wait for a slot; they have not run."""
        self._admission.refuse_all(_leaving_refusal())

    async def wait_drained(self) -> None:
        """Returns once no request runs or waits here.

        A probe releases its slot without notifying the pipeline, so the state
        is also polled.
        """
        while not self._is_idle():
            self._drained = anyio.Event()
            with anyio.move_on_after(_RECHECK_INTERVAL_S):
                await self._drained.wait()

    def load_report(self) -> LoadReport:
        """Returns the load as of now.

        A failing server is reported as cold, whatever its health checks say.
        """
        warm_fraction = self._server.warm_fraction(self._clock.monotonic())
        pace = self._pace()
        limit_per_s = self._send_limiter.stated_per_s
        limit_wait_ms = 0.0
        if limit_per_s is not None:
            limit_wait_ms = round(self._send_limiter.wait_s() * 1000, 1)
        return LoadReport(
            slots=self._admission.slots,
            in_flight=self._admission.in_flight,
            queued=self._admission.queued,
            service_ms=round(self._service_s * 1000, 3),
            leaving=self.is_leaving or self._server.is_domain_evacuated,
            warm_fraction=round(
                warm_fraction * self._recorder.health_score(), 3
            ),
            pace=round(pace.factor, 2),
            base_pace=round(pace.base_factor, 2),
            pace_interval_ms=round(pace.interval_s * 1000, 1),
            pace_interval_left_ms=round(pace.interval_left_s * 1000, 1),
            requests_left=self._send_limiter.remaining(),
            link_free_kbps=self._link_free_kbps(),
            limit_per_s=limit_per_s,
            limit_wait_ms=limit_wait_ms,
        )

    def outcome_counts(self) -> dict[str, float]:
        """Returns the attempts by outcome: `done` or the result code."""
        return dict(self._outcomes)

    async def run(self, call: Call) -> AttemptResult:
        """Runs `call` on the backend server."""
        run = _RunRecord()
        outcome = await self._run(call, run)
        try:
            self._outcomes[_outcome_label(outcome)] += 1
            load = msgspec.structs.replace(
                self.load_report(),
                normal_run_ms=round(run.normal_run_s * 1000, 1),
            )
        except BaseException:
            # Nobody will read the body, which holds the slot until its end.
            if isinstance(outcome, Done):
                abort_body(outcome.response.body)
            raise
        return AttemptResult(outcome, load)

    def start_deferred(self) -> None:
        """Starts deferred requests that may start now."""
        self._admission.expire(self._clock.monotonic())

    async def _run(self, call: Call, run: "_RunRecord") -> Outcome:
        refusal = self._refusal(call)
        if refusal is not None:
            return refusal
        now = self._clock.monotonic()
        is_alone = self._recorder.must_run_alone(call)
        ticket = Ticket(
            call.caller,
            call.deadline,
            now,
            _no_waiter,
            is_alone,
            call.aim,
            call.priority,
            call.normal_run_s,
            call.group_rank,
            *self._estimate_run_time(call),
            is_nested=call.depth > 0,
        )
        self._admission.offer(ticket, now)
        try:
            if not ticket.is_admitted and ticket.refusal is None:
                await self._wait(ticket, call)
                self._queue_wait_s += self._clock.monotonic() - now
        except BaseException:
            self._release(ticket, 0.0)
            raise
        if ticket.refusal is not None:
            return ticket.refusal
        if is_dropped(call.request.body):
            self._release(ticket, 0.0)
            return NotRun(
                ResultCode.OVERLOADED,
                "The node needed the memory of the waiting request.",
                _OUT_OF_MEMORY_RETRY_AFTER_S,
            )
        return await self._run_admitted(call, ticket, run)

    def _refusal(self, call: Call) -> NotRun | None:
        if self._refuses_new_work:
            return _leaving_refusal()
        if self._is_past_deadline(call):
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline had passed."
            )
        return (
            self._server.refusal()
            or self._send_limiter.refusal(call, self._admission.queued)
            or self._recorder.refusal(call)
        )

    async def _wait(self, ticket: Ticket, call: Call) -> None:
        """Waits for a decision, or until the body of the call is dropped."""
        decided = anyio.Event()
        ticket.on_decided = decided.set
        while not decided.is_set():
            with anyio.move_on_after(_RECHECK_INTERVAL_S):
                await decided.wait()
            if is_dropped(call.request.body):
                return
            if not decided.is_set():
                self._admission.expire(self._clock.monotonic())

    async def _run_admitted(
        self, call: Call, ticket: Ticket, run: "_RunRecord"
    ) -> Outcome:
        """Runs `call` in the slot of `ticket` and releases the slot."""
        began = self._clock.monotonic()
        outcome: Outcome | None = None
        factor = 1.0
        in_flight_at_start = self._admission.in_flight
        is_counted = False

        def ended() -> None:
            # The slot is released whatever the records of the run say to it.
            if is_counted:
                notify(
                    _RECORDS,
                    self._concurrency.run_ended,
                    self._clock.monotonic(),
                    is_retry=call.is_retry,
                )
            if _is_success(outcome):
                took_s = self._clock.monotonic() - began
                run.normal_run_s = took_s / factor
                completed = CompletedRun(
                    in_flight_at_start, call.normal_run_s * factor, took_s
                )
                notify(_RECORDS, self._on_run, completed)
            notify(_RECORDS, self._record_run_time, call, outcome, began)
            self._finish(ticket, outcome, began)

        try:
            factor = self._pace().factor
            is_counted = notify(
                _RECORDS,
                self._concurrency.run_started,
                began,
                is_retry=call.is_retry,
            )
            outcome = await self._send(call, ticket)
        except BaseException:
            ended()
            raise
        if isinstance(outcome, Done) and _is_streaming(outcome.response.body):
            return Done(
                self._exchange.wrap_stream(
                    call, outcome.response, ticket.must_run_alone, ended
                )
            )
        ended()
        return outcome

    async def _send(self, call: Call, ticket: Ticket) -> Outcome:
        refusal = self._server.refusal()
        if refusal is not None:
            return refusal
        view = self._server.view
        assert view is not None, "an unknown server is refused above"
        if self._is_past_deadline(call):
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline passed in the queue."
            )
        refusal = self._send_limiter.try_send(call)
        if refusal is not None:
            return refusal
        return await self._exchange.send(call, view, ticket.must_run_alone)

    def _estimate_run_time(self, call: Call) -> RunTimeEstimate:
        if self._run_times is None:
            return UNKNOWN_RUN_TIME
        return self._run_times.estimate(call.route)

    def _record_run_time(
        self, call: Call, outcome: Outcome | None, began: float
    ) -> None:
        """Records the duration of a successful, timed out or cancelled run."""
        was_cut_short = outcome is None or (
            isinstance(outcome, Unknown)
            and outcome.code is ResultCode.EXCHANGE_TIMEOUT
        )
        if self._run_times is not None and (
            was_cut_short or _is_success(outcome)
        ):
            run_s = self._clock.monotonic() - began
            self._run_times.record_run(call.route, run_s)

    def _is_past_deadline(self, call: Call) -> bool:
        """Returns whether the deadline passed by monotonic or wall-clock time.

        The wall clock is checked too, since monotonic time stops while some
        machines are paused.
        """
        if self._clock.monotonic() >= call.deadline:
            return True
        return self._clock.wall_ms() >= call.expires_ms

    def _finish(
        self, ticket: Ticket, outcome: Outcome | None, began: float
    ) -> None:
        """Releases the slot; a request that did not run took no service."""
        now = self._clock.monotonic()
        elapsed_s = now - began
        if isinstance(outcome, NotRun):
            elapsed_s = 0.0
            if outcome.code is ResultCode.SERVER_SHED:
                self._admission.record_shed(now)
        if _is_success(outcome):
            weight = _SMOOTHING if self._service_s else 1.0
            self._service_s += weight * (elapsed_s - self._service_s)
        self._release(ticket, elapsed_s)

    def _release(self, ticket: Ticket, service_s: float) -> None:
        self._admission.release(ticket, self._clock.monotonic(), service_s)
        if self._is_idle():
            self._drained.set()

    def _is_idle(self) -> bool:
        return not self._admission.in_flight and not self._admission.queued


class _RunRecord(msgspec.Struct):
    """What was measured of the run of one attempt.

    Attributes:
      normal_run_s: its run time at the normal pace (s); 0 if it did not
        succeed.
    """

    normal_run_s: float = 0.0


def _leaving_refusal() -> NotRun:
    return NotRun(
        ResultCode.LEAVING, "The target is leaving.", _LEAVING_RETRY_AFTER_S
    )


def _is_streaming(body: Body) -> bool:
    return isinstance(body, BodyStream) and not body.is_fully_buffered


def _is_success(outcome: Outcome | None) -> bool:
    if not isinstance(outcome, Done):
        return False
    return not is_server_error(outcome.response.status)


def _normal_pace() -> Pace:
    return Pace()


def _ignore_run(run: CompletedRun) -> None:
    """The default for `on_run`."""


def _unknown_link_capacity() -> int:
    return 0


def _no_waiter() -> None:
    """The `notify` of a ticket that nothing waits for yet."""


def _outcome_label(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return "done"
    return outcome.code.name.lower().replace("_", "-")
