"""What the link of an instance carries, and what it has left."""

from radishwind.core.clock import Clock
from radishwind.http.meter import ByteMeter

#: How long one count lasts, and how many are kept (s).
STEP_S = 0.1
STEPS = 10

#: The part of a link that counts as free however full it is: what was sent
#: before may have just ended.
LEAST_FREE_PART = 0.05

_BITS_PER_BYTE = 8
_KBIT_PER_MBIT = 1000
_BITS_PER_MBIT = 1e6


class LinkMeter(ByteMeter):
    """Bytes that were sent and received, of late.

    Both ways of a link carry its full rate at once; the fuller one counts.

    Attributes:
      sent_bytes: since the start.
      received_bytes: since the start.
    """

    def __init__(self, link_mbps: float, clock: Clock) -> None:
        """Makes a meter that has seen nothing.

        Args:
          link_mbps: what the link carries each way (Mbit/s); 0 if not known.
          clock: the clock.
        """
        self._mbps = link_mbps
        self._clock = clock
        self._step = 0
        self._sent = [0] * STEPS
        self._received = [0] * STEPS
        # What was sent and can't have left yet (s of the link), as of a time.
        self._queue_s = 0.0
        self._queued_at = clock.monotonic()
        self.sent_bytes = 0
        self.received_bytes = 0

    def sent(self, size: int) -> None:
        self._follow()
        self._sent[self._step % STEPS] += size
        self._queue_s = self._left_s() + self.transmission_s(size)
        self._queued_at = self._clock.monotonic()
        self.sent_bytes += size

    def received(self, size: int) -> None:
        self._follow()
        self._received[self._step % STEPS] += size
        self.received_bytes += size

    def utilization(self) -> float:
        """Returns the part of the link used in a second; 0 if not known."""
        self._follow()
        size = max(sum(self._sent), sum(self._received))
        return min(1.0, self.transmission_s(size) / (STEP_S * STEPS))

    def recent_utilization(self) -> float:
        """Returns the part used in the last whole step; 0 if not known."""
        self._follow()
        last = (self._step - 1) % STEPS
        size = max(self._sent[last], self._received[last])
        return min(1.0, self.transmission_s(size) / STEP_S)

    def free_kbps(self) -> int:
        """Returns what the link has left (kbit/s); 0 if not known."""
        if not self._mbps:
            return 0
        free = max(LEAST_FREE_PART, 1 - self.utilization())
        return max(1, int(free * self._mbps * _KBIT_PER_MBIT))

    def transmission_s(self, size: int) -> float:
        """Returns how long the link takes for `size` bytes (s)."""
        if not self._mbps:
            return 0.0
        return size * _BITS_PER_BYTE / (self._mbps * _BITS_PER_MBIT)

    def queue_s(self, expected_bytes: int = 0) -> float:
        """Returns how long what is to be sent will take (s).

        Args:
          expected_bytes: what will come beside what was sent (bytes).
        """
        return self._left_s() + self.transmission_s(expected_bytes)

    def _left_s(self) -> float:
        return max(
            0.0, self._queue_s - (self._clock.monotonic() - self._queued_at)
        )

    def _follow(self) -> None:
        """Begins the step of now, and forgets those that it replaces."""
        step = int(self._clock.monotonic() / STEP_S)
        if step == self._step:
            return
        for passed in range(max(self._step + 1, step - STEPS + 1), step + 1):
            self._sent[passed % STEPS] = 0
            self._received[passed % STEPS] = 0
        self._step = step
