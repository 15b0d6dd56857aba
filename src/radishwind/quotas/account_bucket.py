"""Token bucket of one account, kept by the node that lends its quota."""

import dataclasses
import math

import msgspec

from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequestItem

#: Leased tokens expire this long after the borrower sent its request, by its
#: own clock. The lender frees them this long after the request arrived, which
#: is later. Long enough for one or two lost messages, short enough that a node
#: that is cut off holds few tokens.
LEASE_S = 1.0

#: An account is short of tokens below this fraction of its depth: requests
#: admitted without a token would use up the rest before the nodes hear of it.
_SHORTAGE_FRACTION = 1 / 12
#: The shortage ends at this multiple of that level, unless the demand exceeds
#: the refill rate.
_SHORTAGE_END_FACTOR = 1.3

#: Time constant of the demand, an exponentially decaying mean.
_DEMAND_TIME_CONSTANT_S = 1.0

#: Fraction of the available tokens that one request gets at most.
_MAX_GRANT_FRACTION = 0.2


class BorrowerId(msgspec.Struct, frozen=True):
    """Identifies a borrower.

    Attributes:
      node: name of the node.
      start_id: identifies the start of its process.
    """

    node: str
    start_id: int


@dataclasses.dataclass(slots=True)
class _Lease:
    """What one borrower was lent, with fields as in the messages."""

    session: int
    sequence: int
    admitted: int
    refunded: int
    admit_limit: int
    renewed_at: float

    @property
    def unused(self) -> int:
        return max(0, self.admit_limit - self.admitted)


