"""Admits an attempt, runs it on the server beside, and says what came of it."""

from collections.abc import AsyncIterator
from collections.abc import Callable

import anyio

from radishwind.admission.gate import Admission
from radishwind.admission.gate import Ticket
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.call import nested_request
from radishwind.entry.pipeline import AttemptResult
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import BodyStream
from radishwind.http.types import header
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.routing.chooser import LoadReport

#: How long a new connection to the server may take (s).
CONNECT_TIMEOUT_S = 1.0

#: The field by which a server says that it shed a request without running it.
SHED_FIELD = "radishwind-shed"

_SMOOTHING = 0.1


class TargetPipeline:
    """Runs attempts on one server; exact about its slots and its leaving."""

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        sender: Sender,
        server: Address,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._sender = sender
        self._server = server
        self._service_s = 0.0
        self._leaving = False
        self._drained: anyio.Event | None = None

    @property
    def leaving(self) -> bool:
        """Whether new work is refused."""
        return self._leaving

    def leave(self) -> None:
        """Refuses new work from now on; what runs goes on."""
        self._leaving = True

    async def drained(self) -> None:
        """Returns once nothing runs or waits here."""
        if self._idle():
            return
        self._drained = anyio.Event()
        await self._drained.wait()

    def load(self) -> LoadReport:
        """Returns the load as of now."""
        return LoadReport(
            slots=self._admission.slots,
            in_flight=self._admission.in_flight,
            queued=self._admission.queued,
            service_ms=round(self._service_s * 1000, 3),
            leaving=self._leaving,
        )

    async def run(self, call: Call) -> AttemptResult:
        """Runs `call` on the server beside."""
        outcome = await self._run(call)
        return AttemptResult(outcome, self.load())

    async def _run(self, call: Call) -> Outcome:
        if self._leaving:
            return NotRun(ResultCode.LEAVING, "The target is leaving.", 1.0)
        if self._too_late(call):
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline had passed."
            )
        now = self._clock.monotonic()
        ready = anyio.Event()
        ticket = Ticket(call.caller, call.deadline, now, ready.set)
        self._admission.offer(ticket, now)
        try:
            if not ticket.admitted and ticket.refused is None:
                await self._wait(ticket, ready)
        except BaseException:
            self._release(ticket, 0.0)
            raise
        if ticket.refused is not None:
            return ticket.refused
        return await self._exchange(call, ticket)

    async def _wait(self, ticket: Ticket, ready: anyio.Event) -> None:
        while not ready.is_set():
            wait_s = ticket.deadline - self._clock.monotonic()
            with anyio.move_on_after(max(0.0, min(wait_s, 0.1))):
                await ready.wait()
            if not ready.is_set():
                self._admission.expire(self._clock.monotonic())

    async def _exchange(self, call: Call, ticket: Ticket) -> Outcome:
        began = self._clock.monotonic()
        held = True
        try:
            outcome = await self._send(call, began)
            if isinstance(outcome, Done) and isinstance(
                outcome.response.body, BodyStream
            ):
                held = False
                return Done(self._hold(outcome.response, ticket, began))
            return outcome
        finally:
            if held:
                self._release(ticket, self._clock.monotonic() - began)

    async def _send(self, call: Call, now: float) -> Outcome:
        if self._too_late(call):
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline passed in the queue."
            )
        try:
            with anyio.fail_after(call.deadline - now):
                response = await self._sender.send(
                    self._server, nested_request(call, now), CONNECT_TIMEOUT_S
                )
        except ConnectFailedError:
            return NotRun(
                ResultCode.CONNECT_FAILED,
                "The server takes no connection.",
                1.0,
            )
        except ExchangeBrokenError:
            return Unknown(
                ResultCode.EXCHANGE_BROKEN, "The server's answer broke off."
            )
        except TimeoutError:
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server did not answer in time.",
            )
        if response.status == 503 and header(response.headers, SHED_FIELD):
            return NotRun(
                ResultCode.SERVER_SHED, "The server shed the request.", 1.0
            )
        return Done(response)

    def _too_late(self, call: Call) -> bool:
        if self._clock.monotonic() >= call.deadline:
            return True
        return self._clock.now().timestamp() * 1000 >= call.expires_ms

    def _release(self, ticket: Ticket, service_s: float) -> None:
        if service_s:
            self._service_s += _SMOOTHING * (service_s - self._service_s)
        self._admission.release(ticket, self._clock.monotonic(), service_s)
        if self._drained is not None and self._idle():
            self._drained.set()

    def _idle(self) -> bool:
        return not self._admission.in_flight and not self._admission.queued

    def _hold(
        self, response: Response, ticket: Ticket, began: float
    ) -> Response:
        """Returns `response` with a body that holds the slot until its end."""

        def release() -> None:
            self._release(ticket, self._clock.monotonic() - began)

        body = HeldStream(response.body, release)
        return Response(
            response.status, response.headers, body, response.body_bytes
        )


class HeldStream(BodyStream):
    """A stream that calls `release` once, when it ends or is aborted."""

    def __init__(self, body: Body, release: Callable[[], None]) -> None:
        assert isinstance(body, BodyStream)
        self._body = body
        self._release: Callable[[], None] | None = release

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._body:
                yield piece
        finally:
            self._finish()

    def abort(self) -> None:
        self._body.abort()
        self._finish()

    def _finish(self) -> None:
        release, self._release = self._release, None
        if release is not None:
            release()
