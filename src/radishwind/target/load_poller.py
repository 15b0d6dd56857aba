"""The task that looks at the server beside into silence."""

from collections.abc import Callable

import anyio

from radishwind.core.clock import Clock
from radishwind.core.timelimit import TimeLimit
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import whole_body
from radishwind.target.backend_server import ServerView
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import ServerDialect
from radishwind.target.load_monitor import IDLE_SILENCE_S
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.load_monitor import SEARCH_SILENCE_S

#: How long a health check may take (s).
CHECK_TIMEOUT_S = 0.4


class LoadPoller:
    """The task that asks the server into silence, one check at a time."""

    def __init__(
        self,
        *,
        clock: Clock,
        sender: Sender,
        dialect: ServerDialect,
        pulse: LoadMonitor,
        view: Callable[[], ServerView | None],
        answered: Callable[[ResponseMetadata, bool, float], None],
        unreachable: Callable[[], None],
    ) -> None:
        """Wires the task.

        Args:
          clock: the clock.
          sender: sends the health checks.
          dialect: makes and reads them.
          pulse: takes the figures.
          view: returns the server, `None` where none is to be asked.
          answered: takes what a check told, whether it was a good one, and
            when it was sent (monotonic s).
          unreachable: called where the server takes no connection.
        """
        self._clock = clock
        self._sender = sender
        self._dialect = dialect
        self._pulse = pulse
        self._view = view
        self._answered = answered
        self._unreachable = unreachable

    async def run(self) -> None:
        """Asks until cancelled."""
        self._used = anyio.Event()
        self._pulse.subscribe_use(lambda: self._used.set())
        while True:
            view = self._view()
            wait_s = self._pulse.next_check_s()
            if view is None or not view.health_path:
                await anyio.sleep(SEARCH_SILENCE_S)
                continue
            if wait_s > 0:
                await self._wait(wait_s)
                continue
            self._pulse.record_check_sent()
            await self.check(view)

    async def _wait(self, for_s: float) -> None:
        """Waits until a look is due, or an idle server is used.

        Short waits are slept through: to cancel a wait by its time took 0.1 ms
        in a profile, and there are seven a second.
        """
        if for_s < IDLE_SILENCE_S / 2:
            await anyio.sleep(max(for_s, 0.001))
            return
        with anyio.move_on_after(for_s):
            await self._used.wait()
        self._used = anyio.Event()

    async def check(self, view: ServerView) -> None:
        """Sends one health check; a failed one counts as heard of."""
        self._pulse.checks_sent += 1
        began = self._clock.monotonic()
        try:
            with TimeLimit(CHECK_TIMEOUT_S):
                response = await self._sender.send(
                    view.address,
                    self._dialect.build_health_request(view.health_path),
                    CHECK_TIMEOUT_S,
                )
                await whole_body(response.body)
        except SendError:
            self._pulse.last_reported = began
            self._unreachable()
            return
        except TimeoutError:
            self._pulse.last_reported = began
            return
        answer = self._dialect.parse_health_response(response)
        if answer.load is not None:
            self._pulse.record_load(answer.load, began)
        else:
            self._pulse.last_reported = began
        self._answered(answer, response.status < 300, began)