class AccountBucket:
    """Token bucket whose tokens are leased to borrowers.

    Use is charged when it is reported. Leased tokens stay reserved until then
    or until their lease expires. The available and the leased tokens together
    therefore never exceed the depth, in whatever order messages arrive.

    Attributes:
      limit: limit of the account.
      level: tokens left, reserved ones included; negative where nodes admitted
        more requests without a leased token.
      tokens_lent: tokens lent since the bucket was created.
      is_short: whether no request may be admitted without a leased token.
      is_over_quota: whether it was logged that the account is over its quota.
      shortage_announced: whether the nodes were notified of a shortage, and not
        of its end.
      announced_at: when they were last notified of it (monotonic, s).
      requested_at: when a borrower last asked for tokens (monotonic, s).
      transferred_to: the new lender that the rest was given to; `None` if it
        was not.
    """

    def __init__(
        self, limit: QuotaLimit, level: float, refill_from: float, now: float
    ) -> None:
        """Creates a bucket.

        Args:
          limit: limit of the account.
          level: initial number of tokens.
          refill_from: when refilling begins (monotonic, s).
          now: monotonic time (s).
        """
        self.limit = limit
        self.level = level
        self.tokens_lent = 0
        self.is_short = False
        self.is_over_quota = False
        self.shortage_announced = False
        self.announced_at = -float("inf")
        self.requested_at = now
        self.transferred_to: BorrowerId | None = None
        self._transferred = (0.0, False, 0.0)
        self._refilled_at = max(now, refill_from)
        self._leases: dict[BorrowerId, _Lease] = {}
        self._reserved = 0
        self._demand = 0.0
        self._demand_updated_at = now

    @property
    def is_unused(self) -> bool:
        """Whether no node has a lease."""
        return not self._leases

    @property
    def available(self) -> float:
        """Number of tokens that can be lent."""
        return self.level - self._reserved

    def is_full(self, fraction: float) -> bool:
        """Returns whether the bucket is full.

        Args:
          fraction: fraction of all nodes that this bucket serves.
        """
        return self.level >= self.limit.depth * fraction

    def refill(self, fraction: float, now: float) -> None:
        """Adds the tokens of the time elapsed.

        Args:
          fraction: fraction of all nodes that this bucket serves.
          now: monotonic time (s).
        """
        gained = (
            max(0.0, now - self._refilled_at) * self.limit.rate_per_s * fraction
        )
        self._refilled_at = max(now, self._refilled_at)
        # Where the fraction shrank, more tokens may be reserved than the depth
        # allows now; they are used or released within one lease.
        self.level = min(self.level + gained, self.limit.depth * fraction)
        self.is_short = self._has_shortage(fraction, now)

    def skip_refill(self, now: float) -> None:
        """Lets time pass without a refill, while another node lends."""
        self._refilled_at = max(now, self._refilled_at)
        self.expire_leases(now)

    def expire_leases(self, now: float) -> None:
        """Ends the leases of borrowers that have not reported in time.

        Args:
          now: monotonic time (s).
        """
        expired = [
            borrower
            for borrower, lease in self._leases.items()
            if now - lease.renewed_at > LEASE_S
        ]
        for borrower in expired:
            # Without a report, all its tokens are presumed to be used.
            unused = self._leases.pop(borrower).unused
            self._reserved -= unused
            self.level -= unused

    def handle_item(
        self,
        borrower: BorrowerId,
        sequence: int,
        item: LeaseRequestItem,
        now: float,
    ) -> LeaseGrantItem | None:
        """Charges the reported use and lends tokens if any are available.

        Args:
          borrower: sender of the request.
          sequence: sequence number of the request.
          item: item of the request.
          now: monotonic time (s).

        Returns:
          The answer; `None` if the request is a duplicate or out of order.
        """
        self.requested_at = now
        lease = self._leases.get(borrower)
        if lease is not None and (item.session, sequence) <= (
            lease.session,
            lease.sequence,
        ):
            return None
        if lease is None or item.session != lease.session:
            lease = self._create_lease(borrower, sequence, item, now)
        self._record_demand(self._charge(lease, item), now)
        if item.releases:
            self._reserved -= lease.unused
            lease.admit_limit = lease.admitted
        lease.sequence, lease.renewed_at = sequence, now
        missing = item.wanted - lease.unused
        if missing > 0 and self.available >= 1:
            max_grant = max(1, int(self.available * _MAX_GRANT_FRACTION))
            granted = min(missing, max_grant, int(self.available))
            unused = lease.unused
            lease.admit_limit = lease.admitted + unused + granted
            self._reserved += granted
            self.tokens_lent += granted
            missing -= granted
        if missing > 0:
            self._record_demand(1, now)
        return LeaseGrantItem(
            item.account,
            item.session,
            lease.admitted,
            lease.refunded,
            lease.admit_limit,
            not self.is_short,
            len(self._leases),
        )

    def take_over(
        self, tokens: float, demand_per_s: float, *, is_short: bool, now: float
    ) -> None:
        """Continues the bucket of the previous lender.

        Args:
          tokens: what was left of it; negative if more was admitted.
          demand_per_s: the demand then (1/s).
          is_short: whether the account was short of tokens.
          now: monotonic time (s).
        """
        self.level = tokens
        self.is_short = is_short
        self._demand, self._demand_updated_at = demand_per_s, now

    def transfer(
        self, successor: BorrowerId, now: float
    ) -> tuple[float, bool, float]:
        """Gives up what is left to a new lender.

        Leased tokens stay reserved: their borrowers may still use them. The
        answer to a repeated request is the same.

        Args:
          successor: the new lender.
          now: monotonic time (s).

        Returns:
          The tokens, whether the account is short of them, and the demand
          (1/s).
        """
        if self.transferred_to != successor:
            demand_per_s = self._demand_per_s(now)
            self._transferred = (self.available, self.is_short, demand_per_s)
            self.transferred_to = successor
            self.level -= self.available
        return self._transferred

    def _has_shortage(self, fraction: float, now: float) -> bool:
        threshold = self.limit.depth * _SHORTAGE_FRACTION
        if not self.is_short:
            return self.available < threshold
        exceeds_rate = (
            self._demand_per_s(now) > self.limit.rate_per_s * fraction
        )
        return exceeds_rate or self.available < threshold * _SHORTAGE_END_FACTOR

    def _demand_per_s(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._demand_updated_at)
        return self._demand * math.exp(-elapsed_s / _DEMAND_TIME_CONSTANT_S)

    def _record_demand(self, count: int, now: float) -> None:
        self._demand = self._demand_per_s(now) + count / _DEMAND_TIME_CONSTANT_S
        self._demand_updated_at = max(now, self._demand_updated_at)

    def _create_lease(
        self,
        borrower: BorrowerId,
        sequence: int,
        item: LeaseRequestItem,
        now: float,
    ) -> _Lease:
        old = self._leases.get(borrower)
        if old is not None:
            self._reserved -= old.unused
            self.level -= old.unused
        lease = self._leases[borrower] = _Lease(
            item.session,
            sequence,
            item.admitted_acked,
            item.refunded_acked,
            item.admitted_acked,
            now,
        )
        return lease

    def _charge(self, lease: _Lease, item: LeaseRequestItem) -> int:
        """Charges the use since the last report; returns the admitted count."""
        admitted = max(0, item.admitted - lease.admitted)
        refunded = max(0, item.refunded - lease.refunded)
        unused = lease.unused
        lease.admitted = max(lease.admitted, item.admitted)
        lease.refunded = max(lease.refunded, item.refunded)
        self._reserved += lease.unused - unused
        self.level += refunded - admitted
        return admitted
