"""A stand-in for a backend server of the platform, with fault injection.

It runs requests in a fixed number of slots, queues a bounded number and sheds
the rest. The service time varies with the pace of the instance, which is drawn
anew for each spell of a fixed length. Each response reports the load. A
request that expects another incarnation is rejected, and heartbeats go to the
node on the same instance.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import random
import socket
import struct
from typing import Any
from typing import TypeAlias
import weakref

import aiohttp
from aiohttp import web
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.standins.endless_responses import EndlessPart
from radishwind.standins.endless_responses import generate

#: Handles a request.
RequestHandler: TypeAlias = Callable[
    [web.Request], Awaitable[web.StreamResponse]
]

FAULTS_PATH = "/standin/faults"
COUNTERS_PATH = "/standin/counters"
HEALTH_PATH = "/health"

#: End of the path of requests that may get a response without end.
ENDLESS_SUFFIX = "/endless"

#: Delay before a heartbeat that was not acknowledged is retried (s).
_HEARTBEAT_RETRY_S = 0.3

_HEARTBEAT_TIMEOUT_S = 1.0

#: Value of SO_LINGER with which a close sends a reset (RST) at once.
_ZERO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """The behavior of the server.

    Attributes:
      service: the service that it provides.
      failure_domain: its failure domain.
      address: the address at which it listens.
      control: the address of the node's control listener, which receives the
        heartbeats.
      slots: the maximum number of requests that run concurrently.
      queue: the maximum number of queued requests.
      work_s: the mean service time at pace 1 (s).
      slow_share: the fraction of spells that are slow.
      slow_pace: the pace during a slow spell.
      spell_s: the duration of a spell (s); 0 for a constant pace.
      heartbeat_s: the interval between heartbeats (s).
      cold_s: the warm-up time after the start that heartbeats report (s).
      incarnation: the ID of the incarnation; random if empty.
      max_body_bytes: size above which a request is refused while its body is
        being sent (bytes).
    """

    service: str
    failure_domain: str
    address: Address
    control: Address
    slots: int = 6
    queue: int = 24
    work_s: float = 0.02
    slow_share: float = 0.35
    slow_pace: float = 5.0
    spell_s: float = 0.15
    heartbeat_s: float = 0.5
    cold_s: float = 0.0
    incarnation: str = ""
    max_body_bytes: int = 64 << 20


class ServerFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in force until they are replaced.

    Attributes:
      answer: empty, or the fault of a response: `reset` (truncated, then the
        connection is reset), `cut` (truncated, then the connection is closed),
        `unframed` (no length), `unframed-reset` (no length, truncated, then
        the connection is reset), `extra` (followed by a second response),
        `other` (carries the ID of another request), `unsigned` (carries no
        signature), `encoded` (declares a content encoding), `chunked` (in
        chunks instead of with a length), `lost` (the request ran, but the
        connection is reset without a response).
      share: the fraction of responses with this fault.
      body_bytes: the size of the body of a response (bytes); 0 for a short
        one.
      fail: the fraction of requests answered with status 500.
      shed: the fraction of requests shed although the queue has room.
      endless: empty, or the part of a response that never ends, see
        `EndlessPart`; of the requests whose path ends in `ENDLESS_SUFFIX`.
      endless_health: the same, of all health responses.
      health: empty, `bad` (always reports unhealthy) or `good` (always reports
        healthy).
      late_copies: the fraction of responses, refusals included, of which a
        second copy is sent where the next response on the connection is
        expected.
      shed_s: how long it takes to shed a request (s).
      slow: a factor on every service time.
      limit_per_s: the request limit that responses state (requests/s); `None`
        for none.
      health_notices: whether health responses state it too.
      odd_fields: further header fields of all responses, health responses
        included; they replace those of the same name.
    """

    answer: str = ""
    share: float = 1.0
    body_bytes: int = 0
    fail: float = 0.0
    shed: float = 0.0
    endless: str = ""
    endless_health: str = ""
    health: str = ""
    late_copies: float = 0.0
    shed_s: float = 0.0
    slow: float = 1.0
    limit_per_s: float | None = None
    health_notices: bool = True
    odd_fields: tuple[tuple[str, str], ...] = ()


