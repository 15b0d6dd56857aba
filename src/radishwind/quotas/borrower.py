"""Admits requests by the tokens that this node has leased.

A request is admitted by a leased token. Without one, a request is admitted if
the account is not short of tokens as far as this node knows, and then no other
one until the lender has acknowledged it. Each node thus admits at most one
request of an account that the lender doesn't know of, whatever messages are
lost and whichever nodes are cut off.
"""

from collections.abc import Callable
import random

from radishwind.quotas.account_bucket import LEASE_S
from radishwind.quotas.counts import AccountCounts
from radishwind.quotas.gate import QuotaGate
from radishwind.quotas.lender_map import LenderMap
from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import LeaseRequestItem
from radishwind.quotas.messages import ShortageNotice
from radishwind.quotas.messages import split_into_datagrams
from radishwind.quotas.retry_schedule import schedule_retry_s
from radishwind.quotas.token_lease import TokenLease

#: An unanswered request to a lender is repeated after this time.
REPEAT_REQUEST_S = 0.15

#: A lender that answered no request for this time counts as unresponsive.
UNRESPONSIVE_S = 0.4

#: A lender that answered within this time counts as reachable.
_RECENT_ANSWER_S = 1.0

#: Unused tokens are released this long before their lease expires.
_RELEASE_BEFORE_EXPIRY_S = 0.3

#: The release of tokens is reported at most once in this time.
_RELEASE_INTERVAL_S = 0.1

#: The state of an account without requests is removed after this time.
IDLE_TIMEOUT_S = 3.0

#: A notice of a shortage is valid for this time at least; lenders repeat it
#: often enough that two of them may be lost.
SHORTAGE_TIMEOUT_S = 2.0

#: For this time after a node has discovered others, lenders repeat the notices
#: of shortages to it (s). Until then it admits nothing without a leased token,
#: unless the tolerance pays for one request of each node.
LISTEN_S = 0.8


