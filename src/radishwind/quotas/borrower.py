"""Decides at once on requests of accounts, by what this node holds of them.

A request is let in by what was lent ahead; else one is let in that was not
lent, if the account has room as far as this node knows, and no further one
until its lender confirms it. So what is let in without a lender's word is at
most one a node and account, whatever is lost or cut off.
"""

from collections.abc import Callable
import random

from radishwind.quotas.counts import AccountCounts
from radishwind.quotas.gate import QuotaGate
from radishwind.quotas.lender_map import LenderMap
from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.loan import Loan
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import LeaseRequestItem
from radishwind.quotas.messages import ShortageNotice
from radishwind.quotas.messages import split_into_datagrams
from radishwind.quotas.pool import LEASE_S
from radishwind.quotas.returns import return_in_s

#: A question without an answer is asked again after so long (s).
ASK_AGAIN_S = 0.15

#: A lender that answered nothing for so long is silent (s).
SILENT_S = 0.4

#: A lender that answered so lately is in touch (s).
_ANSWERED_S = 1.0

#: What isn't used is given up so long before its lease is over (s).
_GIVE_UP_S = 0.3

#: Giving up what was lent is told again after so long (s).
_GIVES_UP_AGAIN_S = 0.1

#: An account that had no request for so long is forgotten (s).
IDLE_S = 3.0

#: An account stays short so long after its lender said so last (s): two such
#: messages may be lost.
SHORT_S = 2.0


