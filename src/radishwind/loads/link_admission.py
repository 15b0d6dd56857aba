"""Bounds what a node takes on for others by what its link can carry.

A server may have slots free while the link before it has none: on 5 Mbit/s a
tenth of what its slots answer fits. What is on its way and what attempts in
progress will answer is counted; where that would wait longer than callers of
others bear, further large answers go elsewhere, while short ones still pass.
"""

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.loads.link_meter import LinkMeter
from radishwind.outcomes import NotRun
from radishwind.routing.chooser import LoadReport
from radishwind.routing.route_sizes import RouteSizes
from radishwind.telemetry.logs import PartLogger

#: The longest that answers may queue at the link (s).
MOST_QUEUE_S = 0.45

#: An answer that takes less of the link is always taken (s).
SHORT_S = 0.01

#: When to come back at the earliest (s).
_LEAST_RETRY_S = 0.05


class LinkAdmission:
    """What attempts in progress will put on the link.

    Attributes:
      expected_bytes: the answers of attempts in progress, as learned (bytes).
      refused: attempts refused for want of room.
      sizes: of answers, by route.
    """

    def __init__(
        self, meter: LinkMeter, sizes: RouteSizes, clock: Clock
    ) -> None:
        """Wires the room.

        Args:
          meter: knows the link and what is on its way.
          sizes: of answers, by route.
          clock: bounds what is logged.
        """
        self._log = PartLogger("loads", clock)
        self._meter = meter
        self.sizes = sizes
        self.expected_bytes = 0
        self._in_progress = 0
        self.refused = 0

    def admit(self, route: str, load: LoadReport) -> int | NotRun:
        """Takes an attempt.

        Args:
          route: the route of the attempt.
          load: of the server beside.

        Returns:
          What it was counted for, to be told at its end (bytes), or why it
          isn't taken.
        """
        size = int(self.sizes.answer_bytes(route))
        queue_s = self._queue_s(load)
        # One that would wait for nothing but itself is taken, however long.
        wait_s = queue_s + self._meter.transmission_s(size) - MOST_QUEUE_S
        if queue_s and wait_s > 0 and not self._is_short(size):
            self.refused += 1
            self._log.info(
                "The link is full; large answers go elsewhere.",
                route=route,
                answer_bytes=size,
                expected_bytes=self.expected_bytes,
                queue_ms=round(queue_s * 1000),
            )
            return NotRun(
                ResultCode.OVERLOADED,
                "The link of the target's node is full.",
                round(max(_LEAST_RETRY_S, wait_s), 3),
            )
        self.expected_bytes += size
        self._in_progress += 1
        return size

    def release(self, size: int) -> None:
        """Takes that an attempt was answered; see `begin`.

        Args:
          size: what it was counted for (bytes).
        """
        self.expected_bytes -= size
        self._in_progress -= 1

    def _queue_s(self, load: LoadReport) -> float:
        """Returns how long the link will be behind the server (s).

        While the server answers those in progress the link carries what came
        before; of a slow server's answers none waits there.
        """
        server_s = load.service_ms / 1000 * self._in_progress
        server_s /= max(1, load.slots)
        return max(0.0, self._meter.queue_s(self.expected_bytes) - server_s)

    def _is_short(self, size: int) -> bool:
        """Returns whether an answer takes next to nothing of the link."""
        return self._meter.transmission_s(size) < SHORT_S
