"""Lends requests of the accounts that this node is ranked first for."""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.quotas.lender_map import LenderMap
from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import ShortageNotice
from radishwind.quotas.messages import shortages
from radishwind.quotas.pool import Key
from radishwind.quotas.pool import LEASE_S
from radishwind.quotas.pool import Pool
from radishwind.telemetry.logs import PartLogger

#: All nodes are told again that an account is short after so long (s).
TELL_AGAIN_S = 0.7

#: A node that stood still for longer may have been replaced meanwhile (s).
STOOD_STILL_S = 1.0

#: A node that just found the others lends nothing for so long (s): it may not
#: know all yet. Nor while others still come, up to the longer time.
SETTLES_S = 0.3
SETTLED_BY_S = 0.7
_COMING_S = 0.2

#: Where nodes were lost, another may lend for so long until it notices (s).
_BOTH_LEND_S = 1.0

#: An account that nobody asked for is no longer told to be short (s).
_ASKED_LATELY_S = 2.0


class Lender:
    """Keeps the pools of the accounts that this node lends.

    Nothing outlives the process, and nothing is handed over: whoever begins
    to lend has a small part of the tolerance and what time brings from then on.

    Attributes:
      lent: requests lent since the start.
    """

    def __init__(
        self,
        lender_map: LenderMap,
        limit_of: Callable[[str], QuotaLimit | None],
        clock: Clock,
    ) -> None:
        """Makes a lender.

        Args:
          lender_map: the nodes there are.
          limit_of: returns the limit of an account in force; `None` if it has
            none.
          clock: tells log lines that come again.
        """
        self._lender_map = lender_map
        self._limit_of = limit_of
        self._log = PartLogger("quotas", clock)
        self._pools: dict[str, Pool] = {}
        now = clock.monotonic()
        self._ready_at = now
        self._ticked_at = now
        self._lent_before = 0

    @property
    def tokens_lent(self) -> int:
        """Requests lent since the start."""
        return self._lent_before + sum(p.lent for p in self._pools.values())

    @property
    def account_count(self) -> int:
        """How many accounts that are in use this node lends."""
        return len(self._pools)

    @property
    def short_count(self) -> int:
        """How many of them have no room."""
        return sum(pool.is_short for pool in self._pools.values())

    def handle_request(
        self, ask: LeaseRequest, now: float
    ) -> tuple[LeaseGrant, tuple[ShortageNotice, ...]]:
        """Takes a question.

        Args:
          ask: the question.
          now: monotonic time (s).

        Returns:
          The answer, and what all nodes must hear.
        """
        self._notice_pause(now)
        key = Key(ask.node, ask.start)
        granted: list[LeaseGrantItem] = []
        short: list[str] = []
        for item in ask.items:
            pool = self._pool(item.account, now)
            if pool is None:
                continue
            pool.fill(self._lender_map.reachable_fraction, now)
            answer = pool.take(key, ask.order, item, now)
            pool.fill(self._lender_map.reachable_fraction, now)
            if answer is not None:
                granted.append(answer)
                if pool.is_short and answer.limit <= answer.spent:
                    self._note_over(item.account, pool)
            if self._must_tell(pool, now):
                short.append(item.account)
        grant = LeaseGrant(
            self._lender_map.own_name,
            ask.start,
            ask.order,
            ask.sent_at,
            tuple(granted),
        )
        return grant, tuple(shortages(self._lender_map.own_name, short, ()))

    def tick(self, now: float) -> tuple[ShortageNotice, ...]:
        """Drops what is no longer needed.

        Args:
          now: monotonic time (s).

        Returns:
          What all nodes must hear.
        """
        self._notice_pause(now)
        self._lender_map.discovered_at(now)
        short: list[str] = []
        roomy: list[str] = []
        for account, pool in list(self._pools.items()):
            limit = self._limit_of(account)
            if limit is None:
                self._drop(account)
                continue
            pool.limit = limit
            if self._lender_map.lender_of(account) != self._lender_map.own_name:
                # It may come back; then it must not begin anew.
                pool.rest(now)
                if now - pool.asked_at > limit.window_s:
                    self._drop(account)
                continue
            pool.expire(now)
            pool.fill(self._lender_map.reachable_fraction, now)
            if pool.told_short and not pool.is_short:
                pool.told_short = False
                roomy.append(account)
                self._note_back(account, pool)
            if pool.is_idle and pool.is_full(
                self._lender_map.reachable_fraction
            ):
                self._drop(account)
            elif self._must_tell(pool, now):
                short.append(account)
        return tuple(shortages(self._lender_map.own_name, short, roomy))

    def resume(self, now: float) -> None:
        """Takes it that `tick` was not called since nothing had to be lent."""
        self._ticked_at = now

    def _pool(self, account: str, now: float) -> Pool | None:
        """Returns the pool of `account`; `None` if it isn't lent here."""
        limit = self._limit_of(account)
        if (
            limit is None
            or self._lender_map.lender_of(account) != self._lender_map.own_name
        ):
            return None
        found_at = self._lender_map.discovered_at(now)
        if found_at is None or not self._is_ready(found_at, now):
            # Each node may let in one unasked until it is answered.
            return None
        pool = self._pools.get(account)
        if pool is None:
            pool = self._pools[account] = self._open(limit, found_at, now)
        pool.limit = limit
        return pool

    def _is_ready(self, found_at: float, now: float) -> bool:
        if now < max(self._ready_at, found_at + SETTLES_S):
            return False
        if now - found_at >= SETTLED_BY_S:
            return True
        return now - self._lender_map.changed_at >= _COMING_S

    def _open(self, limit: QuotaLimit, found_at: float, now: float) -> Pool:
        """Opens a pool: full if nobody else can have lent for long enough."""
        since = max(
            self._lender_map.changed_at,
            self._lender_map.lost_at + _BOTH_LEND_S,
            self._ready_at,
            found_at + SETTLES_S,
        )
        share = self._lender_map.reachable_fraction
        gained = max(0.0, now - since) * limit.rate_per_s
        level = min(limit.depth, limit.opening + gained) * share
        return Pool(limit, level, since, now)

    def _must_tell(self, pool: Pool, now: float) -> bool:
        if not pool.is_short or now - pool.told_short_at < TELL_AGAIN_S:
            return False
        if now - pool.asked_at > _ASKED_LATELY_S:
            return False
        pool.told_short_at = now
        pool.told_short = True
        return True

    def _note_over(self, account: str, pool: Pool) -> None:
        if pool.is_over:
            return
        pool.is_over = True
        self._log.info(
            f"Account {account} is over its quota.",
            rate_per_s=pool.limit.rate_per_s,
            most=round(pool.limit.max_per_window, 1),
            window_s=pool.limit.window_s,
            level=round(pool.level, 1),
            share=round(self._lender_map.reachable_fraction, 3),
        )

    def _note_back(self, account: str, pool: Pool) -> None:
        if not pool.is_over:
            return
        pool.is_over = False
        self._log.info(
            f"Account {account} has room again.", level=round(pool.level, 1)
        )

    def _drop(self, account: str) -> None:
        self._lent_before += self._pools.pop(account).lent

    def _notice_pause(self, now: float) -> None:
        """Begins anew where this node stood still and others may have lent."""
        paused_s = now - self._ticked_at
        self._ticked_at = now
        if paused_s <= STOOD_STILL_S:
            return
        self._log.change(
            "Stood still; lends accounts anew.",
            paused_s=round(paused_s, 2),
            accounts=len(self._pools),
        )
        for account in tuple(self._pools):
            self._drop(account)
        self._ready_at = now + LEASE_S
