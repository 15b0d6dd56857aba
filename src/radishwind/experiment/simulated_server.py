"""A backend server of a play: slots, a queue, a knee, a cold start, noise."""

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
from radishwind.target.dialect import ServerLoad

HEALTH_PATH = "/health"

#: What a cold server is sent counts in this window (s).
_COLD_WINDOW_S = 1.0

#: Makes the call of a server's run; returns whether it was answered well.
MakeCall = Callable[[str, float], Awaitable[bool]]


class PaceModel:
    """How long work takes on an instance, by the law of its noise."""

    def __init__(self, noise: Noise, rng: random.Random) -> None:
        self._noise = noise
        self._rng = rng
        self._until = rng.random() * noise.every_s
        self._factor = 1.0

    def factor_at(self, now: float) -> float:
        """Returns how many times as long as usual work takes at `now`."""
        noise = self._noise
        if noise.law is NoiseLaw.NONE:
            return 1.0
        while now >= self._until:
            slow = self._rng.random() < noise.share
            self._factor = noise.x if slow else 1.0
            self._until += self._draw_duration_s()
        return self._factor

    def time_to_change_s(self, now: float) -> float:
        """Returns the time to the next change (s)."""
        if self._noise.law is NoiseLaw.NONE:
            return math.inf
        self.factor_at(now)
        return self._until - now

    def _draw_duration_s(self) -> float:
        if self._noise.law is NoiseLaw.GRID:
            return self._noise.every_s
        return self._rng.expovariate(1 / self._noise.every_s)


class SimulatedServer:
    """One life of a server.

    Attributes:
      began: requests that began to run.
      slow: how many times as long work takes, which it doesn't tell.
      on_cold_crash: called once more reaches it while cold than it stands.
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
        self.slow = 1.0
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
        """Returns how long it stays slow after its start (s)."""
        age_s = self._clock.monotonic() - self._warmup_start
        return max(0.0, self._model.cold_s - age_s)

    def restart_warmup(self) -> None:
        """Is cold again, as after a start."""
        self._warmup_start = self._clock.monotonic()

    async def handle(self, request: Request) -> Response:
        """Answers one request, or a health check."""
        if request.path == HEALTH_PATH:
            return build_health_response(
                self.name, self._load(), self.warmup_left_s()
            )
        self._check_cold_overload()
        if self._waiting >= self._model.queue:
            return build_refusal(self._load())
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
        sending = decode_simulated_request(request)
        left_s = sending.timeout_s
        well = False
        with anyio.move_on_after(left_s) as limit:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._work, kind)
                well = await self._call(kind, left_s)
        status = 504 if limit.cancelled_caught else 200 if well else 500
        return build_simulated_response(
            sending, status, self.name, self._load()
        )

    async def _call(self, kind: RequestKind, left_s: float) -> bool:
        if kind.calls is None or self._rng.random() >= kind.calls_share:
            return True
        made = [
            self._make_call(kind.calls, left_s) for _ in range(kind.calls_times)
        ]
        return all(await asyncio.gather(*made))

    def _check_cold_overload(self) -> None:
        """Falls over where a cold server gets more than it stands."""
        now = self._clock.monotonic()
        per_s = self._model.cold_per_s
        if not per_s or not self.warmup_left_s():
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - _COLD_WINDOW_S:
            self._arrivals.popleft()
        if len(self._arrivals) > per_s * COLD_RATE_FACTOR + COLD_BURST_REQUESTS:
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
        """Returns how many times as long work takes, but for the pace."""
        factor = self.slow
        if self._running > self._model.knee * self._model.slots:
            factor *= self._model.slower
        if self.warmup_left_s():
            factor *= self._model.cold_x
        return factor

    def _load(self) -> ServerLoad:
        pace = self._pace.factor_at(self._clock.monotonic())
        return ServerLoad(self._running, self._waiting, self._model.slots, pace)


def _ignore_crash() -> None:
    """Takes that a server fell where nobody restarts it."""
