"""A stand-in for a backend server, with the faults that real ones have.

It runs requests in slots, queues a few, sheds the rest, stops work whose
caller left or whose deadline passed, starts cold, drains, straggles, fails
fast, crashes, and tells lies about its health and load when asked to.
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

#: A request with this field, or this text in its path, ends the process.
CRASH_FIELD = "radishwind-standin-crash"
CRASH_TEXT = "standin-crash"

#: A request with this field, or with this in its path before the number, gets
#: an answer of so many bytes, in pieces.
BYTES_FIELD = "radishwind-standin-bytes"
BYTES_TEXT = "/standin/bytes/"

_JSON = (("Content-Type", "application/json"),)
_TEXT = (("Content-Type", "text/plain"),)
_SHED = (*_TEXT, ("Radishwind-Shed", "1"))
_PIECE = b"." * 65536
_CRASH_EXIT = 70


@dataclasses.dataclass(frozen=True, slots=True)
class BackendOptions:
    """How the stand-in behaves.

    Attributes:
      name: told in each answer.
      slots: requests it runs at once.
      service_s: mean time a request runs (s), gamma distributed.
      service_shape: shape of that distribution: 1 is exponential, the times
        vary less the larger it is.
      queue_length: requests that wait inside it; more are shed.
      probe_s: time a health or load request holds a slot (s).
      cold_s: how long after its start it is slow (s).
      cold_factor: how many times slower it is at its start.
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
    """Faults in force; each post of JSON to the control path replaces all.

    Attributes:
      draining: sheds new requests and says so; what runs goes on.
      shed: sheds every request.
      fail_fast: answers every request with status 500 at once.
      slow_factor: how many times slower than usual it runs.
      slots: slots it really has, whatever it says; `None` for its own.
      told_state: the state that its health tells; `None` for the truth.
      told_in_flight: the load that it tells; `None` for the truth.
      probe_s: time a probe holds a slot (s); `None` for its own.
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
    """Runs requests in slots; see the module for what else it does.

    Args:
      options: how it behaves.
      rng: draws the service times.
      clock: the clock.
      crash: ends the process.

    Attributes:
      faults: the faults in force.
      counters: what it counted.
    """

    def __init__(
        self,
        options: BackendOptions,
        rng: random.Random,
        clock: Clock,
        crash: Callable[[], None] = lambda: os._exit(_CRASH_EXIT),
    ) -> None:
        self._options = options
        self._rng = rng
        self._clock = clock
        self._crash = crash
        self._started = clock.monotonic()
        self._in_flight = 0
        self._waiting: list[anyio.Event] = []
        self._idle = anyio.Event()
        self.faults = BackendFaults()
        self.counters = BackendCounters()

    @property
    def state(self) -> str:
        """Its true state: `starting`, `ready` or `draining`."""
        if self.faults.draining:
            return "draining"
        return "starting" if self.warm < 1 else "ready"

    @property
    def warm(self) -> float:
        """0 at its start to 1 once warm."""
        if not self._options.cold_s:
            return 1.0
        return min(1.0, self.uptime_s / self._options.cold_s)

    @property
    def uptime_s(self) -> float:
        """Time since its start (s)."""
        return self._clock.monotonic() - self._started

    def start_draining(self) -> None:
        """Sheds what is new from now on; what runs goes on."""
        self.faults = msgspec.structs.replace(self.faults, draining=True)

    async def drained(self) -> None:
        """Returns once nothing runs."""
        if self._in_flight:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        path = request.path.partition("?")[0]
        if path == FAULTS_PATH:
            return self._set_faults(request)
        if path == COUNTERS_PATH:
            return _json({"name": self._options.name} | self._told_counters())
        if path in (HEALTH_PATH, LOAD_PATH):
            return await self._probe(path)
        return await self._request(request)

    async def _request(self, request: Request) -> Response:
        size = await _body_bytes(request)
        faults = self.faults
        if faults.shed or faults.draining or not self._has_room():
            return self._shed()
        if faults.fail_fast:
            self.counters.failed += 1
            return Response(500, _TEXT, b"failed fast\n")
        timeout_s = _timeout_s(request)
        started = False
        try:
            with anyio.fail_after(timeout_s):
                async with self._slot():
                    started = True
                    return await self._run(request, size)
        except TimeoutError:
            if not started:
                return self._shed()
            self.counters.late += 1
            return Response(504, _TEXT, b"stopped at its deadline\n")
        except anyio.get_cancelled_exc_class():
            self.counters.cancelled += started
            raise

    async def _run(self, request: Request, size: int) -> Response:
        self.counters.ran(_name(request))
        if CRASH_TEXT in request.path or get_header(
            request.headers, CRASH_FIELD
        ):
            self._crash()
        began = self._clock.monotonic()
        try:
            await anyio.sleep(self._service_s())
        finally:
            self.counters.run_s += self._clock.monotonic() - began
        wanted = _wanted_bytes(request)
        if wanted is not None:
            return Response(200, _TEXT, Pieces(wanted), wanted)
        text = (
            f"{self._options.name} ran {request.method} {request.path} "
            f"({size} bytes)\n"
        )
        return Response(200, _TEXT, text.encode())

    def _service_s(self) -> float:
        mean = self._options.service_s
        if not mean:
            return 0.0
        cold = 1 + (self._options.cold_factor - 1) * (1 - self.warm)
        factor = self.faults.slow_factor * cold
        shape = self._options.service_shape
        return self._rng.gammavariate(shape, mean / shape) * factor

    async def _probe(self, path: str) -> Response:
        full = self._in_flight >= self._slots()
        self.counters.probes += 1
        self.counters.probes_into_full += full
        cost_s = self.faults.probe_s
        if cost_s is None:
            cost_s = self._options.probe_s
        async with self._slot():
            began = self._clock.monotonic()
            try:
                await anyio.sleep(cost_s)
            finally:
                self.counters.probe_s += self._clock.monotonic() - began
        if path == HEALTH_PATH:
            state = self.faults.told_state or self.state
            return _json({"state": state, "warm": round(self.warm, 3)})
        told = self.faults.told_in_flight
        in_flight = self._in_flight if told is None else told
        return _json({"slots": self._options.slots, "in_flight": in_flight})

    def _set_faults(self, request: Request) -> Response:
        assert isinstance(request.body, bytes)
        try:
            if request.method == "POST":
                self.faults = msgspec.json.decode(
                    request.body, type=BackendFaults
                )
        except msgspec.MsgspecError as exc:
            return Response(400, _TEXT, f"{exc}\n".encode())
        return _json(self.faults)

    def _told_counters(self) -> dict[str, object]:
        now = {"in_flight": self._in_flight, "waiting": len(self._waiting)}
        return self.counters.as_fields() | now

    def _shed(self) -> Response:
        self.counters.shed += 1
        return Response(503, _SHED, b"shed without running\n")

    def _slots(self) -> int:
        return self.faults.slots or self._options.slots

    def _has_room(self) -> bool:
        if self._in_flight < self._slots():
            return True
        return len(self._waiting) < self._options.queue_length

    @contextlib.asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        """Holds a slot; waits for one in order of arrival."""
        await self._take_slot()
        most = max(self.counters.max_in_flight, self._in_flight)
        self.counters.max_in_flight = most
        try:
            yield
        finally:
            self._give_slot()

    async def _take_slot(self) -> None:
        if self._in_flight < self._slots():
            self._in_flight += 1
            return
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self._give_slot()
            else:
                self._waiting.remove(turn)
            raise

    def _give_slot(self) -> None:
        self._in_flight -= 1
        while self._waiting and self._in_flight < self._slots():
            self._in_flight += 1
            self._waiting.pop(0).set()
        if not self._in_flight:
            self._idle.set()


class Pieces(BodyStream):
    """An answer of `size` bytes, in pieces."""

    def __init__(self, size: int) -> None:
        self._left = size

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while self._left > 0:
            piece = _PIECE[: self._left]
            self._left -= len(piece)
            yield piece

    def abort(self) -> None:
        self._left = 0


async def _body_bytes(request: Request) -> int:
    if not isinstance(request.body, BodyStream):
        return len(request.body)
    size = 0
    async for piece in request.body:
        size += len(piece)
    return size


def _wanted_bytes(request: Request) -> int | None:
    path = request.path.partition("?")[0]
    text = (
        get_header(request.headers, BYTES_FIELD)
        or path.partition(BYTES_TEXT)[2]
    )
    return int(text) if text.isdigit() else None


def _timeout_s(request: Request) -> float | None:
    text = get_header(request.headers, "radishwind-timeout-ms")
    return int(text) / 1000 if text and text.isdigit() else None


def _name(request: Request) -> str:
    key = get_header(request.headers, "idempotency-key")
    return key or f"{request.method} {request.path}"


def _json(value: object) -> Response:
    return Response(200, _JSON, msgspec.json.encode(value))
