"""How long it takes to other failure domains and back, learned."""

import msgspec

#: Weight of one round trip in the mean.
WEIGHT = 0.2

#: A mean is given up when nothing was heard for so long (s): a node probes a
#: member each second, so that a domain which is reached at all is heard of.
STALE_S = 10.0

#: Failure domains remembered; the one that was first known is forgotten.
MOST_DOMAINS = 256


class _Mean(msgspec.Struct):
    mean_s: float
    heard: float


class RoundTripTimes:
    """Mean round trips by failure domain."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}

    def record(self, domain: str, trip_s: float, now: float) -> None:
        """Takes one round trip.

        Args:
          domain: the failure domain of the other node.
          trip_s: from sending a message to its answer (s).
          now: monotonic time (s).
        """
        known = self._means.get(domain)
        if known is None or now - known.heard > STALE_S:
            self._means[domain] = _Mean(trip_s, now)
            if len(self._means) > MOST_DOMAINS:
                del self._means[next(iter(self._means))]
            return
        known.mean_s += WEIGHT * (trip_s - known.mean_s)
        known.heard = now

    def mean_s(self, domain: str, now: float) -> float | None:
        """Returns the usual round trip (s); `None` where none is fresh."""
        known = self._means.get(domain)
        if known is None or now - known.heard > STALE_S:
            return None
        return known.mean_s

    def fresh_means_s(self, now: float) -> dict[str, float]:
        """Returns the usual round trips that are fresh, by domain (s)."""
        found = {name: self.mean_s(name, now) for name in self._means}
        return {n: trip_s for n, trip_s in found.items() if trip_s is not None}