class Borrower(QuotaGate):
    """Holds the leased tokens of this node, by account.

    Attributes:
      counts: requests admitted and refused, by account.
    """

    def __init__(
        self,
        lender_map: LenderMap,
        limit_of: Callable[[str], QuotaLimit | None],
        rng: random.Random,
        request_locally: Callable[[LeaseRequest], LeaseGrant],
        wake: Callable[[], None],
    ) -> None:
        """Creates a borrower.

        Args:
          lender_map: assigns accounts to nodes.
          limit_of: returns the limit of an account in force; `None` if it has
            none.
          rng: random source for retry times and for the id of this start.
          request_locally: asks the lender of this node, synchronously.
          wake: called when `pop_requests` has something to send.
        """
        self._lender_map = lender_map
        self._limit_of = limit_of
        self._rng = rng
        self._request_locally = request_locally
        self._wake = wake
        self._start_id = rng.getrandbits(48)
        self._sequence = 0
        self._session = 0
        self._leases: dict[str, TokenLease] = {}
        #: By account: until when the last notice of a shortage is valid
        #: (monotonic, s).
        self._shortages: dict[str, float] = {}
        #: By lender: since when it has not answered (monotonic, s).
        self._unanswered_since: dict[str, float] = {}
        #: By lender: when it last answered (monotonic, s).
        self._answered_at: dict[str, float] = {}
        self._due: dict[str, None] = {}
        self.counts = AccountCounts()

    @property
    def account_count(self) -> int:
        """Number of accounts that this node keeps state of."""
        return len(self._leases)

    def admit(self, account: str, now: float) -> float | None:
        limit = self._limit_of(account)
        if limit is None:
            return None
        lease = self._lease(account)
        lease.record_arrival(now)
        if (
            not lease.available(now)
            and lease.lender == self._lender_map.own_name
        ):
            self._refresh_locally(account, lease, now)
        if lease.available(now):
            lease.admitted += 1
            if 2 * lease.available(now) < lease.wanted(now):
                self._schedule_request(account)
        elif self._may_admit_unleased(account, limit, lease, now):
            lease.admitted += 1
            lease.unleased_acked = False
            lease.last_unleased = lease.admitted
            self._schedule_request(account)
        else:
            lease.has_refused = True
            self._schedule_request(account)
            self.counts.refused(account)
            return schedule_retry_s(lease, limit, self._rng, now)
        self.counts.admitted(account)
        return None

    def refund(self, account: str, admitted_at: float, now: float) -> None:
        limit, lease = self._limit_of(account), self._leases.get(account)
        if limit is None or lease is None:
            return
        if (
            now - admitted_at > limit.refund_within_s
            or lease.refunded >= lease.admitted
        ):
            return
        lease.refunded += 1

    def describe(self, account: str) -> str:
        limit, lease = self._limit_of(account), self._leases.get(account)
        if limit is None or lease is None:
            return ""
        short = account in self._shortages
        return (
            f"{lease.lender} (lends quota={limit.rate_per_s:g}/s "
            f"most={limit.max_per_window:.0f}/{limit.window_s:g}s "
            f"nodes={lease.borrower_count} lent_to={lease.admit_limit} "
            f"let_in={lease.admitted} short={short})"
        )

    def handle_grant(self, grant: LeaseGrant, now: float) -> None:
        """Applies a lender's answer."""
        if grant.start_id != self._start_id:
            return
        self._unanswered_since.pop(grant.node, None)
        self._answered_at[grant.node] = now
        for item in grant.items:
            lease = self._leases.get(item.account)
            if lease is None or lease.session != item.session:
                continue
            if (
                lease.lender != grant.node
                or grant.sequence <= lease.ignored_up_to
            ):
                continue
            lease.answer_received(grant.sequence)
            self._apply_grant(lease, item, grant, now)

    def handle_shortage(self, notice: ShortageNotice, now: float) -> None:
        """Applies a notice; ignores accounts that its sender does not lend."""
        for account in notice.accounts:
            if self._limit_of(account) is None:
                continue
            if self._lender_map.lender_of(account) != notice.node:
                continue
            self._update_shortage(account, notice.has_ended, now)

    def pop_requests(self, now: float) -> list[tuple[str, LeaseRequest]]:
        """Returns the messages that are due, each with its recipient's name."""
        due, self._due = self._due, {}
        by_lender: dict[str, list[LeaseRequestItem]] = {}
        for account in due:
            lease = self._leases.get(account)
            if lease is None:
                continue
            if lease.lender == self._lender_map.own_name:
                self._refresh_locally(account, lease, now)
                continue
            if (
                lease.is_released
                and now - lease.requested_at < _RELEASE_INTERVAL_S
            ):
                continue
            items = by_lender.setdefault(lease.lender, [])
            items.append(self._request_item(account, lease, now))
        requests: list[tuple[str, LeaseRequest]] = []
        for lender, items in by_lender.items():
            self._unanswered_since.setdefault(lender, now)
            for group in split_into_datagrams(items):
                requests.append((lender, self._request(group, now)))
        return requests

    def tick(self, now: float) -> None:
        """Repeats requests, releases unused tokens, removes idle accounts."""
        for account, lease in list(self._leases.items()):
            if self._limit_of(account) is None:
                # The account lost its quota, so no lender would answer.
                del self._leases[account]
                continue
            self._follow_lender(account, lease)
            if self._is_idle(lease, now):
                del self._leases[account]
            elif self._is_request_due(lease, now):
                self._schedule_request(account)
        self._remove_outdated(now)

    def unresponsive_lenders(self, now: float) -> tuple[str, ...]:
        """Returns the names of lenders that do not answer.

        Args:
          now: monotonic time (s).
        """
        return tuple(
            lender
            for lender, since in self._unanswered_since.items()
            if now - since >= UNRESPONSIVE_S
        )

    def _remove_outdated(self, now: float) -> None:
        lenders = {
            lease.lender
            for lease in self._leases.values()
            if lease.awaits_answer
        }
        for lender in set(self._unanswered_since) - lenders:
            del self._unanswered_since[lender]
        self._answered_at = {
            lender: when
            for lender, when in self._answered_at.items()
            if now - when < _RECENT_ANSWER_S
        }
        self._shortages = {
            account: shortage
            for account, shortage in self._shortages.items()
            if now < shortage
        }

    def _is_idle(self, lease: TokenLease, now: float) -> bool:
        if lease.has_unreported_use or lease.is_released:
            return False
        return now - lease.used_at > IDLE_TIMEOUT_S

    def _is_request_due(self, lease: TokenLease, now: float) -> bool:
        """Returns whether to ask the lender; releases unused tokens in time."""
        if lease.awaits_answer:
            return now - lease.requested_at >= REPEAT_REQUEST_S
        if lease.wanted(now):
            return lease.expires_at - now < LEASE_S / 2
        if (
            lease.admit_limit > lease.admitted
            and now >= lease.expires_at - _RELEASE_BEFORE_EXPIRY_S
        ):
            lease.release(self._sequence)
            return True
        return False

    def _lease(self, account: str) -> TokenLease:
        lease = self._leases.get(account)
        if lease is None:
            lease = self._leases[account] = TokenLease(
                self._lender_map.lender_of(account),
                self._next_session(),
                ignored_up_to=self._sequence,
            )
        else:
            self._follow_lender(account, lease)
        return lease

    def _next_session(self) -> int:
        self._session += 1
        return self._session

    def _follow_lender(self, account: str, lease: TokenLease) -> None:
        """Moves the lease to the account's present lender."""
        lender = self._lender_map.lender_of(account)
        if lender == lease.lender:
            return
        lease.change_lender(lender, self._next_session(), self._sequence)
        self._schedule_request(account)

    def _may_admit_unleased(
        self, account: str, limit: QuotaLimit, lease: TokenLease, now: float
    ) -> bool:
        """Returns whether a request may be admitted without a leased token."""
        if not lease.unleased_acked or limit.max_unleased < 1:
            return False
        discovered_at = self._lender_map.discovered_at(now)
        if discovered_at is None:
            # It is unknown how many other nodes do the same.
            return False
        if now < self._shortages.get(account, now):
            return False
        if self._lender_map.known_count <= limit.max_unleased:
            return True
        if now - discovered_at < LISTEN_S and not lease.is_answered:
            # Shortages announced before this process started are unknown.
            return False
        return self._is_reachable(lease.lender, now)

    def _is_reachable(self, lender: str, now: float) -> bool:
        """Returns whether `lender` answers, as far as this node can tell.

        A lender that was not asked recently is presumed reachable if at least
        as many of the others answer as do not.
        """
        unresponsive = self.unresponsive_lenders(now)
        if lender in unresponsive:
            return False
        if (
            not unresponsive
            or now - self._answered_at.get(lender, -1e9) < _RECENT_ANSWER_S
        ):
            return True
        responsive_count = sum(
            now - when < _RECENT_ANSWER_S for when in self._answered_at.values()
        )
        return responsive_count >= len(unresponsive)

    def _schedule_request(self, account: str) -> None:
        if not self._due:
            self._wake()
        self._due[account] = None

    def _refresh_locally(
        self, account: str, lease: TokenLease, now: float
    ) -> None:
        """Reports to the lender of this node and applies its answer."""
        item = self._request_item(account, lease, now)
        self.handle_grant(
            self._request_locally(self._request((item,), now)), now
        )

    def _request(
        self, items: tuple[LeaseRequestItem, ...], now: float
    ) -> LeaseRequest:
        self._sequence += 1
        for item in items:
            self._leases[item.account].request_sent(self._sequence, now)
        return LeaseRequest(
            self._lender_map.own_name,
            self._start_id,
            self._sequence,
            now,
            items,
        )

    def _request_item(
        self, account: str, lease: TokenLease, now: float
    ) -> LeaseRequestItem:
        return LeaseRequestItem(
            account,
            lease.session,
            lease.admitted,
            lease.refunded,
            lease.admitted_acked,
            lease.refunded_acked,
            max(int(lease.has_refused), lease.wanted(now)),
            lease.is_released,
        )

    def _apply_grant(
        self,
        lease: TokenLease,
        item: LeaseGrantItem,
        grant: LeaseGrant,
        now: float,
    ) -> None:
        lease.admitted_acked = max(lease.admitted_acked, item.admitted)
        lease.refunded_acked = max(lease.refunded_acked, item.refunded)
        lease.borrower_count = max(1, item.borrower_count)
        lease.has_refused = False
        if not lease.is_released:
            lease.admit_limit = item.admit_limit
            # Counted from the request: the answer may have waited in a buffer.
            lease.expires_at = grant.sent_at + LEASE_S
        if lease.admitted_acked >= lease.last_unleased:
            lease.unleased_acked = True
        lease.is_answered = True
        self._update_shortage(item.account, item.allows_unleased, now)

    def _update_shortage(
        self, account: str, has_ended: bool, now: float
    ) -> None:
        limit = self._limit_of(account)
        if has_ended or limit is None:
            self._shortages.pop(account, None)
        else:
            # The next lender may have to learn of the shortage first.
            valid_s = max(SHORTAGE_TIMEOUT_S, limit.window_s)
            self._shortages[account] = now + valid_s
