"""An open-loop load: seeded Poisson arrivals, timed from when each was due.

A late start counts as waiting, so a stalled server cannot hide its stall
(no coordinated omission). Latencies go into an HDR histogram in microseconds.
"""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

#: Latencies from 1 us to 60 s with three significant digits.
_LOW_US = 1
_HIGH_US = 60_000_000
_DIGITS = 3

_TIMEOUT_S = 30.0

#: Timers of the event loop are this coarse (s).
_TIMER_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request of a load.

    Attributes:
      url: where to, whole.
      method: the HTTP method.
      weight: how often it is drawn, relative to the others.
      headers: field lines; `{n}` in a value becomes the request's number.
      body: the body.
    """

    url: str
    method: str = "GET"
    weight: float = 1.0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is sent and when.

    Attributes:
      kinds: the kinds of request.
      rate_per_s: mean arrivals (1/s).
      duration_s: how long requests are started (s).
      seed: fixes arrivals and draws.
      warmup_s: the first part that is not counted (s).
    """

    kinds: tuple[RequestKind, ...]
    rate_per_s: float
    duration_s: float
    seed: int
    warmup_s: float = 1.0


class LoadResult:
    """Latencies and answers of one load.

    Attributes:
      good: answer times of good answers, status below 400 (us).
      statuses: requests by HTTP status, or by error where there was no answer.
      counted_s: how long requests were counted (s).
    """

    def __init__(self) -> None:
        self.good = HdrHistogram(_LOW_US, _HIGH_US, _DIGITS)
        self.statuses: collections.Counter[str] = collections.Counter()
        self.counted_s = 0.0

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the good answers' times (ms)."""
        value: float = self.good.get_value_at_percentile(percent)
        return value / 1000

    def count(self) -> int:
        """Returns the number of requests counted."""
        return sum(self.statuses.values())

    def good_per_s(self) -> float:
        """Returns good answers per second."""
        total: int = self.good.get_total_count()
        return total / self.counted_s if self.counted_s else 0.0


async def run_load(plan: LoadPlan) -> LoadResult:
    """Runs `plan` to its end and returns what was measured."""
    rng = random.Random(plan.seed)
    result = LoadResult()
    result.counted_s = plan.duration_s - plan.warmup_s
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=4.0)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        await _start_all(plan, rng, session, result)
    return result


async def _start_all(
    plan: LoadPlan,
    rng: random.Random,
    session: aiohttp.ClientSession,
    result: LoadResult,
) -> None:
    weights = [kind.weight for kind in plan.kinds]
    tasks: set[asyncio.Task[None]] = set()
    began = time.perf_counter()
    due = began
    number = 0
    while due - began < plan.duration_s:
        due += rng.expovariate(plan.rate_per_s)
        number += 1
        kind = rng.choices(plan.kinds, weights)[0]
        await _sleep_until(due)
        counted = result if due - began >= plan.warmup_s else None
        task = asyncio.create_task(_send(session, kind, number, due, counted))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


async def _sleep_until(due: float) -> None:
    """Sleeps to within the loop's timer resolution, then yields until due."""
    wait_s = due - time.perf_counter()
    if wait_s > _TIMER_S:
        await asyncio.sleep(wait_s - _TIMER_S)
    while time.perf_counter() < due:  # noqa: ASYNC110 - finer than timers
        await asyncio.sleep(0)


async def _send(
    session: aiohttp.ClientSession,
    kind: RequestKind,
    number: int,
    due: float,
    result: LoadResult | None,
) -> None:
    headers = {k: v.replace("{n}", str(number)) for k, v in kind.headers}
    try:
        async with session.request(
            kind.method, kind.url, headers=headers, data=kind.body or None
        ) as response:
            await response.read()
            status = str(response.status)
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        status = type(exc).__name__
    if result is not None:
        _record(result, status, time.perf_counter() - due)


def _record(result: LoadResult, status: str, elapsed_s: float) -> None:
    elapsed_us = max(_LOW_US, min(_HIGH_US, int(elapsed_s * 1e6)))
    result.statuses[status] += 1
    if status.isdigit() and int(status) < 400:
        result.good.record_value(elapsed_us)


def kinds_over(urls: Sequence[str], path: str) -> tuple[RequestKind, ...]:
    """Returns one kind of request for each node, all of `path`."""
    return tuple(RequestKind(url + path) for url in urls)
