"""Validity of a lease by the monotonic clock of its holder."""

import dataclasses

#: A lease is renewed after this fraction of its time to live.
RENEW_FRACTION = 1 / 3

#: The holder considers a lease invalid this fraction of its time to live before
#: its end, since the store's clock may run slightly faster than the holder's.
SAFETY_MARGIN_FRACTION = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTerm:
    """Term of a lease since it was last granted or renewed.

    Attributes:
      requested_at: monotonic time (s) just before the request to the store,
        which counts from a later moment; the lease therefore lasts at least
        `ttl_s` from here.
      ttl_s: time to live of the lease (s).
    """

    requested_at: float
    ttl_s: float

    @property
    def renew_at(self) -> float:
        """Monotonic time (s) at which to renew the lease."""
        return self.requested_at + self.ttl_s * RENEW_FRACTION

    @property
    def valid_until(self) -> float:
        """Monotonic time (s) until which the lease is certain to be held."""
        return self.requested_at + self.ttl_s * (1 - SAFETY_MARGIN_FRACTION)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is certain to be held at `now` (s)."""
        return now < self.valid_until
