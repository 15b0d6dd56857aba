"""The task that requests the load of the backend server by health checks."""

from collections.abc import Callable

import anyio

from radishwind.core.clock import Clock
from radishwind.core.time_limit import TimeLimit
from radishwind.http.errors import InvalidResponseError
from radishwind.http.errors import SendError
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import ResponseMatch
from radishwind.http.sender import Sender
from radishwind.http.types import Headers
from radishwind.http.types import read_body
from radishwind.http.types import Response
from radishwind.target.backend_server import ServerView
from radishwind.target.dialect import MAX_HEALTH_BYTES
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import ServerDialect
from radishwind.target.load_monitor import IDLE_REPORT_AGE_S
from radishwind.target.load_monitor import INITIAL_CHECK_INTERVAL_S
from radishwind.target.load_monitor import LoadMonitor
from radishwind.telemetry.part_logger import PartLogger

#: Timeout of a health check (s).
CHECK_TIMEOUT_S = 0.4

#: Pause after an invalid response (s), which may have cost much to read.
INVALID_RESPONSE_PAUSE_S = 0.5


class _HealthCheck(ResponseCheck):
    """Rejects the responses to requests, which name these."""

    def __init__(self, dialect: ServerDialect) -> None:
        self._dialect = dialect

    def match(self, status: int, headers: Headers) -> ResponseMatch:
        response = Response(status, headers)
        if self._dialect.parse_health_response(response).matches_request:
            return ResponseMatch.OWN
        return ResponseMatch.FOREIGN


class LoadPoller:
    """Sends a health check whenever the monitor says so, one at a time.

    Health responses name no request. Health checks therefore have connections
    of their own, on which no late response to one can meet a request.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sender: Sender,
        dialect: ServerDialect,
        monitor: LoadMonitor,
        view: Callable[[], ServerView | None],
        on_sent: Callable[[], None],
        on_response: Callable[[ResponseMetadata, bool, float], None],
        on_unreachable: Callable[[], None],
    ) -> None:
        """Creates the task.

        Args:
          clock: the clock.
          sender: sends the health checks, and nothing else.
          dialect: builds them and parses the responses.
          monitor: decides when a check is due and receives the load.
          view: returns the server; `None` if none is to be checked.
          on_sent: called with each check that is sent.
          on_response: called with what the response to a check states, whether
            its status is a success, and when the check was sent (monotonic s).
          on_unreachable: called when the server accepts no connection.
        """
        self._clock = clock
        self._log = PartLogger("target", clock)
        self._check = _HealthCheck(dialect)
        self._sender = sender
        self._dialect = dialect
        self._monitor = monitor
        self._view = view
        self._on_sent = on_sent
        self._on_response = on_response
        self._on_unreachable = on_unreachable
        self._use_resumed = anyio.Event()
        monitor.subscribe_use(lambda: self._use_resumed.set())

    async def run(self) -> None:
        """Sends health checks until cancelled."""
        while True:
            view = self._view()
            wait_s = self._monitor.next_check_s()
            if view is None or not view.health_path:
                await anyio.sleep(INITIAL_CHECK_INTERVAL_S)
                continue
            if wait_s > 0:
                await self._wait(wait_s)
                continue
            self._monitor.record_check_sent()
            if not await self.send_check(view):
                await anyio.sleep(INVALID_RESPONSE_PAUSE_S)

    async def _wait(self, for_s: float) -> None:
        """Waits until a check is due or an idle server is used.

        Short waits are not interrupted: cancelling a wait by a timeout took
        0.1 ms in a profile, and there are seven of them a second.
        """
        if for_s < IDLE_REPORT_AGE_S / 2:
            await anyio.sleep(max(for_s, 0.001))
            return
        with anyio.move_on_after(for_s):
            await self._use_resumed.wait()
        self._use_resumed = anyio.Event()

    async def send_check(self, view: ServerView) -> bool:
        """Sends one health check; a failed one also delays the next.

        Returns:
          Whether no invalid response came.
        """
        self._monitor.checks_sent += 1
        self._on_sent()
        began = self._clock.monotonic()
        try:
            with TimeLimit(CHECK_TIMEOUT_S):
                response = await self._sender.send(
                    view.address,
                    self._dialect.build_health_request(view.health_path),
                    CHECK_TIMEOUT_S,
                    self._check,
                )
                await read_body(response.body, MAX_HEALTH_BYTES)
        except InvalidResponseError as exc:
            self._monitor.last_reported = began
            self._log.warning(
                "A health check got no valid response.",
                incarnation=view.instance,
                reason=str(exc)[:120],
            )
            return False
        except SendError:
            self._monitor.last_reported = began
            self._on_unreachable()
            return True
        except TimeoutError:
            self._monitor.last_reported = began
            return True
        metadata = self._dialect.parse_health_response(response)
        if metadata.load is not None:
            self._monitor.record_load(metadata.load, began)
        else:
            self._monitor.last_reported = began
        self._on_response(metadata, response.status < 300, began)
        return True
