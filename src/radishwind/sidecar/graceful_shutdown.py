"""The planned stop: no request that was read goes without its answer.

1. The platform is told that the node isn't ready, and each answer closes its
   connection. The server beside goes on with new work: until the callers have
   been sent elsewhere its slots are as good as before.
2. Once they have, other nodes are told, and the target takes nothing new.
3. What is in progress is finished. A request that comes so late that its answer
   could miss the end of the grace is refused, which is true: it has not run.
4. The listeners close.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.http.server import Server
from radishwind.http.types import Response
from radishwind.node.requests_in_progress import RequestsInProgress
from radishwind.outcomes import NotRun
from radishwind.platform.answers import respond
from radishwind.sidecar.control import Readiness
from radishwind.sidecar.options import RETRY_S
from radishwind.target.pipeline import TargetPipeline
from radishwind.telemetry.logs import PartLogger

#: Answers "not ready" after which the platform sends no caller here any more.
REFUSALS_ENOUGH = 2

#: Callers are taken for this long after the signal at the most (s): the
#: platform asks once a second and takes a node out after two misses.
NOTICE_S = 2.3

#: A request already on its way to us when the platform took the node out comes
#: within this time (s): 8 ms to callers, and a wait for the processor.
QUIET_S = 0.2

#: How often it is looked whether the platform has asked (s).
_LOOK_S = 0.05

#: Requests are taken up to this part of the grace. In the other half of 6 s a
#: run of the longest kind ends, 0.5 s at a pace of 5.
TAKE_PART = 0.45

#: From the signal until connections are closed at the latest, as a part of the
#: grace; the rest is for the way out of the process.
CLOSE_PART = 0.88

#: Time kept for saying that it has left (s).
_SAY_LEFT_S = 0.6


class DepartureNotices(msgspec.Struct, frozen=True):
    """What a stopping node tells others.

    Attributes:
      leaving: tells that the target takes nothing new.
      left: tells that the node is gone.
    """

    leaving: Callable[[], None]
    left: Callable[[], Awaitable[object]]


class GracefulShutdown:
    """Ends a node's part in the traffic; the steps are those above."""

    def __init__(
        self,
        *,
        clock: Clock,
        grace_s: float,
        readiness: Readiness,
        callers: RequestsInProgress,
        attempts: RequestsInProgress,
        target: TargetPipeline,
        farewell: DepartureNotices,
    ) -> None:
        """Wires a stop.

        Args:
          clock: the clock.
          grace_s: what the platform grants from the signal to the kill (s).
          readiness: counts how often the platform was told "not ready".
          callers: requests of callers.
          attempts: of other nodes, for the target here.
          target: runs them.
          farewell: tells others.
        """
        self._clock = clock
        self._grace_s = grace_s
        self._readiness = readiness
        self._callers = callers
        self._attempts = attempts
        self._target = target
        self._farewell = farewell
        self._log = PartLogger("stop", clock)

    async def run(self, servers: Sequence[Server]) -> None:
        """Returns once every listener in `servers` is closed."""
        began = self._clock.monotonic()
        self._callers.request_connection_close()
        told = self._readiness.refusals
        await self._until_callers_gone(began)
        self._log.change(
            "Callers are sent elsewhere; the target takes nothing new.",
            after_s=round(self._elapsed_s(began), 3),
            told_not_ready=self._readiness.refusals - told,
            in_progress=self._callers.count,
        )
        self._farewell.leaving()
        self._target.refuse_new_work()
        self._attempts.request_connection_close()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._refuse_late, began)
            await self._finish(began)
            tasks.cancel_scope.cancel()
        self._log.change(
            "Nothing is in progress."
            if not self._callers.count
            else "The grace ends before what is in progress.",
            after_s=round(self._clock.monotonic() - began, 3),
            callers=self._callers.count,
        )
        await self._farewell.left()
        left_s = self._grace_s * CLOSE_PART - self._elapsed_s(began)
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(server.close, max(0.1, left_s))

    async def _until_callers_gone(self, began: float) -> None:
        """Waits until the platform sends no caller here any more."""
        told = self._readiness.refusals + REFUSALS_ENOUGH
        while self._elapsed_s(began) < NOTICE_S:
            if self._readiness.refusals >= told:
                return
            await anyio.sleep(_LOOK_S)

    async def _refuse_late(self, began: float) -> None:
        take_s = self._grace_s * TAKE_PART - self._elapsed_s(began)
        await anyio.sleep(max(0.0, take_s))
        self._callers.refuse_new_requests()

    async def _finish(self, began: float) -> None:
        """Waits for what is in progress, as long as the grace allows."""
        most_s = self._grace_s * CLOSE_PART - _SAY_LEFT_S
        with anyio.move_on_after(max(0.5, most_s - self._elapsed_s(began))):
            await self._callers.wait_quiet(QUIET_S)
            await self._callers.wait_idle()
            await self._target.wait_drained()
            await self._attempts.wait_quiet(QUIET_S)
            await self._attempts.wait_idle()

    def _elapsed_s(self, began: float) -> float:
        return self._clock.monotonic() - began


def late_request_response() -> Response:
    """Returns the answer to a caller that comes late in a planned stop."""
    return respond(NotRun(ResultCode.LEAVING, "The node stops.", RETRY_S))
