"""Lends tokens of the accounts that are assigned to this node."""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.quotas.account_bucket import AccountBucket
from radishwind.quotas.account_bucket import BorrowerId
from radishwind.quotas.account_bucket import LEASE_S
from radishwind.quotas.bucket_transfers import BucketTransfers
from radishwind.quotas.lender_map import LenderMap
from radishwind.quotas.lender_map import Tenure
from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.messages import BucketRequest
from radishwind.quotas.messages import BucketTransfer
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import shortage_notices
from radishwind.quotas.messages import ShortageNotice
from radishwind.telemetry.part_logger import PartLogger

#: Interval at which the notice of a continuing shortage is repeated.
ANNOUNCE_INTERVAL_S = 0.7

#: After a pause of this process longer than this, another node may have lent
#: its accounts meanwhile.
MAX_PAUSE_S = 1.0

#: A node that has just discovered others lends nothing for the first of these
#: times, since it may not know all of them yet. It also waits, until the second
#: time is over, as long as a node has appeared within the last `_JOIN_QUIET_S`.
MIN_DISCOVERY_S = 0.3
MAX_DISCOVERY_S = 0.7
_JOIN_QUIET_S = 0.2

#: After nodes were lost, another node may lend the same accounts for this long
#: until it notices.
_MAX_OVERLAP_S = 1.0

#: A shortage is announced only if tokens were requested within this time.
_DEMAND_TIMEOUT_S = 2.0


