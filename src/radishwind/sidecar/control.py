"""The control listener: heartbeats of the server beside."""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
from radishwind.outcomes import problem_response
from radishwind.platform.heartbeats import Heartbeat
from radishwind.platform.heartbeats import read_call
from radishwind.target.leaving_records import LeavingRecords
from radishwind.target.registered_server import Registration
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.logs import PartLogger

#: The part of the bound on acknowledging that keeping the word may take; the
#: server gives up on a call after a second and calls again.
KEEP_WITHIN_S = 0.8

_JSON = (("Content-Type", "application/json"),)
_ACKNOWLEDGED = b"{}"


class HeartbeatListener:
    """Acknowledges heartbeats, those of one that leaves once that is kept."""

    def __init__(
        self,
        *,
        clock: Clock,
        register: Callable[[Registration], bool],
        meant_by: Callable[[ServerProcess], ServerProcess],
        serves: Callable[[str], bool],
        records: LeavingRecords,
        known: Callable[[], bool],
    ) -> None:
        """Wires the listener.

        Args:
          clock: the clock.
          register: takes what a heartbeat tells.
          meant_by: returns the life that one told without its start is.
          serves: returns whether a service is one that may stand here.
          records: keeps which incarnations leave.
          known: returns whether the records of before are known.
        """
        self._register = register
        self._meant_by = meant_by
        self._serves = serves
        self.malformed = 0
        self._records = records
        self._known = known
        self._pending: Registration | None = None
        self._log = PartLogger("control", clock)

    async def handle(self, request: Request) -> Response:
        """Answers one call of the server beside."""
        body = await whole_body(request.body)
        try:
            heartbeat = read_call(request, body)
        except RadishwindError as exc:
            return self._left_out(exc.code, str(exc))
        if heartbeat is None:
            return problem_response(
                ResultCode.SERVICE_UNKNOWN,
                f"expected a heartbeat, got {request.path[:80]!r}",
                "not-run",
            )
        if heartbeat.service and not self._serves(heartbeat.service):
            return self._left_out(
                ResultCode.PLATFORM_MALFORMED,
                "heartbeat: expected a service of the configuration, got "
                f"{heartbeat.service[:80]!r}",
            )
        told = _registration(heartbeat)
        if told.is_leaving:
            return await self._leave(told)
        if self._known():
            self._register(told)
        else:
            self._pending = told
        return Response(200, _JSON, _ACKNOWLEDGED, len(_ACKNOWLEDGED))

    def _left_out(self, code: ResultCode, reason: str) -> Response:
        """Refuses a call that names no server to use; the others hold."""
        self.malformed += 1
        self._log.warning("A heartbeat is left out.", reason=reason)
        return problem_response(code, reason, "not-run")

    def records_known(self) -> None:
        """Takes that the records of before are known now."""
        pending, self._pending = self._pending, None
        if pending is not None:
            self._register(pending)

    async def _leave(self, told: Registration) -> Response:
        """Stops new work at once, and acknowledges once that is kept."""
        life = self._meant_by(told.process)
        pending = self._pending
        if pending and pending.process.may_equal(life):
            self._pending = None
            if not life.started_ms:
                life = pending.process
                told = msgspec.structs.replace(told, started_ms=life.started_ms)
        self._register(told)
        if await self._records.persist(life, KEEP_WITHIN_S):
            return Response(200, _JSON, _ACKNOWLEDGED, len(_ACKNOWLEDGED))
        return problem_response(
            ResultCode.STORE_UNAVAILABLE,
            "Nobody keeps the word yet; call again.",
            "not-run",
            KEEP_WITHIN_S,
        )


def _registration(heartbeat: Heartbeat) -> Registration:
    return Registration(
        heartbeat.incarnation,
        heartbeat.service,
        heartbeat.address,
        heartbeat.slots,
        heartbeat.draining or heartbeat.gone,
        heartbeat.cold_s,
        heartbeat.order,
        heartbeat.started_ms,
    )


class Readiness:
    """Answers the platform's question whether the node takes callers.

    Attributes:
      refusals: how often it was told that the node does not.
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Answers by what `ready` returns."""
        self._ready = ready
        self.refusals = 0

    async def handle(self, request: Request) -> Response:
        """Answers one question."""
        if self._ready():
            return Response(200, (), b"", 0)
        self.refusals += 1
        return Response(503, (), b"", 0)
