"""How long a lease is sure to last, by the holder's monotonic clock."""

import dataclasses

#: A lease is renewed after this share of its time to live.
RENEW_SHARE = 1 / 3

#: The holder stops trusting a lease this share of its time to live before its
#: end: the store's clock may run a little faster than the holder's.
MARGIN_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A lease as last granted or renewed.

    Attributes:
      asked: monotonic time (s) just before the store was asked; the store
        counts from a later moment, so the lease lasts at least from here.
      ttl_s: its time to live (s).
    """

    asked: float
    ttl_s: float

    @property
    def renew_at(self) -> float:
        """The monotonic time (s) at which to renew it."""
        return self.asked + self.ttl_s * RENEW_SHARE

    @property
    def sure_until(self) -> float:
        """The monotonic time (s) until which it is surely held."""
        return self.asked + self.ttl_s * (1 - MARGIN_SHARE)

    def sure(self, now: float) -> bool:
        """Returns whether the lease is surely held at `now` (s)."""
        return now < self.sure_until
