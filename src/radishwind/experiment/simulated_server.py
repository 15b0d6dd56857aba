"""Simulated backend server: slots, queue, slowdown near capacity, warm-up."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random

import anyio

from radishwind.core.clock import Clock
from radishwind.experiment.scenario import COLD_BURST_REQUESTS
from radishwind.experiment.scenario import COLD_RATE_FACTOR
from radishwind.experiment.scenario import Noise
from radishwind.experiment.scenario import NoiseLaw
from radishwind.experiment.scenario import RequestKind
from radishwind.experiment.scenario import ServiceModel
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.simulated_endpoints import build_health_response
from radishwind.platform.simulated_endpoints import build_refusal
from radishwind.platform.simulated_endpoints import build_simulated_response
from radishwind.platform.simulated_endpoints import decode_simulated_request
from radishwind.platform.simulated_endpoints import NO_NOTICES
from radishwind.platform.simulated_endpoints import SimulatedNotices
from radishwind.standins.limit_meter import LimitMeter
from radishwind.target.dialect import ServerLoad

HEALTH_PATH = "/health"

#: Window in which the requests to a cold server are counted (s).
_COLD_WINDOW_S = 1.0

#: Time for which a server that states that it is leaving may get requests (s).
DRAIN_S = 2.0

#: Sends a nested request of a kind with a time left (s); returns whether it
#: succeeded.
MakeCall = Callable[[str, float], Awaitable[bool]]


class PaceModel:
    """Pace of an instance: factor on run times that varies with time."""

    def __init__(self, noise: Noise, rng: random.Random) -> None:
        self._noise = noise
        self._rng = rng
        self._next_change = rng.random() * noise.every_s
        self._factor = 1.0

    def factor_at(self, now: float) -> float:
        """Returns the factor on run times at `now` (s, monotonic)."""
        noise = self._noise
        if noise.law is NoiseLaw.NONE:
            return 1.0
        while now >= self._next_change:
            is_slow = self._rng.random() < noise.share
            self._factor = noise.x if is_slow else 1.0
            self._next_change += self._draw_duration_s()
        return self._factor

    def time_to_change_s(self, now: float) -> float:
        """Returns the time to the next change of the pace (s)."""
        if self._noise.law is NoiseLaw.NONE:
            return math.inf
        self.factor_at(now)
        return self._next_change - now

    def _draw_duration_s(self) -> float:
        if self._noise.law is NoiseLaw.GRID:
            return self._noise.every_s
        return self._rng.expovariate(1 / self._noise.every_s)


class SimulatedServer:
    """One process of a backend server.

    Attributes:
      started_runs: number of requests that started to run.
      hidden_slowdown: factor on run times that its load does not show.
      limit_meter: the request limit that it states, and how it is kept.
      is_leaving: whether it states that it is leaving.
      late_arrivals: requests that arrived later than `DRAIN_S` after a response
        stated that.
      has_notices_in_health_responses: whether its health responses state the
        limit and the leave too.
      on_cold_crash: called when it is overloaded while cold.
    """

    def __init__(
        self,
        model: ServiceModel,
        kinds: dict[str, RequestKind],
        rng: random.Random,
        clock: Clock,
        make_call: MakeCall,
        name: str,
    ) -> None:
        self.name = name
        self.started_runs = 0
        self.hidden_slowdown = 1.0
        self.limit_meter = LimitMeter()
        self.is_leaving = False
        self.late_arrivals = 0
        self._leave_stated_at = math.inf
        self.has_notices_in_health_responses = True
        self.on_cold_crash: Callable[[], None] = _ignore_crash
        self._arrivals: collections.deque[float] = collections.deque()
        self._model = model
        self._kinds = kinds
        self._rng = rng
        self._clock = clock
        self._make_call = make_call
        self._pace = PaceModel(model.noise, rng)
        self._slots = asyncio.Semaphore(model.slots)
        self._running = 0
        self._waiting = 0
        self._warmup_start = clock.monotonic()

    def warmup_left_s(self) -> float:
        """Returns the time left of the warm-up (s)."""
        age_s = self._clock.monotonic() - self._warmup_start
        return max(0.0, self._model.cold_s - age_s)

    def restart_warmup(self) -> None:
        """Becomes cold again, as after a start."""
        self._warmup_start = self._clock.monotonic()

    async def handle(self, request: Request) -> Response:
        """Handles a request or a health check."""
        if request.path == HEALTH_PATH:
            return build_health_response(
                self.name,
                self._load(),
                self.warmup_left_s(),
                self._notices(in_health_response=True),
            )
        now = self._clock.monotonic()
        self.limit_meter.record_arrival(now)
        self.late_arrivals += now > self._leave_stated_at + DRAIN_S
        self._check_cold_overload()
        if self._waiting >= self._model.queue:
            return build_refusal(self._load(), self._notices())
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._run(request)
        finally:
            self._running -= 1
            self._slots.release()

    async def _run(self, request: Request) -> Response:
        self.started_runs += 1
        kind = self._kinds[request.path.split("/")[1]]
        simulated = decode_simulated_request(request)
        left_s = simulated.timeout_s
        succeeded = False
        with anyio.move_on_after(left_s) as limit:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._work, kind)
                succeeded = await self._call(kind, left_s)
        status = 504 if limit.cancelled_caught else 200 if succeeded else 500
        return build_simulated_response(
            simulated, status, self.name, self._load(), self._notices()
        )

    def _notices(self, *, in_health_response: bool = False) -> SimulatedNotices:
        if in_health_response and not self.has_notices_in_health_responses:
            return NO_NOTICES
        self.limit_meter.record_statement()
        if self.is_leaving:
            now = self._clock.monotonic()
            self._leave_stated_at = min(self._leave_stated_at, now)
        return SimulatedNotices(self.limit_meter.per_s, self.is_leaving)

    async def _call(self, kind: RequestKind, left_s: float) -> bool:
        if kind.calls is None or self._rng.random() >= kind.calls_share:
            return True
        calls = [
            self._make_call(kind.calls, left_s) for _ in range(kind.calls_times)
        ]
        return all(await asyncio.gather(*calls))

    def _check_cold_overload(self) -> None:
        """Crashes if a cold server receives more requests than it sustains."""
        now = self._clock.monotonic()
        rate_per_s = self._model.cold_per_s
        if not rate_per_s or not self.warmup_left_s():
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - _COLD_WINDOW_S:
            self._arrivals.popleft()
        if (
            len(self._arrivals)
            > rate_per_s * COLD_RATE_FACTOR + COLD_BURST_REQUESTS
        ):
            self.on_cold_crash()

    async def _work(self, kind: RequestKind) -> None:
        shape = 1 / max(0.01, kind.spread) ** 2
        work_s = self._rng.gammavariate(shape, kind.work_s / shape)
        work_s *= self._slowdown()
        if not self._model.noise.follows:
            pace = self._pace.factor_at(self._clock.monotonic())
            await anyio.sleep(work_s * pace)
            return
        while work_s > 1e-6:
            now = self._clock.monotonic()
            pace = self._pace.factor_at(now)
            step_s = min(work_s * pace, self._pace.time_to_change_s(now))
            await anyio.sleep(step_s)
            work_s -= step_s / pace

    def _slowdown(self) -> float:
        """Returns the factor on run times by all causes other than the pace."""
        factor = self.hidden_slowdown
        if self._running > self._model.knee * self._model.slots:
            factor *= self._model.slower
        if self.warmup_left_s():
            factor *= self._model.cold_x
        return factor

    def _load(self) -> ServerLoad:
        pace = self._pace.factor_at(self._clock.monotonic())
        return ServerLoad(self._running, self._waiting, self._model.slots, pace)


def _ignore_crash() -> None:
    """Ignores a crash; default of `SimulatedServer.on_cold_crash`."""