class Borrower(QuotaGate):
    """Holds what this node was lent, by account.

    Attributes:
      counts: requests let in and refused, by account.
    """

    def __init__(
        self,
        lender_map: LenderMap,
        limit_of: Callable[[str], QuotaLimit | None],
        rng: random.Random,
        ask_own: Callable[[LeaseRequest], LeaseGrant],
        wake: Callable[[], None],
    ) -> None:
        """Makes a borrower.

        Args:
          lender_map: the nodes there are.
          limit_of: returns the limit of an account in force; `None` if it has
            none.
          rng: spreads times to come back; names this start.
          ask_own: asks the lender in this node, at once.
          wake: is called when `flush` has something to send.
        """
        self._lender_map = lender_map
        self._limit_of = limit_of
        self._rng = rng
        self._ask_own = ask_own
        self._wake = wake
        self._start = rng.getrandbits(48)
        self._order = 0
        self._session = 0
        self._loans: dict[str, Loan] = {}
        #: By account, who said that it is short and until when (monotonic s).
        self._short: dict[str, tuple[str, float]] = {}
        #: By lender, since when it has not answered (monotonic s).
        self._unanswered: dict[str, float] = {}
        #: By lender, when it answered last (monotonic s).
        self._answered: dict[str, float] = {}
        self._due: dict[str, None] = {}
        self.counts = AccountCounts()

    @property
    def account_count(self) -> int:
        """How many accounts this node holds something of."""
        return len(self._loans)

    def admit(self, account: str, now: float) -> float | None:
        limit = self._limit_of(account)
        if limit is None:
            return None
        loan = self._loan(account)
        loan.came(now)
        if not loan.held(now) and loan.lender == self._lender_map.own_name:
            self._ask_here(account, loan, now)
        if loan.held(now):
            loan.spent += 1
            if 2 * loan.held(now) < loan.want(now):
                self._ask_soon(account)
        elif self._may_unasked(account, limit, loan, now):
            loan.spent += 1
            loan.confirmed = False
            loan.unasked_to = loan.spent
            self._ask_soon(account)
        else:
            loan.missed = True
            self._ask_soon(account)
            self.counts.refused(account)
            return return_in_s(loan, limit, self._rng, now)
        self.counts.admitted(account)
        return None

    def refund(self, account: str, taken_at: float, now: float) -> None:
        limit, loan = self._limit_of(account), self._loans.get(account)
        if limit is None or loan is None:
            return
        if now - taken_at > limit.taken_back_s or loan.returned >= loan.spent:
            return
        loan.returned += 1

    def describe(self, account: str) -> str:
        limit, loan = self._limit_of(account), self._loans.get(account)
        if limit is None or loan is None:
            return ""
        short = account in self._short
        return (
            f"{loan.lender} (lends quota={limit.rate_per_s:g}/s "
            f"most={limit.max_per_window:.0f}/{limit.window_s:g}s "
            f"nodes={loan.askers} lent_to={loan.limit} let_in={loan.spent} "
            f"short={short})"
        )

    def handle_grant(self, grant: LeaseGrant, now: float) -> None:
        """Takes an answer."""
        if grant.to_start != self._start:
            return
        self._unanswered.pop(grant.node, None)
        self._answered[grant.node] = now
        for item in grant.items:
            loan = self._loans.get(item.account)
            if loan is None or loan.session != item.session:
                continue
            if loan.lender != grant.node or grant.order <= loan.heard_to:
                continue
            loan.heard(grant.order)
            self._take_item(loan, item, grant, now)

    def handle_shortage(self, told: ShortageNotice, now: float) -> None:
        """Takes it that accounts are short or not; only their lender knows."""
        for account in told.accounts:
            if self._limit_of(account) is None:
                continue
            if self._lender_map.lender_of(account) != told.node:
                continue
            self._note_room(account, told.node, told.is_over, now)

    def pop_requests(self, now: float) -> list[tuple[str, LeaseRequest]]:
        """Returns the messages that are due, with the node each is for."""
        due, self._due = self._due, {}
        by_lender: dict[str, list[LeaseRequestItem]] = {}
        for account in due:
            loan = self._loans.get(account)
            if loan is None:
                continue
            if loan.lender == self._lender_map.own_name:
                self._ask_here(account, loan, now)
                continue
            if loan.gave_up and now - loan.asked_at < _GIVES_UP_AGAIN_S:
                continue
            items = by_lender.setdefault(loan.lender, [])
            items.append(self._item(account, loan, now))
        asks: list[tuple[str, LeaseRequest]] = []
        for lender, items in by_lender.items():
            self._unanswered.setdefault(lender, now)
            for group in split_into_datagrams(items):
                asks.append((lender, self._ask(group, now)))
        return asks

    def tick(self, now: float) -> None:
        """Asks again, gives up what isn't used, and forgets what is idle."""
        for account, loan in list(self._loans.items()):
            if self._limit_of(account) is None:
                # Nobody lends it any more, so nobody would answer.
                del self._loans[account]
                continue
            self._follow_lender(account, loan)
            if self._is_idle(loan, now):
                del self._loans[account]
            elif self._is_due(loan, now):
                self._ask_soon(account)
        self._forget(now)

    def unresponsive_lenders(self, now: float) -> tuple[str, ...]:
        """Returns the lenders that answer nothing.

        Args:
          now: monotonic time (s).
        """
        return tuple(
            lender
            for lender, since in self._unanswered.items()
            if now - since >= SILENT_S
        )

    def _forget(self, now: float) -> None:
        lenders = {
            loan.lender for loan in self._loans.values() if loan.awaits_answer
        }
        for lender in set(self._unanswered) - lenders:
            del self._unanswered[lender]
        self._answered = {
            lender: when
            for lender, when in self._answered.items()
            if now - when < _ANSWERED_S
        }
        self._short = {
            account: told
            for account, told in self._short.items()
            if now < told[1]
        }

    def _is_idle(self, loan: Loan, now: float) -> bool:
        if loan.has_news or loan.gave_up:
            return False
        return now - loan.used_at > IDLE_S

    def _is_due(self, loan: Loan, now: float) -> bool:
        if loan.awaits_answer:
            return now - loan.asked_at >= ASK_AGAIN_S
        if loan.want(now):
            return loan.lease_until - now < LEASE_S / 2
        if loan.limit > loan.spent and now >= loan.lease_until - _GIVE_UP_S:
            loan.give_up(self._order)
            return True
        return False

    def _loan(self, account: str) -> Loan:
        loan = self._loans.get(account)
        if loan is None:
            loan = self._loans[account] = Loan(
                self._lender_map.lender_of(account),
                self._next_session(),
                heard_to=self._order,
            )
        else:
            self._follow_lender(account, loan)
        return loan

    def _next_session(self) -> int:
        self._session += 1
        return self._session

    def _follow_lender(self, account: str, loan: Loan) -> None:
        lender = self._lender_map.lender_of(account)
        if lender == loan.lender:
            return
        loan.move(lender, self._next_session(), self._order)
        self._ask_soon(account)

    def _may_unasked(
        self, account: str, limit: QuotaLimit, loan: Loan, now: float
    ) -> bool:
        """Returns whether one that was not lent may be let in."""
        if not loan.confirmed or limit.unasked < 1:
            return False
        if self._lender_map.discovered_at(now) is None:
            # How many others do the same can't be told.
            return False
        teller, until = self._short.get(account, ("", now))
        if teller == loan.lender and now < until:
            return False
        return self._lender_map.known_count <= limit.unasked or self._in_touch(
            loan.lender, now
        )

    def _in_touch(self, lender: str, now: float) -> bool:
        """Returns whether `lender` answers, as far as this node can tell.

        One that was not asked lately is taken to be where most others are.
        """
        silent = self.unresponsive_lenders(now)
        if lender in silent:
            return False
        if not silent or now - self._answered.get(lender, -1e9) < _ANSWERED_S:
            return True
        answered = sum(
            now - when < _ANSWERED_S for when in self._answered.values()
        )
        return answered >= len(silent)

    def _ask_soon(self, account: str) -> None:
        if not self._due:
            self._wake()
        self._due[account] = None

    def _ask_here(self, account: str, loan: Loan, now: float) -> None:
        item = self._item(account, loan, now)
        self.handle_grant(self._ask_own(self._ask((item,), now)), now)

    def _ask(
        self, items: tuple[LeaseRequestItem, ...], now: float
    ) -> LeaseRequest:
        self._order += 1
        for item in items:
            self._loans[item.account].told(self._order, now)
        return LeaseRequest(
            self._lender_map.own_name, self._start, self._order, now, items
        )

    def _item(self, account: str, loan: Loan, now: float) -> LeaseRequestItem:
        return LeaseRequestItem(
            account,
            loan.session,
            loan.spent,
            loan.returned,
            loan.spent_known,
            loan.returned_known,
            max(int(loan.missed), loan.want(now)),
            loan.gave_up,
        )

    def _take_item(
        self, loan: Loan, item: LeaseGrantItem, grant: LeaseGrant, now: float
    ) -> None:
        loan.spent_known = max(loan.spent_known, item.spent)
        loan.returned_known = max(loan.returned_known, item.returned)
        loan.askers = max(1, item.askers)
        loan.missed = False
        if not loan.gave_up:
            loan.limit = item.limit
            # From when it was asked: the answer may have lain here since.
            loan.lease_until = grant.sent_at + LEASE_S
        if loan.spent_known >= loan.unasked_to:
            loan.confirmed = True
        self._note_room(item.account, grant.node, item.calm, now)

    def _note_room(
        self, account: str, lender: str, has_room: bool, now: float
    ) -> None:
        if has_room:
            self._short.pop(account, None)
        else:
            self._short[account] = (lender, now + SHORT_S)
