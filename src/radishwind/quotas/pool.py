"""The count of one account at the node that lends it."""

import dataclasses
import math

import msgspec

from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequestItem

#: What was lent may be used so long after the borrower asked (s), by its own
#: clock; by the lender's it is given up so long after the question arrived,
#: which is later. Long enough for a lost message or two, short enough that a
#: node that is cut off holds little.
LEASE_S = 1.0

#: Below this part of its depth an account is short: what is let in unasked
#: would use up the rest before the nodes hear of it.
_SHORT = 1 / 12
#: It has room again from so many times that on, if no more is asked for than
#: time brings.
_ROOM_AGAIN = 1.3

#: How fast the rate of what is asked for follows (s).
_DEMAND_S = 1.0

#: A node in need gets at most this part of what is left at once.
_PART = 0.2


class Key(msgspec.Struct, frozen=True):
    """Names a borrower.

    Attributes:
      node: its name.
      start: of its process.
    """

    node: str
    start: int


@dataclasses.dataclass(slots=True)
class _Loan:
    """What one node was lent; `limit` and `spent` as in the messages."""

    session: int
    order: int
    spent: int
    returned: int
    limit: int
    heard: float

    @property
    def held(self) -> int:
        return max(0, self.limit - self.spent)


class Pool:
    """Counts what all nodes use of one account and lends what is left.

    What was used is charged when it is told, what is lent stays set aside
    until then or until its lease is over. So what is left and what is lent
    never exceed the depth together, in whatever order messages come.

    Attributes:
      level: requests left, those set aside among them; below zero where nodes
        let in more unasked.
      lent: requests lent since the pool was opened.
      is_short: whether nothing may be let in unasked.
      is_over: whether it was logged that the account is over its quota.
      told_short: whether all nodes were told so, and not the end of it.
      told_short_at: when all nodes were told so last (monotonic s).
      asked_at: when anybody asked last (monotonic s).
    """

    def __init__(
        self, limit: QuotaLimit, level: float, fills_from: float, now: float
    ) -> None:
        """Opens a pool.

        Args:
          limit: of the account.
          level: requests left.
          fills_from: from when on it fills (monotonic s).
          now: monotonic time (s).
        """
        self.limit = limit
        self.level = level
        self.lent = 0
        self.is_short = False
        self.is_over = False
        self.told_short = False
        self.told_short_at = -float("inf")
        self.asked_at = now
        self._filled_at = max(now, fills_from)
        self._loans: dict[Key, _Loan] = {}
        self._held = 0
        self._demand = 0.0
        self._demanded_at = now

    @property
    def is_idle(self) -> bool:
        """Whether nobody uses the account."""
        return not self._loans

    @property
    def left(self) -> float:
        """Requests that can be lent."""
        return self.level - self._held

    def is_full(self, share: float) -> bool:
        """Returns whether it holds all that it can."""
        return self.level >= self.limit.depth * share

    def fill(self, share: float, now: float) -> None:
        """Adds what time brought.

        Args:
          share: the part of all nodes that this pool serves.
          now: monotonic time (s).
        """
        gained = max(0.0, now - self._filled_at) * self.limit.rate_per_s * share
        self._filled_at = max(now, self._filled_at)
        # What is set aside may be more than a share that shrank allows; it is
        # used or given up within a lease.
        self.level = min(self.level + gained, self.limit.depth * share)
        self.is_short = self._now_short(share, now)

    def rest(self, now: float) -> None:
        """Lets time pass without filling, since another lends meanwhile."""
        self._filled_at = max(now, self._filled_at)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Ends the leases of those that told nothing for too long.

        Args:
          now: monotonic time (s).
        """
        over = [
            key
            for key, loan in self._loans.items()
            if now - loan.heard > LEASE_S
        ]
        for key in over:
            # Whoever told nothing may have used what it was lent.
            held = self._loans.pop(key).held
            self._held -= held
            self.level -= held

    def take(
        self, key: Key, order: int, item: LeaseRequestItem, now: float
    ) -> LeaseGrantItem | None:
        """Charges what a node used and lends it more, if there is any.

        Args:
          key: who asks.
          order: of its message.
          item: its question.
          now: monotonic time (s).

        Returns:
          The answer; `None` for a message that came late or twice.
        """
        self.asked_at = now
        loan = self._loans.get(key)
        if loan is not None and (item.session, order) <= (
            loan.session,
            loan.order,
        ):
            return None
        if loan is None or item.session != loan.session:
            loan = self._begin(key, order, item, now)
        self._asked_for(self._charge(loan, item), now)
        if item.gives_up:
            self._held -= loan.held
            loan.limit = loan.spent
        loan.order, loan.heard = order, now
        need = item.want - loan.held
        if need > 0 and self.left >= 1:
            most = max(1, int(self.left * _PART))
            given = min(need, most, int(self.left))
            before = loan.held
            loan.limit = loan.spent + before + given
            self._held += given
            self.lent += given
            need -= given
        if need > 0:
            self._asked_for(1, now)
        return LeaseGrantItem(
            item.account,
            item.session,
            loan.spent,
            loan.returned,
            loan.limit,
            not self.is_short,
            len(self._loans),
        )

    def _now_short(self, share: float, now: float) -> bool:
        bound = self.limit.depth * _SHORT
        if not self.is_short:
            return self.left < bound
        too_much = self._demand_per_s(now) > self.limit.rate_per_s * share
        return too_much or self.left < bound * _ROOM_AGAIN

    def _demand_per_s(self, now: float) -> float:
        passed_s = max(0.0, now - self._demanded_at)
        return self._demand * math.exp(-passed_s / _DEMAND_S)

    def _asked_for(self, count: int, now: float) -> None:
        self._demand = self._demand_per_s(now) + count / _DEMAND_S
        self._demanded_at = max(now, self._demanded_at)

    def _begin(
        self, key: Key, order: int, item: LeaseRequestItem, now: float
    ) -> _Loan:
        old = self._loans.get(key)
        if old is not None:
            self._held -= old.held
            self.level -= old.held
        loan = self._loans[key] = _Loan(
            item.session,
            order,
            item.spent_known,
            item.returned_known,
            item.spent_known,
            now,
        )
        return loan

    def _charge(self, loan: _Loan, item: LeaseRequestItem) -> int:
        """Takes what was used since the last message; returns how many."""
        used = max(0, item.spent - loan.spent)
        back = max(0, item.returned - loan.returned)
        before = loan.held
        loan.spent = max(loan.spent, item.spent)
        loan.returned = max(loan.returned, item.returned)
        self._held += loan.held - before
        self.level += back - used
        return used
