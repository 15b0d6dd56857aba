"""Checks that no node ends by itself, and that none leaves a request open."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import re
import signal

from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_server import PlatformServerStandin

#: Exit code of a node ended by SIGKILL.
_KILLED_EXIT_CODE = -signal.SIGKILL

#: A request whose connection is closed later than this after it was sent has
#: been read before, and must be answered (s).
_CROSSING_S = 0.2

#: Interval at which a node that has ended is checked for its restart (s).
_POLL_INTERVAL_S = 0.02

_LETTER = re.compile("[a-zA-Z]")

#: Part of the log of a node that ended which violations quote (characters).
_QUOTED_CHARS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request of a caller whose connection ended without an answer.

    Attributes:
      request_id: ID of the request.
      node: name of the node that it was sent to.
      sent_at: when it was sent (monotonic s).
      ended_at: when the connection ended (monotonic s).
      reason: what the caller saw.
    """

    request_id: str
    node: str
    sent_at: float
    ended_at: float
    reason: str


class NodeExits:
    """The ends of the nodes: planned ones, kills, and ends by themselves.

    Attributes:
      violations: descriptions of the nodes that ended by themselves or with a
        wrong exit status.
      starts: when each node was started again (monotonic s), by its name.
      crossed_count: the number of requests that crossed the close of their
        connection by a node that was stopped, and were passed on to no server.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.starts: dict[str, list[float]] = collections.defaultdict(list)
        self._planned: set[str] = set()
        # From the signal to the end of the process.
        self._kills: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._stops: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.crossed_count = 0

    async def end(self, instance: Instance, number: int) -> int:
        """Ends a node by a signal, as planned until it is started again.

        Returns:
          The exit code; 0 if the node had ended by itself before.
        """
        if instance.exit_status is not None:
            return 0
        self._planned.add(instance.place.name)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        instance.signal_node(signal.Signals(number))
        exit_code = await instance.node_ended()
        spans = self._kills if number == signal.SIGKILL else self._stops
        spans[instance.place.name].append((began_at, loop.time()))
        return exit_code

    async def start(self, instance: Instance) -> None:
        """Starts a node again."""
        await instance.start_node()
        name = instance.place.name
        self._planned.discard(name)
        self.starts[name].append(asyncio.get_running_loop().time())

    def expect_none(self, instance: Instance) -> None:
        """Records that a node survived a signal that might have ended it."""
        self._planned.discard(instance.place.name)

    def record(self, instance: Instance, exit_code: int) -> None:
        """Records that a node ended as it must not."""
        self.violations.append(
            f"{instance.place.name} ended with {exit_code}, last logged: "
            f"{_read_last_line(instance)}"
        )

    async def watch(self, instance: Instance) -> None:
        """Records each end of a node that no fault asked for."""
        while True:
            pid = instance.node_pid
            exit_code = await instance.node_ended()
            if instance.place.name not in self._planned:
                self.record(instance, exit_code)
            while instance.node_pid == pid:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_INTERVAL_S)

    def find_unanswered(
        self,
        requests: Iterable[UnansweredRequest],
        servers: Iterable[PlatformServerStandin],
    ) -> list[str]:
        """Returns a violation for each request that no kill left open.

        A request may cross the close of its connection at the end of a planned
        stop, if no server got it and the close was at once.
        """
        arrived = {request_id for s in servers for request_id, _ in s.arrivals}
        violations = []
        for request in requests:
            if _overlaps(request, self._kills[request.node]):
                continue
            took_s = request.ended_at - request.sent_at
            if (
                request.request_id not in arrived
                and took_s <= _CROSSING_S
                and _overlaps(request, self._stops[request.node])
            ):
                self.crossed_count += 1
                continue
            where = "a server" if request.request_id in arrived else "no server"
            violations.append(
                f"{request.request_id}: no answer of {request.node} after "
                f"{took_s:.2f} s at {request.sent_at:.2f}, passed on to "
                f"{where}: {request.reason}"
            )
        return violations


def _overlaps(
    request: UnansweredRequest, spans: list[tuple[float, float]]
) -> bool:
    return any(
        began_at <= request.ended_at and request.sent_at <= ended_at
        for began_at, ended_at in spans
    )


def _read_last_line(instance: Instance) -> str:
    lines = instance.log_path.read_text(errors="replace").split("\n")
    # The last line of a traceback of a group is a rule.
    told = (line for line in reversed(lines) if _LETTER.search(line))
    return next(told, "nothing").strip()[:_QUOTED_CHARS]


def is_planned(exit_code: int) -> bool:
    """Returns whether a node that a fault ended may have this exit code."""
    return exit_code in (0, _KILLED_EXIT_CODE)