class PlatformServerStandin:
    """One incarnation of a backend server.

    Attributes:
      options: the behavior of the server.
      incarnation: the ID of the incarnation.
      started_at_ms: the start of the incarnation (ms since the epoch, UTC).
      runs: the number of runs started, by request ID.
      accounts: the client account of each request, by request ID; empty for
        none.
      arrivals: the ID of each request and when it arrived (monotonic s).
      limits: each request limit stated, and since when (monotonic s); `None`
        for none.
      draining: whether heartbeats and health checks report it as draining.
      leaving: whether all responses report it as leaving.
      late_copies_sent: the number of late copies of responses sent.
      shed_count: the number of requests shed.
      endless_count: the number of responses without end begun.
      odd_fields_count: the number of responses with odd fields.
      leave_acknowledged_at: when the node acknowledged the planned leave
        (monotonic s), set by the caller that makes it leave; `None` before.
      last_run_started_at: when the last run started (monotonic s); 0 before
        the first.
    """

    def __init__(
        self, options: ServerOptions, rng: random.Random, clock: Clock
    ) -> None:
        self.options = options
        self._rng = rng
        self._clock = clock
        self.arrivals: list[tuple[str, float]] = []
        self.limits: list[tuple[float | None, float]] = []
        self._faults = ServerFaults()
        self._slots = asyncio.Semaphore(options.slots)
        self._in_flight = 0
        self._queued = 0
        self._heartbeat_sequence = itertools.count(1)
        self._started_at = clock.monotonic()
        self._spell_offset_s = rng.random() * max(options.spell_s, 0.001)
        self._pace_by_spell: dict[int, float] = {}
        # The copy to send late, by connection.
        self._late_copies: weakref.WeakKeyDictionary[
            asyncio.BaseTransport, bytes
        ] = weakref.WeakKeyDictionary()
        self.late_copies_sent = 0
        self.shed_count = 0
        self.endless_count = 0
        self.odd_fields_count = 0
        random_name = f"i-{rng.getrandbits(32):08x}"
        self.incarnation = options.incarnation or random_name
        self.started_at_ms = clock.wall_ms()
        self.runs: collections.Counter[str] = collections.Counter()
        self.accounts: dict[str, str] = {}
        self.draining = False
        self.leaving = False
        self.leave_acknowledged_at: float | None = None
        self.last_run_started_at = 0.0

    @property
    def service(self) -> str:
        """The service that the server provides."""
        return self.options.service

    @property
    def faults(self) -> ServerFaults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: ServerFaults) -> None:
        if faults.limit_per_s != self._faults.limit_per_s:
            self.limits.append((faults.limit_per_s, self._clock.monotonic()))
        self._faults = faults

    def make_application(self) -> web.Application:
        """Returns an aiohttp application that serves the requests."""

        @web.middleware
        async def send_copies(
            request: web.Request, handler: RequestHandler
        ) -> web.StreamResponse:
            return await self._handle_with_copies(request, handler)

        app = web.Application(
            middlewares=[send_copies],
            client_max_size=self.options.max_body_bytes,
        )
        app.router.add_get(HEALTH_PATH, self._handle_health)
        app.router.add_post(FAULTS_PATH, self._handle_faults)
        app.router.add_get(COUNTERS_PATH, self._handle_counters)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    async def _handle_with_copies(
        self, request: web.Request, handler: RequestHandler
    ) -> web.StreamResponse:
        """Handles a request on a connection that may get late copies."""
        transport = request.transport
        assert transport is not None
        copy = self._late_copies.pop(transport, b"")
        if copy:
            self.late_copies_sent += 1
            transport.write(copy)  # type: ignore[attr-defined]
        response = await handler(request)
        if not response.prepared:
            self._add_odd_fields(response)
        if self._rng.random() < self.faults.late_copies:
            self._late_copies[transport] = _encode_response(response)
        return response

    def _add_odd_fields(self, response: web.StreamResponse) -> None:
        odd_fields = self.faults.odd_fields
        for name, _ in odd_fields:
            response.headers.popall(name, None)
        for name, value in odd_fields:
            response.headers.add(name, value)
        self.odd_fields_count += bool(odd_fields)

    async def send_heartbeats(self) -> None:
        """Sends heartbeats until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                acknowledged = await self.send_heartbeat(session)
                period_s = self.options.heartbeat_s
                await asyncio.sleep(
                    period_s if acknowledged else _HEARTBEAT_RETRY_S
                )

    async def send_heartbeat(self, session: aiohttp.ClientSession) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        return await self.deliver(session, self.make_heartbeat())

    async def deliver(
        self, session: aiohttp.ClientSession, heartbeat: dict[str, Any]
    ) -> bool:
        """Sends a heartbeat; returns whether it was acknowledged."""
        return await self._post_to_node(session, "Heartbeat", heartbeat)

    def make_heartbeat(self) -> dict[str, Any]:
        """Returns the next heartbeat of this server."""
        options = self.options
        warmup_left_s = options.cold_s - (
            self._clock.monotonic() - self._started_at
        )
        return {
            "service": options.service,
            "address": str(options.address),
            "zone": options.failure_domain,
            "version": "v1",
            "slots": options.slots,
            "state": "draining" if self.draining else "ready",
            "warmup-left-ms": max(0.0, warmup_left_s) * 1000,
            "seq": next(self._heartbeat_sequence),
            "born": self.started_at_ms,
        }

    async def deregister(self, session: aiohttp.ClientSession) -> bool:
        """Deregisters; returns whether the node acknowledged it."""
        body = {"born": self.started_at_ms}
        return await self._post_to_node(session, "Deregister", body)

    async def _post_to_node(
        self, session: aiohttp.ClientSession, method: str, body: dict[str, Any]
    ) -> bool:
        control = self.options.control
        url = f"http://{control}/-/Instances.{method}/{self.incarnation}"
        timeout = aiohttp.ClientTimeout(total=_HEARTBEAT_TIMEOUT_S)
        try:
            async with session.post(
                url, json=body, timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def pace(self) -> float:
        """Returns the current factor on service times; 1 is the normal pace."""
        options = self.options
        if not options.spell_s:
            return self.faults.slow
        now = self._clock.monotonic() + self._spell_offset_s
        spell = int(now / options.spell_s)
        if spell not in self._pace_by_spell:
            is_slow = self._rng.random() < options.slow_share
            self._pace_by_spell = {spell: options.slow_pace if is_slow else 1.0}
        return self._pace_by_spell[spell] * self.faults.slow

    def _notices(self) -> dict[str, str]:
        """Returns the fields by which responses state limit and leave."""
        fields = {}
        if self.faults.limit_per_s is not None:
            fields["Server-Limit"] = f"{self.faults.limit_per_s:g}"
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return fields

    def _load_header(self) -> dict[str, str]:
        load = (
            self._in_flight,
            self._queued,
            self.options.slots,
            round(self.pace() * 100),
        )
        return {"Server-Load": ",".join(map(str, load))}

    async def _handle_health(self, request: web.Request) -> web.StreamResponse:
        if self.faults.endless_health:
            return await self._send_endless(
                request, self.faults.endless_health, ""
            )
        is_unhealthy = self.draining or self.faults.health == "bad"
        if self.faults.health == "good":
            is_unhealthy = False
        headers = {"Instance-Id": self.incarnation, **self._load_header()}
        if self.faults.health_notices:
            headers.update(self._notices())
        return web.Response(
            status=503 if is_unhealthy else 200, headers=headers
        )

    async def _handle_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.faults = msgspec.json.decode(body, type=ServerFaults)
        return web.Response(status=204)

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"runs": self.runs, "incarnation": self.incarnation}
        )

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get("Expect-Instance", self.incarnation)
        if expected != self.incarnation:
            headers = {"Instance-Id": self.incarnation}
            return web.Response(status=421, headers=headers)
        self.arrivals.append(
            (request.headers.get("Attempt-Id", ""), self._clock.monotonic())
        )
        is_full = self._queued >= self.options.queue
        if is_full or self._rng.random() < self.faults.shed:
            self.shed_count += 1
            await asyncio.sleep(self.faults.shed_s)
            headers = {
                "Not-Executed": "1",
                **self._load_header(),
                **self._notices(),
            }
            return web.Response(status=503, headers=headers)
        await request.read()
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._in_flight += 1
        try:
            return await self._run_request(request)
        finally:
            self._in_flight -= 1
            self._slots.release()

    async def _run_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["Attempt-Id"]
        self.runs[request_id] += 1
        self.accounts[request_id] = request.headers.get("Tenant", "")
        self.last_run_started_at = self._clock.monotonic()
        timeout_s = float(request.headers.get("Timeout-Ms", "10000")) / 1000
        work_s = self._rng.gammavariate(8, self.options.work_s / 8)
        run_s = work_s * self.pace()
        await asyncio.sleep(min(run_s, timeout_s))
        if run_s > timeout_s:
            return self._make_response(request_id, 504)
        if self._rng.random() < self.faults.fail:
            return self._make_response(request_id, 500)
        faults = self.faults
        if faults.endless and request.path.endswith(ENDLESS_SUFFIX):
            return await self._send_endless(request, faults.endless, request_id)
        if faults.answer and self._rng.random() < faults.share:
            return await self._send_faulty_response(
                request, request_id, faults.answer
            )
        return self._make_response(request_id, 200)

    def _make_response(self, request_id: str, status: int) -> web.Response:
        headers = {
            "Attempt-Id": request_id,
            **self._load_header(),
            **self._notices(),
        }
        if status == 200:
            headers["Response-Signature"] = f"{self.incarnation}.{request_id}"
        body = make_body(request_id, self.faults.body_bytes)
        return web.Response(status=status, headers=headers, body=body)

    async def _send_endless(
        self, request: web.Request, part: str, request_id: str
    ) -> web.StreamResponse:
        """Sends a response without end until the connection is closed."""
        self.endless_count += 1
        transport = request.transport
        assert transport is not None
        fields = _encode_own_fields(request_id, self.incarnation)
        with contextlib.suppress(ConnectionError):
            for piece in generate(EndlessPart(part), fields):
                if transport.is_closing():
                    break
                transport.write(piece)  # type: ignore[attr-defined]
                await request.writer.drain()
                await asyncio.sleep(0)
        return web.Response()

    async def _send_faulty_response(
        self, request: web.Request, request_id: str, fault: str
    ) -> web.StreamResponse:
        """Sends a response with the fault `fault`."""
        response = self._make_response(request_id, 200)
        if fault == "unsigned":
            del response.headers["Response-Signature"]
            return response
        if fault == "other":
            response.headers["Attempt-Id"] = "another"
            return response
        if fault == "chunked":
            response.enable_chunked_encoding()
            return response
        if fault == "encoded":
            response.headers["Content-Encoding"] = "gzip"
            return response
        transport = request.transport
        assert transport is not None
        if fault != "lost":
            transport.write(
                _encode_faulty_response(
                    request_id, self.incarnation, fault, self._notices()
                )
            )  # type: ignore[attr-defined]
            await asyncio.sleep(0.01)
        if fault in ("unframed", "cut", "extra"):
            transport.close()
        else:
            _send_reset(transport)
        return response


def make_body(request_id: str, size: int) -> bytes:
    """Returns the body of a response, of at least its short size (bytes)."""
    short = b"done %s" % request_id.encode()
    count = size // len(short) + 1
    return short if size <= len(short) else (count * short)[:size]


def _encode_response(response: web.StreamResponse) -> bytes:
    """Returns the bytes of a response whose body is known."""
    assert isinstance(response, web.Response)
    body = response.body if isinstance(response.body, bytes) else b""
    lines = [f"HTTP/1.1 {response.status} Copy"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers.items()
        if name.lower() not in ("content-length", "transfer-encoding")
    ]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def _send_reset(transport: asyncio.BaseTransport) -> None:
    """Closes a connection with a reset (RST) instead of a FIN."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()  # type: ignore[attr-defined]


def _encode_own_fields(request_id: str, incarnation: str) -> bytes:
    """Returns the field lines of the response to a request; none without ID."""
    if not request_id:
        return b""
    return (
        f"Attempt-Id: {request_id}\r\n"
        f"Response-Signature: {incarnation}.{request_id}\r\n"
    ).encode()


def _encode_faulty_response(
    request_id: str, incarnation: str, fault: str, notices: dict[str, str]
) -> bytes:
    """Returns the bytes of a response with the fault `fault`."""
    body = f"done {request_id}".encode()
    stated = "".join(f"{name}: {value}\r\n" for name, value in notices.items())
    head = (
        b"HTTP/1.1 200 OK\r\n"
        + _encode_own_fields(request_id, incarnation)
        + stated.encode()
    )
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    if fault == "unframed":
        return head + b"\r\n" + body
    if fault == "unframed-reset":
        return head + b"\r\n" + body[:-3]
    if fault == "extra":
        return 2 * (head + length + body)
    return head + length + body[:-3]
