"""How long a lease is sure to last, by the holder's monotonic clock."""

import dataclasses

#: A lease is renewed after this share of its time to live.
RENEW_FRACTION = 1 / 3

#: The holder stops trusting a lease this share of its time to live before its
#: end: the store's clock may run a little faster than the holder's.
SAFETY_MARGIN_FRACTION = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTerm:
    """A lease as last granted or renewed.

    Attributes:
      requested_at: monotonic time (s) just before the request to the store,
        which counts from a later moment; the lease therefore lasts at least
        `ttl_s` from here.
      ttl_s: its time to live (s).
    """

    requested_at: float
    ttl_s: float

    @property
    def renew_at(self) -> float:
        """The monotonic time (s) at which to renew it."""
        return self.requested_at + self.ttl_s * RENEW_FRACTION

    @property
    def valid_until(self) -> float:
        """The monotonic time (s) until which it is surely held."""
        return self.requested_at + self.ttl_s * (1 - SAFETY_MARGIN_FRACTION)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is surely held at `now` (s)."""
        return now < self.valid_until
