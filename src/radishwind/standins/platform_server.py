"""A stand-in for a backend server of the platform, with its faults.

It runs requests in slots at the pace of its instance, which changes on a
grid; queues a few, sheds the rest, tells its load, checks the incarnation
meant, and sends heartbeats to the node beside it.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import socket
import struct
from typing import Any

import aiohttp
from aiohttp import web
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Address

FAULTS_PATH = "/standin/faults"
COUNTERS_PATH = "/standin/counters"
HEALTH_PATH = "/health"

#: A heartbeat that got no answer is sent again after this time (s).
_RETRY_S = 0.3

_HEARTBEAT_TIMEOUT_S = 1.0

#: Makes a close send a reset at once.
_ZERO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """How the server behaves.

    Attributes:
      service: the service it gives.
      failure_domain: where it stands.
      address: where it receives requests.
      control: where it sends its heartbeats.
      slots: requests it runs at once.
      queue: requests that wait in it.
      work_s: mean run time at the usual pace (s).
      slow_share: part of the spells that are slow.
      slow_pace: the pace in those.
      spell_s: how long a spell lasts (s); 0 for no change of pace.
      heartbeat_s: time between heartbeats (s).
      cold_s: how long it is slow after its start (s).
      incarnation: its name; drawn where empty.
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


class ServerFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes wrong, until told otherwise.

    Attributes:
      answer: empty, or what happens to answers: `reset` (cut after the head),
        `cut` (ended early), `unframed` (no length), `unframed-reset`, `extra`
        (a second answer behind it), `other` (names another request),
        `unsigned`, `encoded`, `lost` (it ran and nothing comes).
      share: part of the answers that this happens to.
      fail: part of the requests answered 500.
      shed: part of the requests refused though there is room.
      health: empty, `bad` (always reports unhealthy) or `good` (always reports
        healthy).
      slow: how many times slower than usual it is all the time.
    """

    answer: str = ""
    share: float = 1.0
    fail: float = 0.0
    shed: float = 0.0
    health: str = ""
    slow: float = 1.0


class PlatformServerStandin:
    """One incarnation of a backend server.

    Attributes:
      options: how it behaves.
      incarnation: names it.
      started_at_ms: when this life began (ms since the epoch, UTC).
      faults: what goes wrong, until told otherwise.
      runs: runs begun, by the name of the request.
      accounts: the client account that each came for; empty for none.
      draining: whether it says that it takes no new work.
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
        self.faults = ServerFaults()
        self._slots = asyncio.Semaphore(options.slots)
        self._in_flight = 0
        self._queued = 0
        self._heartbeat_sequence = itertools.count(1)
        self._started_at = clock.monotonic()
        self._spell_offset_s = rng.random() * max(options.spell_s, 0.001)
        self._pace_by_spell: dict[int, float] = {}
        random_name = f"i-{rng.getrandbits(32):08x}"
        self.incarnation = options.incarnation or random_name
        self.started_at_ms = clock.wall_ms()
        self.runs: collections.Counter[str] = collections.Counter()
        self.accounts: dict[str, str] = {}
        self.draining = False
        self.leave_acknowledged_at: float | None = None
        self.last_run_started_at = 0.0

    @property
    def service(self) -> str:
        """The service it gives."""
        return self.options.service

    def make_application(self) -> web.Application:
        """Returns the server as an application of aiohttp."""
        app = web.Application()
        app.router.add_get(HEALTH_PATH, self._handle_health)
        app.router.add_post(FAULTS_PATH, self._handle_faults)
        app.router.add_get(COUNTERS_PATH, self._handle_counters)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    async def send_heartbeats(self) -> None:
        """Sends heartbeats until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                acknowledged = await self.send_heartbeat(session)
                period_s = self.options.heartbeat_s
                await asyncio.sleep(period_s if acknowledged else _RETRY_S)

    async def send_heartbeat(self, session: aiohttp.ClientSession) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        options = self.options
        cold_s = options.cold_s - (self._clock.monotonic() - self._started_at)
        body = {
            "service": options.service,
            "address": str(options.address),
            "zone": options.failure_domain,
            "version": "v1",
            "slots": options.slots,
            "state": "draining" if self.draining else "ready",
            "warmup-left-ms": max(0.0, cold_s) * 1000,
            "seq": next(self._heartbeat_sequence),
            "born": self.started_at_ms,
        }
        return await self._post(session, "Heartbeat", body)

    async def deregister(self, session: aiohttp.ClientSession) -> bool:
        """Ends the registration; returns whether that was acknowledged."""
        body = {"born": self.started_at_ms}
        return await self._post(session, "Deregister", body)

    async def _post(
        self, session: aiohttp.ClientSession, name: str, body: dict[str, Any]
    ) -> bool:
        control = self.options.control
        url = f"http://{control}/-/Instances.{name}/{self.incarnation}"
        timeout = aiohttp.ClientTimeout(total=_HEARTBEAT_TIMEOUT_S)
        try:
            async with session.post(url, json=body, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def pace(self) -> float:
        """Returns how long work takes now; 1 is as usual."""
        options = self.options
        if not options.spell_s:
            return self.faults.slow
        now = self._clock.monotonic() + self._spell_offset_s
        spell = int(now / options.spell_s)
        if spell not in self._pace_by_spell:
            slow = self._rng.random() < options.slow_share
            self._pace_by_spell = {spell: options.slow_pace if slow else 1.0}
        return self._pace_by_spell[spell] * self.faults.slow

    def _load_header(self) -> dict[str, str]:
        load = (
            self._in_flight,
            self._queued,
            self.options.slots,
            round(self.pace() * 100),
        )
        return {"Server-Load": ",".join(map(str, load))}

    async def _handle_health(self, request: web.Request) -> web.Response:
        is_unhealthy = self.draining or self.faults.health == "bad"
        if self.faults.health == "good":
            is_unhealthy = False
        headers = {"Instance-Id": self.incarnation, **self._load_header()}
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
        is_full = self._queued >= self.options.queue
        if is_full or self._rng.random() < self.faults.shed:
            headers = {"Not-Executed": "1", **self._load_header()}
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
        name = request.headers["Attempt-Id"]
        self.runs[name] += 1
        self.accounts[name] = request.headers.get("Tenant", "")
        self.last_run_started_at = self._clock.monotonic()
        left_s = float(request.headers.get("Timeout-Ms", "10000")) / 1000
        work_s = self._rng.gammavariate(8, self.options.work_s / 8)
        run_s = work_s * self.pace()
        await asyncio.sleep(min(run_s, left_s))
        if run_s > left_s:
            return self._make_response(name, 504)
        if self._rng.random() < self.faults.fail:
            return self._make_response(name, 500)
        faults = self.faults
        if faults.answer and self._rng.random() < faults.share:
            return await self._send_faulty_response(
                request, name, faults.answer
            )
        return self._make_response(name, 200)

    def _make_response(self, name: str, status: int) -> web.Response:
        headers = {"Attempt-Id": name, **self._load_header()}
        if status == 200:
            headers["Response-Signature"] = f"{self.incarnation}.{name}"
        body = b"done %s" % name.encode()
        return web.Response(status=status, headers=headers, body=body)

    async def _send_faulty_response(
        self, request: web.Request, name: str, how: str
    ) -> web.StreamResponse:
        """Answers in one of the ways that an answer must not be."""
        answer = self._make_response(name, 200)
        if how == "unsigned":
            del answer.headers["Response-Signature"]
            return answer
        if how == "other":
            answer.headers["Attempt-Id"] = "another"
            return answer
        if how == "encoded":
            answer.headers["Content-Encoding"] = "gzip"
            return answer
        transport = request.transport
        assert transport is not None
        if how != "lost":
            transport.write(
                _encode_faulty_response(name, self.incarnation, how)
            )  # type: ignore[attr-defined]
            await asyncio.sleep(0.01)
        if how in ("unframed", "cut", "extra"):
            transport.close()
        else:
            _send_reset(transport)
        return answer


def _send_reset(transport: asyncio.BaseTransport) -> None:
    """Ends a connection by a reset instead of an end."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()  # type: ignore[attr-defined]


def _encode_faulty_response(name: str, incarnation: str, how: str) -> bytes:
    """Returns the bytes of an answer that is spoiled in the way `how`."""
    body = f"done {name}".encode()
    head = (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {name}\r\n"
        f"Response-Signature: {incarnation}.{name}\r\n"
    ).encode()
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    if how == "unframed":
        return head + b"\r\n" + body
    if how == "unframed-reset":
        return head + b"\r\n" + body[:-3]
    if how == "extra":
        return 2 * (head + length + body)
    return head + length + body[:-3]