class Lender:
    """Keeps the token buckets of the accounts that this node lends.

    Nothing outlives the process. A new lender asks the previous one for what is
    left of a bucket. Where that is gone, it takes the bucket for empty at the
    change: the previous lender may have lent all of it.
    """

    def __init__(
        self,
        lender_map: LenderMap,
        limit_of: Callable[[str], QuotaLimit | None],
        clock: Clock,
        start_id: int = 0,
        send: Callable[[str, BucketRequest], None] | None = None,
    ) -> None:
        """Creates a lender.

        Args:
          lender_map: assigns accounts to nodes.
          limit_of: returns the limit of an account in force; `None` if it has
            none.
          clock: clock that suppresses repeated log lines.
          start_id: identifies the start of this process.
          send: sends a request to the node of that name; by default no other
            node is asked.
        """
        self._transfers = BucketTransfers(
            lender_map.own_name, start_id, send or _send_nothing
        )
        self._lender_map = lender_map
        self._limit_of = limit_of
        self._log = PartLogger("quotas", clock)
        self._buckets: dict[str, AccountBucket] = {}
        now = clock.monotonic()
        self._ready_at = now
        self._ticked_at = now
        self._lent_by_removed = 0

    @property
    def tokens_lent(self) -> int:
        """Number of tokens lent since the start."""
        return self._lent_by_removed + sum(
            b.tokens_lent for b in self._buckets.values()
        )

    @property
    def account_count(self) -> int:
        """Number of accounts in use that this node lends."""
        return len(self._buckets)

    @property
    def short_count(self) -> int:
        """Number of these accounts that are short of tokens."""
        return sum(bucket.is_short for bucket in self._buckets.values())

    def handle_request(
        self, request: LeaseRequest, now: float
    ) -> tuple[LeaseGrant, tuple[ShortageNotice, ...]]:
        """Answers a request for tokens.

        Args:
          request: the request.
          now: monotonic time (s).

        Returns:
          The answer, and notices to be sent to all nodes.
        """
        self._check_pause(now)
        borrower = BorrowerId(request.node, request.start_id)
        granted: list[LeaseGrantItem] = []
        short: list[str] = []
        for item in request.items:
            bucket = self._bucket(item.account, now)
            if bucket is None:
                continue
            bucket.refill(self._lender_map.reachable_fraction, now)
            answer = bucket.handle_item(borrower, request.sequence, item, now)
            bucket.refill(self._lender_map.reachable_fraction, now)
            if answer is not None:
                granted.append(answer)
                if bucket.is_short and answer.admit_limit <= answer.admitted:
                    self._log_over_quota(item.account, bucket)
            if self._should_announce(bucket, now):
                short.append(item.account)
        grant = LeaseGrant(
            self._lender_map.own_name,
            request.start_id,
            request.sequence,
            request.sent_at,
            tuple(granted),
        )
        return grant, tuple(
            shortage_notices(self._lender_map.own_name, short, ())
        )

    def handle_transfer_request(
        self, request: BucketRequest, now: float
    ) -> BucketTransfer | None:
        """Gives the bucket of an account to its new lender.

        Args:
          request: the request.
          now: monotonic time (s).

        Returns:
          The answer; `None` as long as this node lends the account itself.
        """
        account = request.account
        limit = self._limit_of(account)
        own_name = self._lender_map.own_name
        if limit is None or self._lender_map.lender_of(account) == own_name:
            return None
        bucket = self._buckets.get(account) or self._unused_bucket(
            account, limit, now
        )
        if bucket is None:
            return BucketTransfer(own_name, request.start_id, account, False)
        bucket.skip_refill(now)
        tokens, is_short, demand_per_s = bucket.transfer(
            BorrowerId(request.node, request.start_id), now
        )
        return BucketTransfer(
            own_name,
            request.start_id,
            account,
            True,
            tokens,
            is_short,
            demand_per_s,
        )

    def handle_transfer(self, transfer: BucketTransfer, now: float) -> None:
        """Takes the bucket of the previous lender, if it is awaited."""
        self._transfers.receive(transfer, now)

    def tick(self, now: float) -> tuple[ShortageNotice, ...]:
        """Refills the buckets and removes those that are no longer needed.

        Args:
          now: monotonic time (s).

        Returns:
          Notices to be sent to all nodes.
        """
        self._check_pause(now)
        self._lender_map.discovered_at(now)
        self._transfers.remove_outdated(now)
        short: list[str] = []
        recovered: list[str] = []
        for account, bucket in list(self._buckets.items()):
            limit = self._limit_of(account)
            if limit is None:
                self._remove(account)
                continue
            bucket.limit = limit
            if self._lender_map.lender_of(account) != self._lender_map.own_name:
                # The bucket is kept for a window: if the account is assigned to
                # this node again, it must not get the initial tokens again.
                bucket.skip_refill(now)
                if now - bucket.requested_at > limit.window_s:
                    self._remove(account)
                continue
            bucket.expire_leases(now)
            bucket.refill(self._lender_map.reachable_fraction, now)
            if bucket.shortage_announced and not bucket.is_short:
                bucket.shortage_announced = False
                recovered.append(account)
                self._log_within_quota(account, bucket)
            if bucket.is_unused and bucket.is_full(
                self._lender_map.reachable_fraction
            ):
                self._remove(account)
            elif self._should_announce(bucket, now):
                short.append(account)
        return tuple(
            shortage_notices(self._lender_map.own_name, short, recovered)
        )

    def resume(self, now: float) -> None:
        """Restarts ticking after a time in which no account had a quota.

        `tick` is not called during such a time, which is no pause of the
        process.
        """
        self._ticked_at = now

    def _bucket(self, account: str, now: float) -> AccountBucket | None:
        """Returns the bucket of `account`; `None` if not to be lent here."""
        limit = self._limit_of(account)
        if (
            limit is None
            or self._lender_map.lender_of(account) != self._lender_map.own_name
        ):
            return None
        discovered_at = self._lender_map.discovered_at(now)
        if discovered_at is None or not self._is_ready(discovered_at, now):
            # Each node may admit one request without a token until the lender
            # answers it.
            return None
        bucket = self._buckets.get(account)
        if bucket is not None and bucket.transferred_to is not None:
            # Another node has lent the account meanwhile.
            self._remove(account)
            bucket = None
        if bucket is None:
            bucket = self._open_bucket(account, limit, discovered_at, now)
        if bucket is not None:
            bucket.limit = limit
        return bucket

    def _open_bucket(
        self, account: str, limit: QuotaLimit, discovered_at: float, now: float
    ) -> AccountBucket | None:
        """Opens the bucket of an account that this node begins to lend.

        Returns:
          The bucket; `None` while the previous lender is asked for it.
        """
        tenures = self._lender_map.tenures(account)
        current, previous = next(tenures), next(tenures)
        bucket = self._create_bucket(limit, current, discovered_at, now)
        if (
            previous.lender
            and not current.was_lost
            and not bucket.is_full(self._lender_map.reachable_fraction)
        ):
            if self._transfers.await_from(account, previous.lender, now):
                return None
            answer = self._transfers.take(account)
            if answer is not None and answer.is_known:
                bucket.take_over(
                    answer.tokens,
                    answer.demand_per_s,
                    is_short=answer.is_short,
                    now=now,
                )
            self._log_opening(account, bucket, previous.lender, answer)
        self._buckets[account] = bucket
        return bucket

    def _unused_bucket(
        self, account: str, limit: QuotaLimit, now: float
    ) -> AccountBucket | None:
        """Returns the bucket of an account that nobody used while lent here.

        Returns:
          The bucket; `None` if this node has not lent the account.
        """
        discovered_at = self._lender_map.discovered_at(now)
        if discovered_at is None:
            return None
        ended_at = now
        for tenure in self._lender_map.tenures(account):
            if tenure.lender == self._lender_map.own_name:
                bucket = self._create_bucket(
                    limit, tenure, discovered_at, ended_at
                )
                self._buckets[account] = bucket
                return bucket
            ended_at = tenure.since
        return None

    def _is_ready(self, discovered_at: float, now: float) -> bool:
        if now < max(self._ready_at, discovered_at + MIN_DISCOVERY_S):
            return False
        if now - discovered_at >= MAX_DISCOVERY_S:
            return True
        return now - self._lender_map.changed_at >= _JOIN_QUIET_S

    def _create_bucket(
        self,
        limit: QuotaLimit,
        tenure: Tenure,
        discovered_at: float,
        now: float,
    ) -> AccountBucket:
        """Creates a bucket, filled as if refilled since the tenure began.

        It is full if no other node can have lent the account for long enough.
        """
        overlap_s = _MAX_OVERLAP_S if tenure.was_lost else 0.0
        since = max(
            tenure.since + overlap_s,
            self._ready_at,
            discovered_at + MIN_DISCOVERY_S,
        )
        fraction = self._lender_map.reachable_fraction
        gained = max(0.0, now - since) * limit.rate_per_s
        level = min(limit.depth, gained) * fraction
        return AccountBucket(limit, level, since, now)

    def _should_announce(self, bucket: AccountBucket, now: float) -> bool:
        """Returns whether to announce a shortage now; records that it was."""
        # A node that appeared has not heard the last notice.
        is_recent = now - bucket.announced_at < ANNOUNCE_INTERVAL_S
        was_heard = bucket.announced_at > self._lender_map.changed_at
        if not bucket.is_short or (is_recent and was_heard):
            return False
        if now - bucket.requested_at > _DEMAND_TIMEOUT_S:
            return False
        bucket.announced_at = now
        bucket.shortage_announced = True
        return True

    def _log_opening(
        self,
        account: str,
        bucket: AccountBucket,
        previous: str,
        answer: BucketTransfer | None,
    ) -> None:
        self._log.info(
            f"Lends account {account} in place of another node.",
            previous=previous,
            answered=answer is not None,
            was_lender=answer is not None and answer.is_known,
            level=round(bucket.level, 1),
        )

    def _log_over_quota(self, account: str, bucket: AccountBucket) -> None:
        if bucket.is_over_quota:
            return
        bucket.is_over_quota = True
        self._log.info(
            f"Account {account} is over its quota.",
            rate_per_s=bucket.limit.rate_per_s,
            most=round(bucket.limit.max_per_window, 1),
            window_s=bucket.limit.window_s,
            level=round(bucket.level, 1),
            share=round(self._lender_map.reachable_fraction, 3),
        )

    def _log_within_quota(self, account: str, bucket: AccountBucket) -> None:
        if not bucket.is_over_quota:
            return
        bucket.is_over_quota = False
        self._log.info(
            f"Account {account} is within its quota again.",
            level=round(bucket.level, 1),
        )

    def _remove(self, account: str) -> None:
        self._lent_by_removed += self._buckets.pop(account).tokens_lent

    def _check_pause(self, now: float) -> None:
        """Discards all buckets after a pause, since others may have lent."""
        paused_s = now - self._ticked_at
        self._ticked_at = now
        if paused_s <= MAX_PAUSE_S:
            return
        self._log.change(
            "Process was paused; discarded the token buckets of all accounts.",
            paused_s=round(paused_s, 2),
            accounts=len(self._buckets),
        )
        for account in tuple(self._buckets):
            self._remove(account)
        self._transfers.clear()
        self._ready_at = now + LEASE_S


def _send_nothing(lender: str, request: BucketRequest) -> None:
    """Asks no other node; the default."""
