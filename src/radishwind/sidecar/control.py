"""The handlers of heartbeats and of readiness checks."""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import problem_response
from radishwind.platform.heartbeats import decode_heartbeat
from radishwind.platform.heartbeats import Heartbeat
from radishwind.platform.heartbeats import MAX_BODY_BYTES
from radishwind.target.leaving_records import LeavingRecords
from radishwind.target.registered_server import Registration
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.part_logger import PartLogger

#: Longest wait for storing that an incarnation is leaving. The server gives up
#: on a call after 1 s and calls again.
PERSIST_TIMEOUT_S = 0.8

_JSON = (("Content-Type", "application/json"),)
_EMPTY_BODY = b"{}"


class HeartbeatListener:
    """Acknowledges heartbeats and deregistrations of the local server.

    One that announces that the server is leaving is acknowledged only once the
    store holds that.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        register: Callable[[Registration], bool],
        resolve: Callable[[ServerProcess], ServerProcess],
        is_service_allowed: Callable[[str], bool],
        records: LeavingRecords,
        are_records_loaded: Callable[[], bool],
    ) -> None:
        """Wires the listener.

        Args:
          clock: the clock.
          register: accepts the registration in a heartbeat.
          resolve: returns the server process that is meant where a call does
            not name its start time.
          is_service_allowed: returns whether a server of the service may run
            beside this node.
          records: stores which incarnations are leaving.
          are_records_loaded: returns whether the leaving records stored before
            the start of this node are loaded.
        """
        self._register = register
        self._resolve = resolve
        self._is_service_allowed = is_service_allowed
        self.malformed_count = 0
        self._records = records
        self._are_records_loaded = are_records_loaded
        self._pending: Registration | None = None
        self._log = PartLogger("control", clock)

    async def handle(self, request: Request) -> Response:
        """Handles one call of the local backend server."""
        size = request.body_bytes
        if size is None or size > MAX_BODY_BYTES:
            return self._refuse(
                ResultCode.PLATFORM_MALFORMED,
                f"heartbeat: expected a body of at most {MAX_BODY_BYTES} "
                f"bytes, got {size}",
            )
        body = await read_body(request.body)
        try:
            heartbeat = decode_heartbeat(request, body)
        except RadishwindError as exc:
            return self._refuse(exc.code, str(exc))
        if heartbeat is None:
            return problem_response(
                ResultCode.SERVICE_UNKNOWN,
                f"expected a heartbeat, got {request.path[:80]!r}",
                "not-run",
            )
        if heartbeat.service and not self._is_service_allowed(
            heartbeat.service
        ):
            return self._refuse(
                ResultCode.PLATFORM_MALFORMED,
                "heartbeat: expected a service of the configuration, got "
                f"{heartbeat.service[:80]!r}",
            )
        registration = _registration(heartbeat)
        if registration.is_leaving:
            return await self._leave(registration)
        if self._are_records_loaded():
            self._pending = None
            self._register(registration)
        else:
            self._pending = registration
        return Response(200, _JSON, _EMPTY_BODY, len(_EMPTY_BODY))

    def _refuse(self, code: ResultCode, reason: str) -> Response:
        """Refuses a malformed call; earlier heartbeats stay in force."""
        self.malformed_count += 1
        self._log.warning("A malformed heartbeat is left out.", reason=reason)
        return problem_response(code, reason, "not-run")

    def on_records_loaded(self) -> None:
        """Registers the heartbeat that waited for the leaving records."""
        pending, self._pending = self._pending, None
        if pending is not None:
            self._register(pending)

    async def _leave(self, registration: Registration) -> Response:
        """Stops new work at once; acknowledges once the record is stored."""
        process = self._resolve(registration.process)
        pending = self._pending
        if pending and pending.process.may_equal(process):
            self._pending = None
            if not process.started_ms:
                process = pending.process
                registration = msgspec.structs.replace(
                    registration, started_ms=process.started_ms
                )
        self._register(registration)
        if await self._records.persist(process, PERSIST_TIMEOUT_S):
            return Response(200, _JSON, _EMPTY_BODY, len(_EMPTY_BODY))
        # The server may end without calling again.
        self._records.announce(process)
        return problem_response(
            ResultCode.STORE_UNAVAILABLE,
            "The leaving record is not stored yet; call again.",
            "not-run",
            PERSIST_TIMEOUT_S,
        )


def _registration(heartbeat: Heartbeat) -> Registration:
    return Registration(
        heartbeat.incarnation,
        heartbeat.service,
        heartbeat.address,
        heartbeat.slots,
        heartbeat.is_draining or heartbeat.is_deregistered,
        heartbeat.warmup_left_s,
        heartbeat.sequence,
        heartbeat.started_ms,
    )


class Readiness:
    """Answers the readiness checks of the platform.

    Attributes:
      not_ready_count: number of checks answered "not ready".
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answers checks by the result of `is_ready`."""
        self._is_ready = is_ready
        self.not_ready_count = 0

    async def handle(self, request: Request) -> Response:
        """Answers one readiness check."""
        if self._is_ready():
            return Response(200, (), b"", 0)
        self.not_ready_count += 1
        return Response(503, (), b"", 0)
