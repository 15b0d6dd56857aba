"""What a node holds of one account, and what it has to tell its lender."""

import dataclasses
import math

#: Requests are lent ahead for so long at the rate of late (s): a question, its
#: answer, one of them lost and asked again.
AHEAD_S = 0.3

#: How fast the rate follows what comes (s).
_RATE_S = 1.0


@dataclasses.dataclass(slots=True)
class Loan:
    """The state of one account at a node that has callers of it.

    Attributes:
      lender: who lends.
      session: names what the counts begin with.
      spent: requests let in since then.
      returned: of these, those taken back.
      spent_known: of `spent`, what the lender confirmed.
      returned_known: the same of `returned`.
      limit: up to this of `spent` requests may be let in.
      lease_until: what was lent may be used until then (monotonic s).
      confirmed: whether the lender knows of the last that was not lent.
      unasked_to: `spent` when that one was let in.
      gave_up: whether what was lent is given up and the lender may not know.
      told_from: the order of the first message that told so.
      heard_to: answers to messages up to this order count no more.
      missed: whether one was refused since the lender answered last.
      asked_at: when the lender was asked last (monotonic s).
      used_at: when a request came last (monotonic s).
      return_at: when the last of those refused was told to return (monotonic
        s).
      askers: how many nodes use the account.
    """

    lender: str
    session: int
    spent: int = 0
    returned: int = 0
    spent_known: int = 0
    returned_known: int = 0
    limit: int = 0
    lease_until: float = 0.0
    confirmed: bool = True
    unasked_to: int = 0
    gave_up: bool = False
    told_from: int = 0
    heard_to: int = 0
    missed: bool = False
    asked_at: float = -math.inf
    used_at: float = -math.inf
    return_at: float = 0.0
    askers: int = 1
    _rate: float = 0.0

    @property
    def has_news(self) -> bool:
        """Whether the lender has not confirmed all that was used."""
        return (
            self.spent > self.spent_known or self.returned > self.returned_known
        )

    @property
    def awaits_answer(self) -> bool:
        """Whether the lender is to be asked until it answers."""
        return self.has_news or self.gave_up or self.missed

    def held(self, now: float) -> int:
        """Returns what may be let in of what was lent."""
        if now >= self.lease_until:
            return 0
        return max(0, self.limit - self.spent)

    def came(self, now: float) -> None:
        """Counts a request for the rate."""
        self._rate = self.rate(now) + 1 / _RATE_S
        self.used_at = now

    def rate(self, now: float) -> float:
        """Returns how many requests came of late (1/s)."""
        passed_s = now - self.used_at
        return self._rate * math.exp(-max(0.0, passed_s) / _RATE_S)

    def want(self, now: float) -> int:
        """Returns how many requests it should hold."""
        return int(self.rate(now) * AHEAD_S + 0.5)

    def move(self, lender: str, session: int, order: int) -> None:
        """Follows a change of who lends; what the old one lent is void.

        Args:
          lender: who lends now.
          session: a new one.
          order: of the last message sent.
        """
        self.lender, self.session = lender, session
        self.spent -= self.spent_known
        self.returned = max(0, self.returned - self.returned_known)
        self.spent_known = self.returned_known = 0
        self.unasked_to = self.spent
        self.give_up(order)

    def give_up(self, order: int) -> None:
        """Holds nothing any more; answers up to `order` lend nothing."""
        self.limit = 0
        self.lease_until = 0.0
        self.gave_up = True
        self.told_from = 0
        self.heard_to = order

    def told(self, order: int, now: float) -> None:
        """Takes it that message `order` tells the lender all of this."""
        self.asked_at = now
        if not self.gave_up:
            return
        self.told_from = self.told_from or order
        # The lender gives up with each such message what it lent before.
        self.heard_to = max(self.heard_to, order - 1)

    def heard(self, order: int) -> None:
        """Takes it that message `order` was answered."""
        self.heard_to = order
        if self.gave_up and self.told_from and order >= self.told_from:
            self.gave_up = False
