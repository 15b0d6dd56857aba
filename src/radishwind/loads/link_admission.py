"""Admission control of forwarded attempts by the capacity of the link.

A server may have free slots while its link is saturated: a link of 5 Mbit/s
carries a tenth of the responses that the slots can produce. The bytes queued at
the link and the expected responses of attempts in progress are counted. Where
these would queue for longer than callers at other nodes can wait, attempts with
large responses are refused, while those with small responses are admitted.
"""

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.loads.link_meter import LinkMeter
from radishwind.outcomes import NotRun
from radishwind.routing.chooser import LoadReport
from radishwind.routing.route_sizes import RouteSizes
from radishwind.telemetry.part_logger import PartLogger

#: Responses may queue at the link for up to this time (s).
MAX_QUEUE_S = 0.45

#: A response with a shorter transmission time is always admitted (s).
SMALL_RESPONSE_S = 0.01

#: Shortest time after which a refused caller may retry (s).
_MIN_RETRY_AFTER_S = 0.05


class LinkAdmission:
    """Admits attempts while the link can carry their responses.

    Attributes:
      expected_bytes: expected responses of the attempts in progress (bytes).
      refused_count: number of attempts refused because the link was full.
      sizes: learned response sizes by route.
    """

    def __init__(
        self, meter: LinkMeter, sizes: RouteSizes, clock: Clock
    ) -> None:
        """Creates the admission control without attempts in progress.

        Args:
          meter: measures the link and its queue.
          sizes: learned response sizes by route.
          clock: limits the rate of log lines.
        """
        self._log = PartLogger("loads", clock)
        self._meter = meter
        self.sizes = sizes
        self.expected_bytes = 0
        self._in_progress = 0
        self.refused_count = 0

    def admit(self, route: str, load: LoadReport) -> int | NotRun:
        """Admits or refuses an attempt.

        Args:
          route: the route of the attempt.
          load: load of the local server.

        Returns:
          The bytes reserved for the response, to be passed to `release`, or
          the refusal.
        """
        size = int(self.sizes.response_bytes(route))
        queue_s = self._queue_s(load)
        # Admitted however large if nothing else is queued.
        excess_s = queue_s + self._meter.transmission_s(size) - MAX_QUEUE_S
        if queue_s and excess_s > 0 and not self._is_small(size):
            self.refused_count += 1
            self._log.info(
                "The link is full; attempts with large responses are refused.",
                route=route,
                answer_bytes=size,
                expected_bytes=self.expected_bytes,
                queue_ms=round(queue_s * 1000),
            )
            return NotRun(
                ResultCode.OVERLOADED,
                "The link of the target's node is full.",
                round(max(_MIN_RETRY_AFTER_S, excess_s), 3),
            )
        self.expected_bytes += size
        self._in_progress += 1
        return size

    def release(self, size: int) -> None:
        """Releases the reservation of an attempt that ended.

        Args:
          size: the bytes that `admit` returned.
        """
        self.expected_bytes -= size
        self._in_progress -= 1

    def _queue_s(self, load: LoadReport) -> float:
        """Returns how long responses will queue at the link (s).

        The link drains its queue while the server runs the attempts in
        progress, so that responses of a slow server don't queue there.
        """
        server_s = load.service_ms / 1000 * self._in_progress
        server_s /= max(1, load.slots)
        return max(0.0, self._meter.queue_s(self.expected_bytes) - server_s)

    def _is_small(self, size: int) -> bool:
        """Returns whether a response uses a negligible part of the link."""
        return self._meter.transmission_s(size) < SMALL_RESPONSE_S
