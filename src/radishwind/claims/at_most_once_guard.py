"""Guard that runs calls with an idempotency key at most once."""

import dataclasses

import anyio
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
from radishwind.supervision import Duty
from radishwind.supervision import TaskPool

#: Retry delay while the node starts or an earlier request with the key runs.
_RETRY_AFTER_S = 1.0

#: Outcome of a call that was not run but whose claim has expired meanwhile. It
#: is not `NotRun`, since a later request with the same key may have run at
#: another node while this node was paused.
_CLAIM_EXPIRED = Unknown(
    ResultCode.CLAIM_UNKNOWN,
    "This request was not run, and its claim has expired meanwhile.",
)


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A keyed call, which is completed even if its caller disconnects.

    Attributes:
      call: the call; its body is in memory once it was read.
      execute: executes the call.
      completed: set once `outcome` or `error` is.
      outcome: the outcome for the caller.
      error: an unexpected exception.
      is_abandoned: whether the caller has disconnected.
    """

    call: Call
    execute: Execute
    completed: anyio.Event
    outcome: Outcome | None = None
    error: Exception | None = None
    is_abandoned: bool = False


class AtMostOnceGuard(ClaimGuard):
    """Claims a key before the first attempt of its call; answers duplicates.

    Only calls that have an idempotency key and are not idempotent are claimed;
    they are called keyed calls here.

    Args:
      clock: the clock.
      registry: the claims in the store.
      cache: the claims known to this node.
      max_response_bytes: maximum size of a response that is recorded.
      max_body_bytes: maximum size of the body of a keyed call.
      duplicate_wait_s: how long a duplicate waits for an earlier call with
        the same key to complete at this node (s).
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
        self._jobs = TaskPool("claims.calls")
        self._running_count = 0
        self._idle = anyio.Event()

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties: to run the keyed calls, and the registry.

        Keyed calls are refused while the first does not run.
        """
        return (self._jobs.duty, *self._registry.duties())

    @property
    def running_count(self) -> int:
        """Number of keyed calls in progress."""
        return self._running_count

    async def wait_idle(self) -> None:
        """Waits until no keyed call is in progress."""
        while self._running_count:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def run(self, call: Call, execute: Execute) -> Outcome:
        if call.key is None or call.idempotent:
            return await execute(call)
        if not self._jobs.is_running:
            return NotRun(
                ResultCode.CLAIM_UNAVAILABLE,
                "The node is starting.",
                _RETRY_AFTER_S,
            )
        job = _Job(call, execute, anyio.Event())
        self._jobs.start_soon(self._run_job, job)
        try:
            await job.completed.wait()
        except BaseException:
            job.is_abandoned = True
            raise
        if job.error is not None:
            raise job.error
        assert job.outcome is not None
        return job.outcome

    async def _run_job(self, job: _Job) -> None:
        self._running_count += 1
        try:
            job.outcome = await self._run_buffered(job)
        except Exception as exc:
            job.error = exc
        except BaseException:
            job.outcome = Unknown(
                ResultCode.EXCHANGE_BROKEN,
                "The node was stopped while the call was running.",
            )
            raise
        finally:
            self._running_count -= 1
            job.completed.set()
            if not self._running_count:
                self._idle.set()
        if job.is_abandoned and isinstance(job.outcome, Done):
            abort_body(job.outcome.response.body)

    async def _run_buffered(self, job: _Job) -> Outcome:
        """Buffers the body of the request, then runs the call."""
        left_s = job.call.deadline - self._clock.monotonic()
        buffered = await buffer_request_body(
            job.call, self._max_body_bytes, left_s
        )
        if not isinstance(buffered, Call):
            return buffered
        job.call = buffered
        return await self._run_exclusively(job)

    async def _run_exclusively(self, job: _Job) -> Outcome:
        """Runs the call while no other call with its key runs at this node."""
        request = KeyedRequest.from_call(job.call)
        identity = request.identity
        if not await self._wait_for_turn(identity, job.call):
            return Unknown(
                ResultCode.CLAIM_RUNNING,
                "An earlier request with this key is still running.",
                _RETRY_AFTER_S,
            )
        record = self._cache.get(request, self._clock.monotonic())
        if record is not None:
            wall_ms = self._clock.wall_ms()
            return duplicate_outcome(record, request, wall_ms)
        completed = self._running[identity] = anyio.Event()
        try:
            return await self._run_claimed(job, request)
        finally:
            del self._running[identity]
            completed.set()

    async def _wait_for_turn(
        self, identity: tuple[str, str], call: Call
    ) -> bool:
        """Waits until no call with the key runs at this node.

        Returns:
          Whether that was so before the deadline of `call` and within
          `duplicate_wait_s`.
        """
        left_s = call.deadline - self._clock.monotonic()
        with anyio.move_on_after(max(0.0, min(left_s, self._duplicate_wait_s))):
            while identity in self._running:
                await self._running[identity].wait()
            return True
        return False

    async def _run_claimed(self, job: _Job, request: KeyedRequest) -> Outcome:
        """Claims the key, runs the call and records its result."""
        started_at = self._clock.monotonic()
        claim = await self._registry.claim(job.call, request)
        if not isinstance(claim, OwnedClaim):
            return claim
        # From here on the call may run, even if this task is cancelled. Until
        # there is a response, duplicates get the outcome "unknown".
        unknown = msgspec.structs.replace(claim.record, expires_ms=0)
        self._cache_record(request, claim, unknown)
        outcome = await job.execute(job.call)
        if isinstance(outcome, NotRun):
            self._cache.remove(request)
            self._registry.release(claim)
            if self._clock.monotonic() >= started_at + claim.ttl_s:
                return _CLAIM_EXPIRED
            return outcome
        if isinstance(outcome, Done):
            return await self._record_response(
                job.call, request, claim, outcome
            )
        return outcome

    async def _record_response(
        self, call: Call, request: KeyedRequest, claim: OwnedClaim, done: Done
    ) -> Outcome:
        left_s = call.deadline - self._clock.monotonic()
        try:
            with anyio.fail_after(max(0.0, left_s)):
                captured = await capture_response(
                    done.response, self._max_response_bytes
                )
        except ExchangeBrokenError:
            return Unknown(
                ResultCode.EXCHANGE_BROKEN,
                "The server's response was incomplete.",
            )
        except TimeoutError:
            abort_body(done.response.body)
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server's response was not complete by the deadline.",
            )
        record = msgspec.structs.replace(
            claim.record, state=ClaimState.DONE, answer=captured.recorded
        )
        self._cache_record(request, claim, record)
        self._registry.record_response(claim, record)
        return Done(captured.response)

    def _cache_record(
        self, request: KeyedRequest, claim: OwnedClaim, record: ClaimRecord
    ) -> None:
        expires_at = self._clock.monotonic() + claim.ttl_s
        self._cache.put(request, record, expires_at)
