"""Smoothed round-trip times to other failure domains."""

import msgspec

#: Weight of one round trip in the moving average.
SMOOTHING_WEIGHT = 0.2

#: A mean without a round trip for this time is discarded (s). Each node probes
#: a member every second, so that any reachable domain is measured more often.
STALE_AFTER_S = 10.0

#: Failure domains remembered at most; the first one added is dropped.
MAX_DOMAINS = 256


class _MeanRoundTrip(msgspec.Struct):
    mean_s: float
    updated: float


class RoundTripTimes:
    """Mean round-trip times by failure domain."""

    def __init__(self) -> None:
        self._means: dict[str, _MeanRoundTrip] = {}

    def record(self, domain: str, trip_s: float, now: float) -> None:
        """Records a round trip.

        Args:
          domain: the failure domain of the other node.
          trip_s: time from sending a message to its reply (s).
          now: monotonic time (s).
        """
        mean = self._means.get(domain)
        if mean is None or now - mean.updated > STALE_AFTER_S:
            self._means[domain] = _MeanRoundTrip(trip_s, now)
            if len(self._means) > MAX_DOMAINS:
                del self._means[next(iter(self._means))]
            return
        mean.mean_s += SMOOTHING_WEIGHT * (trip_s - mean.mean_s)
        mean.updated = now

    def mean_s(self, domain: str, now: float) -> float | None:
        """Returns the mean round-trip time (s); `None` if it is stale."""
        mean = self._means.get(domain)
        if mean is None or now - mean.updated > STALE_AFTER_S:
            return None
        return mean.mean_s

    def fresh_means_s(self, now: float) -> dict[str, float]:
        """Returns the fresh mean round-trip times by domain (s)."""
        means_s = {name: self.mean_s(name, now) for name in self._means}
        return {
            n: trip_s for n, trip_s in means_s.items() if trip_s is not None
        }
