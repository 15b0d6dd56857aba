"""A stand-in for a backend server, with fault injection.

It runs requests in a fixed number of slots, queues a bounded number and sheds
the rest. It cancels requests whose caller has disconnected or whose deadline
has passed. It warms up after its start and drains on request. Injected faults
make it slow, fail fast, crash, or report a wrong health state or load.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import os
import random

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import BodyStream
from radishwind.http.types import get_header
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.standins.counters import BackendCounters

HEALTH_PATH = "/healthz"
LOAD_PATH = "/loadz"
FAULTS_PATH = "/standin/faults"
COUNTERS_PATH = "/standin/counters"

#: A request with this header field, or with this text in its path, crashes
#: the process.
CRASH_FIELD = "radishwind-standin-crash"
CRASH_TEXT = "standin-crash"

#: A request with a number in this header field, or after this text in its
#: path, gets a response body of that size (bytes), sent in chunks.
BYTES_FIELD = "radishwind-standin-bytes"
BYTES_TEXT = "/standin/bytes/"

_JSON_HEADERS = (("Content-Type", "application/json"),)
_TEXT_HEADERS = (("Content-Type", "text/plain"),)
_SHED_HEADERS = (*_TEXT_HEADERS, ("Radishwind-Shed", "1"))
_CHUNK = b"." * 65536
_CRASH_EXIT_CODE = 70


@dataclasses.dataclass(frozen=True, slots=True)
class BackendOptions:
    """The behavior of the stand-in.

    Attributes:
      name: the name of the server, included in responses.
      slots: the maximum number of requests that run concurrently.
      service_s: the mean service time (s); service times have a gamma
        distribution.
      service_shape: the shape of that distribution: 1 is exponential, and
        larger values have less variance.
      queue_length: the maximum number of queued requests; more are shed.
      probe_s: the time for which a health or load probe holds a slot (s).
      cold_s: the duration of the warm-up after the start (s).
      cold_factor: the factor on service times at the start; it falls to 1
        linearly during the warm-up.
    """

    name: str
    slots: int = 9
    service_s: float = 0.005
    service_shape: float = 1.0
    queue_length: int = 1024
    probe_s: float = 0.006
    cold_s: float = 0.0
    cold_factor: float = 5.0


class BackendFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in force; JSON posted to `FAULTS_PATH` replaces all of them.

    Attributes:
      draining: reports itself as draining and sheds new requests; running
        requests continue.
      shed: sheds every request.
      fail_fast: answers every request with status 500 at once.
      slow_factor: a factor on every service time.
      slots: the actual number of slots, whereas the load probe still reports
        the configured number; `None` for the configured number.
      told_state: the state that the health probe reports; `None` for the
        actual state.
      told_in_flight: the number of requests in flight that the load probe
        reports; `None` for the actual number.
      probe_s: the time for which a probe holds a slot (s); `None` for the
        configured time.
    """

    draining: bool = False
    shed: bool = False
    fail_fast: bool = False
    slow_factor: float = 1.0
    slots: int | None = None
    told_state: str | None = None
    told_in_flight: int | None = None
    probe_s: float | None = None


