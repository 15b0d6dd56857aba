"""Measures the utilization and free capacity of the node's network link."""

from radishwind.core.clock import Clock
from radishwind.http.byte_meter import ByteMeter

#: Length of a bucket of byte counts (s), and the number of buckets kept.
BUCKET_S = 0.1
BUCKET_COUNT = 10

#: Fraction of the link reported as free even if it is fully used, since the
#: transfers that used it may just have ended.
MIN_FREE_FRACTION = 0.05

_BITS_PER_BYTE = 8
_KBIT_PER_MBIT = 1000
_BITS_PER_MBIT = 1e6


class LinkMeter(ByteMeter):
    """Counts sent and received bytes over the last second.

    The link is full duplex: each direction has the full rate, and the busier
    one determines the utilization.

    Attributes:
      sent_bytes: bytes sent since the start.
      received_bytes: bytes received since the start.
    """

    def __init__(self, link_mbps: float, clock: Clock) -> None:
        """Creates a meter without traffic.

        Args:
          link_mbps: rate of the link in each direction (Mbit/s); 0 if not
            known.
          clock: source of the time.
        """
        self._link_mbps = link_mbps
        self._clock = clock
        self._bucket = 0
        self._sent = [0] * BUCKET_COUNT
        self._received = [0] * BUCKET_COUNT
        # Time that the link needed for the bytes not yet transmitted (s), as
        # of `_queue_updated` (monotonic s).
        self._queue_s = 0.0
        self._queue_updated = clock.monotonic()
        self.sent_bytes = 0
        self.received_bytes = 0

    def record_sent(self, size: int) -> None:
        self._advance()
        self._sent[self._bucket % BUCKET_COUNT] += size
        self._queue_s = self._remaining_queue_s() + self.transmission_s(size)
        self._queue_updated = self._clock.monotonic()
        self.sent_bytes += size

    def record_received(self, size: int) -> None:
        self._advance()
        self._received[self._bucket % BUCKET_COUNT] += size
        self.received_bytes += size

    def utilization(self) -> float:
        """Returns the fraction of the link used in the last second.

        It is 0 if the rate of the link isn't known.
        """
        self._advance()
        size = max(sum(self._sent), sum(self._received))
        return min(1.0, self.transmission_s(size) / (BUCKET_S * BUCKET_COUNT))

    def recent_utilization(self) -> float:
        """Returns the fraction used in the last complete bucket.

        It is 0 if the rate of the link isn't known.
        """
        self._advance()
        last = (self._bucket - 1) % BUCKET_COUNT
        size = max(self._sent[last], self._received[last])
        return min(1.0, self.transmission_s(size) / BUCKET_S)

    def free_kbps(self) -> int:
        """Returns the free capacity of the link (kbit/s); 0 if not known."""
        if not self._link_mbps:
            return 0
        free = max(MIN_FREE_FRACTION, 1 - self.utilization())
        return max(1, int(free * self._link_mbps * _KBIT_PER_MBIT))

    def transmission_s(self, size: int) -> float:
        """Returns the transmission time of `size` bytes (s)."""
        if not self._link_mbps:
            return 0.0
        return size * _BITS_PER_BYTE / (self._link_mbps * _BITS_PER_MBIT)

    def queue_s(self, expected_bytes: int = 0) -> float:
        """Returns the time until the bytes queued at the link are sent (s).

        Args:
          expected_bytes: further bytes that are expected to be queued.
        """
        return self._remaining_queue_s() + self.transmission_s(expected_bytes)

    def _remaining_queue_s(self) -> float:
        return max(
            0.0, self._queue_s - (self._clock.monotonic() - self._queue_updated)
        )

    def _advance(self) -> None:
        """Starts the current bucket and clears those that have expired."""
        bucket = int(self._clock.monotonic() / BUCKET_S)
        if bucket == self._bucket:
            return
        for number in range(
            max(self._bucket + 1, bucket - BUCKET_COUNT + 1), bucket + 1
        ):
            self._sent[number % BUCKET_COUNT] = 0
            self._received[number % BUCKET_COUNT] = 0
        self._bucket = bucket
