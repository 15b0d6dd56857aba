"""The planned shutdown, which answers every request that was read.

1. The readiness endpoint reports "not ready" to the platform, and each response
   closes its connection. The local backend server still accepts new work, since
   its slots are needed until the callers are routed to other nodes.
2. Once they are, other nodes are notified, and the target refuses new work.
3. Requests in progress are finished. A request so late that its response might
   not be sent before the end of the grace period is refused, truthfully as not
   run.
   A call that came after the signal has its deadline before the listeners
   close; what then still waits for a slot is refused.
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
from radishwind.platform.responses import caller_response
from radishwind.sidecar.control import Readiness
from radishwind.sidecar.options import RETRY_AFTER_S
from radishwind.supervision import StopSteps
from radishwind.target.pipeline import TargetPipeline
from radishwind.telemetry.part_logger import PartLogger

#: Number of "not ready" responses after which the platform no longer routes
#: callers to this node.
NOT_READY_RESPONSES = 2

#: Longest wait for these responses after the signal. The platform checks once a
#: second and removes a node after two failed checks.
NOTICE_S = 2.3

#: A request already on its way when the platform removed the node arrives
#: within this time: 8 ms of network delay to callers, and a wait for the
#: processor.
QUIET_S = 0.2

#: Interval between checks of the number of "not ready" responses.
_POLL_INTERVAL_S = 0.05

#: Fraction of the grace period in which requests are accepted. The rest of a
#: grace period of 6 s suffices for the longest runs, of 0.5 s at a pace of 5.
ACCEPT_FRACTION = 0.45

#: Fraction of the grace period after which connections are closed at the
#: latest. The rest is for the exit of the process.
CLOSE_FRACTION = 0.88

#: Time for a response on its way to a caller before the listeners close (s).
_DELIVERY_S = 0.2

#: Time reserved for advertising that the node has left.
_ADVERTISE_LEFT_S = 0.6


class DepartureNotices(msgspec.Struct, frozen=True):
    """Functions by which a node that shuts down notifies other nodes.

    Attributes:
      advertise_leaving: advertises that the target refuses new work.
      advertise_left: advertises that the node has left.
    """

    advertise_leaving: Callable[[], None]
    advertise_left: Callable[[], Awaitable[object]]


class GracefulShutdown:
    """Shuts a node down in the steps described above."""

    def __init__(
        self,
        *,
        clock: Clock,
        grace_s: float,
        readiness: Readiness,
        callers: RequestsInProgress,
        attempts: RequestsInProgress,
        target: TargetPipeline,
        notices: DepartureNotices,
        limit_deadlines: Callable[[float], None],
        steps: StopSteps | None = None,
    ) -> None:
        """Wires the shutdown.

        Args:
          clock: the clock.
          grace_s: time that the platform grants between the signal and the kill
            of the process (s).
          readiness: counts the "not ready" responses to the platform.
          callers: requests of callers in progress.
          attempts: attempts forwarded by other nodes in progress.
          target: the own target, which runs the attempts.
          notices: notify other nodes.
          limit_deadlines: sets when the calls from now on must end at the
            latest (monotonic s).
          steps: runs the steps, so that an error in one cuts no other.
        """
        self._clock = clock
        self._grace_s = grace_s
        self._readiness = readiness
        self._callers = callers
        self._attempts = attempts
        self._target = target
        self._notices = notices
        self._limit_deadlines = limit_deadlines
        self._steps = steps or StopSteps()
        self._log = PartLogger("stop", clock)

    async def run(self, servers: Sequence[Server]) -> None:
        """Shuts the node down; returns once all `servers` are closed."""
        began = self._clock.monotonic()
        steps = self._steps
        steps.call("callers", self._callers.request_connection_close)
        closes_at = began + self._grace_s * CLOSE_FRACTION
        steps.call("deadlines", self._limit_deadlines, closes_at - _DELIVERY_S)
        not_ready_before = self._readiness.not_ready_count
        await steps.run("rerouting", self._wait_until_callers_rerouted, began)
        self._log.change(
            "Callers are routed to other nodes; the target refuses new work.",
            after_s=round(self._elapsed_s(began), 3),
            told_not_ready=self._readiness.not_ready_count - not_ready_before,
            in_progress=self._callers.count,
        )
        steps.call("leaving", self._notices.advertise_leaving)
        steps.call("target", self._target.refuse_new_work)
        steps.call("attempts", self._attempts.request_connection_close)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                steps.run, "late_requests", self._refuse_late_requests, began
            )
            await self._wait_until_finished(began)
            tasks.cancel_scope.cancel()
        steps.call("queue", self._target.refuse_queued)
        self._log.change(
            "All requests are finished."
            if not self._callers.count
            else "The grace period ends with requests in progress.",
            after_s=round(self._clock.monotonic() - began, 3),
            callers=self._callers.count,
        )
        await steps.run("left", self._notices.advertise_left)
        await steps.run("callers", self._callers.read_arrivals)
        remaining_s = self._grace_s * CLOSE_FRACTION - self._elapsed_s(began)
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(
                    steps.run, "listeners", server.close, max(0.1, remaining_s)
                )

    async def _wait_until_callers_rerouted(self, began: float) -> None:
        """Waits until the platform routes no more callers to this node."""
        required = self._readiness.not_ready_count + NOT_READY_RESPONSES
        while self._elapsed_s(began) < NOTICE_S:
            if self._readiness.not_ready_count >= required:
                return
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _refuse_late_requests(self, began: float) -> None:
        accept_s = self._grace_s * ACCEPT_FRACTION - self._elapsed_s(began)
        await anyio.sleep(max(0.0, accept_s))
        self._callers.refuse_new_requests()

    async def _wait_until_finished(self, began: float) -> None:
        """Waits for requests in progress, limited by the grace period."""
        steps = self._steps
        limit_s = self._grace_s * CLOSE_FRACTION - _ADVERTISE_LEFT_S
        with anyio.move_on_after(max(0.5, limit_s - self._elapsed_s(began))):
            await steps.run("callers", self._callers.wait_quiet, QUIET_S)
            await steps.run("callers", self._callers.wait_idle)
            await steps.run("target", self._target.wait_drained)
            await steps.run("attempts", self._attempts.wait_quiet, QUIET_S)
            await steps.run("attempts", self._attempts.wait_idle)

    def _elapsed_s(self, began: float) -> float:
        return self._clock.monotonic() - began


def late_request_response() -> Response:
    """Returns the response to a request that arrives late in a shutdown."""
    return caller_response(
        NotRun(ResultCode.LEAVING, "The node is shutting down.", RETRY_AFTER_S)
    )