class BackendStandin:
    """A backend server that runs requests in slots; see the module.

    Args:
      options: the behavior of the stand-in.
      rng: the source of the service times.
      clock: the clock.
      crash: crashes the process.

    Attributes:
      faults: the faults in force.
      counters: the counters since the start.
    """

    def __init__(
        self,
        options: BackendOptions,
        rng: random.Random,
        clock: Clock,
        crash: Callable[[], None] = lambda: os._exit(_CRASH_EXIT_CODE),
    ) -> None:
        self._options = options
        self._rng = rng
        self._clock = clock
        self._crash = crash
        self._started_at = clock.monotonic()
        self._in_flight = 0
        self._queue: list[anyio.Event] = []
        self._idle_event = anyio.Event()
        self.faults = BackendFaults()
        self.counters = BackendCounters()

    @property
    def state(self) -> str:
        """The actual state: `starting`, `ready` or `draining`."""
        if self.faults.draining:
            return "draining"
        return "starting" if self.warmup_fraction < 1 else "ready"

    @property
    def warmup_fraction(self) -> float:
        """The completed fraction of the warm-up, from 0 to 1."""
        if not self._options.cold_s:
            return 1.0
        return min(1.0, self.uptime_s / self._options.cold_s)

    @property
    def uptime_s(self) -> float:
        """The time since the start (s)."""
        return self._clock.monotonic() - self._started_at

    def start_draining(self) -> None:
        """Sheds new requests from now on; running requests continue."""
        self.faults = msgspec.structs.replace(self.faults, draining=True)

    async def wait_until_idle(self) -> None:
        """Waits until no request is running."""
        if self._in_flight:
            self._idle_event = anyio.Event()
            await self._idle_event.wait()

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        path = request.path.partition("?")[0]
        if path == FAULTS_PATH:
            return self._set_faults(request)
        if path == COUNTERS_PATH:
            return _make_json_response(
                {"name": self._options.name} | self._read_counters()
            )
        if path in (HEALTH_PATH, LOAD_PATH):
            return await self._handle_probe(path)
        return await self._handle_request(request)

    async def _handle_request(self, request: Request) -> Response:
        size = await _read_body_size(request)
        faults = self.faults
        if faults.shed or faults.draining or not self._has_capacity():
            return self._make_shed_response()
        if faults.fail_fast:
            self.counters.failed += 1
            return Response(500, _TEXT_HEADERS, b"failed fast\n")
        timeout_s = _parse_timeout_s(request)
        has_started = False
        try:
            with anyio.fail_after(timeout_s):
                async with self._hold_slot():
                    has_started = True
                    return await self._run_request(request, size)
        except TimeoutError:
            if not has_started:
                return self._make_shed_response()
            self.counters.late += 1
            return Response(504, _TEXT_HEADERS, b"stopped at its deadline\n")
        except anyio.get_cancelled_exc_class():
            self.counters.cancelled += has_started
            raise

    async def _run_request(self, request: Request, size: int) -> Response:
        self.counters.record_run(_request_key(request))
        if CRASH_TEXT in request.path or get_header(
            request.headers, CRASH_FIELD
        ):
            self._crash()
        started_at = self._clock.monotonic()
        try:
            await anyio.sleep(self._draw_service_time_s())
        finally:
            self.counters.run_s += self._clock.monotonic() - started_at
        body_size = _requested_body_size(request)
        if body_size is not None:
            return Response(
                200, _TEXT_HEADERS, GeneratedBody(body_size), body_size
            )
        text = (
            f"{self._options.name} ran {request.method} {request.path} "
            f"({size} bytes)\n"
        )
        return Response(200, _TEXT_HEADERS, text.encode())

    def _draw_service_time_s(self) -> float:
        mean = self._options.service_s
        if not mean:
            return 0.0
        warmup_factor = 1 + (self._options.cold_factor - 1) * (
            1 - self.warmup_fraction
        )
        factor = self.faults.slow_factor * warmup_factor
        shape = self._options.service_shape
        return self._rng.gammavariate(shape, mean / shape) * factor

    async def _handle_probe(self, path: str) -> Response:
        is_full = self._in_flight >= self._slot_count()
        self.counters.probes += 1
        self.counters.probes_into_full += is_full
        cost_s = self.faults.probe_s
        if cost_s is None:
            cost_s = self._options.probe_s
        async with self._hold_slot():
            started_at = self._clock.monotonic()
            try:
                await anyio.sleep(cost_s)
            finally:
                self.counters.probe_s += self._clock.monotonic() - started_at
        if path == HEALTH_PATH:
            state = self.faults.told_state or self.state
            return _make_json_response(
                {"state": state, "warm": round(self.warmup_fraction, 3)}
            )
        reported = self.faults.told_in_flight
        in_flight = self._in_flight if reported is None else reported
        return _make_json_response(
            {"slots": self._options.slots, "in_flight": in_flight}
        )

    def _set_faults(self, request: Request) -> Response:
        assert isinstance(request.body, bytes)
        try:
            if request.method == "POST":
                self.faults = msgspec.json.decode(
                    request.body, type=BackendFaults
                )
        except msgspec.MsgspecError as exc:
            return Response(400, _TEXT_HEADERS, f"{exc}\n".encode())
        return _make_json_response(self.faults)

    def _read_counters(self) -> dict[str, object]:
        now = {"in_flight": self._in_flight, "waiting": len(self._queue)}
        return self.counters.as_dict() | now

    def _make_shed_response(self) -> Response:
        self.counters.shed += 1
        return Response(503, _SHED_HEADERS, b"shed without running\n")

    def _slot_count(self) -> int:
        return self.faults.slots or self._options.slots

    def _has_capacity(self) -> bool:
        if self._in_flight < self._slot_count():
            return True
        return len(self._queue) < self._options.queue_length

    @contextlib.asynccontextmanager
    async def _hold_slot(self) -> AsyncIterator[None]:
        """Holds a slot, which is granted in order of arrival."""
        await self._acquire_slot()
        max_in_flight = max(self.counters.max_in_flight, self._in_flight)
        self.counters.max_in_flight = max_in_flight
        try:
            yield
        finally:
            self._release_slot()

    async def _acquire_slot(self) -> None:
        if self._in_flight < self._slot_count():
            self._in_flight += 1
            return
        granted = anyio.Event()
        self._queue.append(granted)
        try:
            await granted.wait()
        except BaseException:
            if granted.is_set():
                self._release_slot()
            else:
                self._queue.remove(granted)
            raise

    def _release_slot(self) -> None:
        self._in_flight -= 1
        while self._queue and self._in_flight < self._slot_count():
            self._in_flight += 1
            self._queue.pop(0).set()
        if not self._in_flight:
            self._idle_event.set()


class GeneratedBody(BodyStream):
    """A response body of `size` bytes, sent in chunks."""

    def __init__(self, size: int) -> None:
        self._remaining_bytes = size

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while self._remaining_bytes > 0:
            chunk = _CHUNK[: self._remaining_bytes]
            self._remaining_bytes -= len(chunk)
            yield chunk

    def abort(self) -> None:
        self._remaining_bytes = 0


async def _read_body_size(request: Request) -> int:
    if not isinstance(request.body, BodyStream):
        return len(request.body)
    size = 0
    async for chunk in request.body:
        size += len(chunk)
    return size


def _requested_body_size(request: Request) -> int | None:
    path = request.path.partition("?")[0]
    text = (
        get_header(request.headers, BYTES_FIELD)
        or path.partition(BYTES_TEXT)[2]
    )
    return int(text) if text.isdigit() else None


def _parse_timeout_s(request: Request) -> float | None:
    text = get_header(request.headers, "radishwind-timeout-ms")
    return int(text) / 1000 if text and text.isdigit() else None


def _request_key(request: Request) -> str:
    key = get_header(request.headers, "idempotency-key")
    return key or f"{request.method} {request.path}"


def _make_json_response(value: object) -> Response:
    return Response(200, _JSON_HEADERS, msgspec.json.encode(value))
