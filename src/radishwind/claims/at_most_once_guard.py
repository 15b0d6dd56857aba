"""The guard that runs a keyed call at most once, by claims in the store."""

import dataclasses

import anyio
import anyio.abc
import msgspec

from radishwind.claims.claim_cache import ClaimCache
from radishwind.claims.claim_guard import ClaimGuard
from radishwind.claims.claim_guard import Execute
from radishwind.claims.claim_record import ClaimRecord
from radishwind.claims.claim_record import ClaimState
from radishwind.claims.claim_record import KeyedRequest
from radishwind.claims.claim_registry import ClaimRegistry
from radishwind.claims.claim_registry import OwnedClaim
from radishwind.claims.duplicates import duplicate_outcome
from radishwind.claims.request_body import buffer_request_body
from radishwind.claims.response_capture import capture_response
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.types import abort_body
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown

#: When to come back while the node starts or the first sending runs (s).
_RETRY_S = 1.0

#: A later sending may have run while this node was paused.
_LAPSED = Unknown(
    ResultCode.CLAIM_UNKNOWN,
    "This sending was not run, and its claim has lapsed meanwhile.",
)


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A keyed call that runs to its end whether or not its caller waits.

    Attributes:
      call: the call; with its whole body once that was read.
      execute: runs its attempts.
      finished: set once `outcome` or `error` is.
      outcome: what the caller is told.
      error: a fault of the node.
      abandoned: whether the caller has gone away.
    """

    call: Call
    execute: Execute
    finished: anyio.Event
    outcome: Outcome | None = None
    error: Exception | None = None
    abandoned: bool = False


class AtMostOnceGuard(ClaimGuard):
    """Claims a key before its call's first attempt; answers repeats.

    Args:
      clock: the clock.
      registry: the claims in the store.
      memory: what this node remembers of them.
      answer_bytes: the most of an answer that is recorded (bytes).
      body_bytes: the largest body of a keyed request (bytes).
      repeat_wait_s: how long a repeat waits here for the first to end (s).
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: ClaimRegistry,
        cache: ClaimCache,
        max_response_bytes: int,
        max_body_bytes: int,
        duplicate_wait_s: float,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._cache = cache
        self._max_response_bytes = max_response_bytes
        self._max_body_bytes = max_body_bytes
        self._duplicate_wait_s = duplicate_wait_s
        self._running: dict[tuple[str, str], anyio.Event] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._jobs = 0
        self._idle = anyio.Event()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Takes the group that keyed calls run in."""
        self._tasks = tasks
        tasks.start_soon(self._registry.run)

    @property
    def running_count(self) -> int:
        """How many keyed calls are in progress."""
        return self._jobs

    async def wait_idle(self) -> None:
        """Returns once no keyed call is in progress."""
        while self._jobs:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def run(self, call: Call, execute: Execute) -> Outcome:
        if call.key is None or call.idempotent:
            return await execute(call)
        if self._tasks is None:
            return NotRun(
                ResultCode.CLAIM_UNAVAILABLE,
                "The node is starting.",
                _RETRY_S,
            )
        job = _Job(call, execute, anyio.Event())
        self._tasks.start_soon(self._work, job)
        try:
            await job.finished.wait()
        except BaseException:
            job.abandoned = True
            raise
        if job.error is not None:
            raise job.error
        assert job.outcome is not None
        return job.outcome

    async def _work(self, job: _Job) -> None:
        self._jobs += 1
        try:
            job.outcome = await self._whole(job)
        except Exception as exc:
            job.error = exc
        except BaseException:
            job.outcome = Unknown(
                ResultCode.EXCHANGE_BROKEN, "The node was stopped meanwhile."
            )
            raise
        finally:
            self._jobs -= 1
            job.finished.set()
            if not self._jobs:
                self._idle.set()
        if job.abandoned and isinstance(job.outcome, Done):
            abort_body(job.outcome.response.body)

    async def _whole(self, job: _Job) -> Outcome:
        left_s = job.call.deadline - self._clock.monotonic()
        whole = await buffer_request_body(
            job.call, self._max_body_bytes, left_s
        )
        if not isinstance(whole, Call):
            return whole
        job.call = whole
        return await self._one_at_a_time(job)

    async def _one_at_a_time(self, job: _Job) -> Outcome:
        """Lets one sending of a key at a time pass in this node."""
        sending = KeyedRequest.from_call(job.call)
        identity = sending.identity
        if not await self._wait_for_turn(identity, job.call):
            return Unknown(
                ResultCode.CLAIM_RUNNING,
                "An earlier sending with this key still runs.",
                _RETRY_S,
            )
        known = self._cache.get(sending, self._clock.monotonic())
        if known is not None:
            wall_ms = self._clock.wall_ms()
            return duplicate_outcome(known, sending, wall_ms)
        turn = self._running[identity] = anyio.Event()
        try:
            return await self._claimed(job, sending)
        finally:
            del self._running[identity]
            turn.set()

    async def _wait_for_turn(
        self, identity: tuple[str, str], call: Call
    ) -> bool:
        """Returns whether no sending of the key runs here any more."""
        left_s = call.deadline - self._clock.monotonic()
        with anyio.move_on_after(max(0.0, min(left_s, self._duplicate_wait_s))):
            while identity in self._running:
                await self._running[identity].wait()
            return True
        return False

    async def _claimed(self, job: _Job, sending: KeyedRequest) -> Outcome:
        asked = self._clock.monotonic()
        claim = await self._registry.claim(job.call, sending)
        if not isinstance(claim, OwnedClaim):
            return claim
        # From here on it may run, whatever becomes of this task.
        ended = msgspec.structs.replace(claim.record, expires_ms=0)
        self._remember(sending, claim, ended)
        outcome = await job.execute(job.call)
        if isinstance(outcome, NotRun):
            self._cache.remove(sending)
            self._registry.release(claim)
            if self._clock.monotonic() >= asked + claim.ttl_s:
                return _LAPSED
            return outcome
        if isinstance(outcome, Done):
            return await self._record(job.call, sending, claim, outcome)
        return outcome

    async def _record(
        self, call: Call, sending: KeyedRequest, claim: OwnedClaim, done: Done
    ) -> Outcome:
        left_s = call.deadline - self._clock.monotonic()
        try:
            with anyio.fail_after(max(0.0, left_s)):
                captured = await capture_response(
                    done.response, self._max_response_bytes
                )
        except ExchangeBrokenError:
            return Unknown(
                ResultCode.EXCHANGE_BROKEN, "The server's answer broke off."
            )
        except TimeoutError:
            abort_body(done.response.body)
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server's answer did not end in time.",
            )
        record = msgspec.structs.replace(
            claim.record, state=ClaimState.DONE, answer=captured.recorded
        )
        self._remember(sending, claim, record)
        self._registry.record_response(claim, record)
        return Done(captured.response)

    def _remember(
        self, sending: KeyedRequest, claim: OwnedClaim, record: ClaimRecord
    ) -> None:
        until = self._clock.monotonic() + claim.ttl_s
        self._cache.put(sending, record, until)
