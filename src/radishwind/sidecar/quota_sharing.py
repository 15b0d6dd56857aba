"""Keeps quotas of client accounts with the other nodes, where there are any."""

import random

import anyio

from radishwind.accounts import AccountIndex
from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.gossip import Gossip
from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.peers.peer_socket import PeerSocket
from radishwind.quotas import Borrower
from radishwind.quotas import Lender
from radishwind.quotas import LenderMap
from radishwind.quotas import QuotaBounds
from radishwind.quotas import QuotaLimit
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.quota_channel import QuotaChannel

#: Between looks for what time brings (s).
TICK_S = 0.25

#: Questions wait so long for others that can go with them (s).
BATCH_S = 0.01


class QuotaSharing:
    """Owns the quotas of a node and their datagrams.

    Attributes:
      borrower: decides on requests.
      lender: lends the accounts that this node is ranked first for.
      channel: carries their messages.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        rng: random.Random,
        routes: ActiveRoutes,
        membership: MembershipTasks,
        socket: PeerSocket,
    ) -> None:
        """Wires the quotas.

        Args:
          settings: of the node.
          clock: the clock; it goes on while the machine stands still.
          rng: names this start, spreads times to come back.
          routes: hold the accounts in force.
          membership: whose members share the quotas.
          socket: carries the datagrams.
        """
        self._clock = clock
        self._membership = membership
        self._limits = _Limits(
            routes,
            QuotaBounds(
                settings.quota_window_s,
                settings.quota_over,
                settings.quota_slack,
            ),
        )
        self._woken = anyio.Event()
        self._stale = True
        self._addresses: dict[str, Address] = {}
        self._lender_map = LenderMap(
            settings.node, clock.monotonic(), membership.found_no_peers
        )
        self.lender = Lender(self._lender_map, self._limits.of, clock)
        self.borrower = Borrower(
            self._lender_map,
            self._limits.of,
            rng,
            lambda ask: self.channel.answer_own(ask),
            lambda: self._woken.set(),
        )
        self.channel = QuotaChannel(
            socket,
            clock,
            self.lender,
            self.borrower,
            self._addresses.get,
            lambda: [self._addresses[n] for n in self._others()],
            lambda: self._limits.any,
        )
        membership.gossip.table.add_member_listener(self._changed)
        routes.subscribe(lambda cfg: self._woken.set())

    async def run(self) -> None:
        """Asks and lends until cancelled."""
        due = self._clock.monotonic()
        while True:
            await self._until_needed()
            now = self._clock.monotonic()
            if now >= due:
                due = now + TICK_S
                self._tick(now)
            with anyio.move_on_after(due - now):
                await self._woken.wait()
                await anyio.sleep(BATCH_S)
            self._woken = anyio.Event()
            self.channel.flush()

    async def _until_needed(self) -> None:
        """Waits, without waking, while no account has a quota."""
        if self._limits.any:
            return
        while not self._limits.any:
            await self._woken.wait()
            self._woken = anyio.Event()
        self.lender.resume(self._clock.monotonic())

    def _tick(self, now: float) -> None:
        if self._stale:
            self._follow(self._membership.gossip, now)
        self.channel.tick()
        for name in self.borrower.unresponsive_lenders(now):
            self._membership.report_unreachable(name)

    def _changed(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        self._stale = True

    def _follow(self, gossip: Gossip, now: float) -> None:
        """Takes the nodes there are; who left is none of them any more."""
        self._stale = False
        facts = gossip.table.members
        live = [name for name, fact in facts.items() if _may_lend(fact)]
        known = sum(
            f.advertised is not AdvertisedState.LEFT for f in facts.values()
        )
        self._addresses.clear()
        for name in live:
            self._addresses[name] = Address.parse(facts[name].address)
        self._lender_map.update_members(live, known, now)

    def _others(self) -> list[str]:
        return [
            name
            for name in self._addresses
            if name != self._lender_map.own_name
        ]


class _Limits:
    """The limits of the accounts in force, worked out once."""

    def __init__(self, routes: ActiveRoutes, bounds: QuotaBounds) -> None:
        self._routes = routes
        self._bounds = bounds
        self._book: AccountIndex | None = None
        self._limits: dict[str, QuotaLimit | None] = {}
        self._has_any = False

    @property
    def any(self) -> bool:
        """Whether any account has a quota."""
        self._follow()
        return self._has_any

    def of(self, name: str) -> QuotaLimit | None:
        """Returns the limit of the account `name`, if it has one."""
        book = self._follow()
        if name not in self._limits:
            account = book.accounts.get(name)
            if account is None:
                return None
            self._limits[name] = QuotaLimit.for_account(account, self._bounds)
        return self._limits[name]

    def _follow(self) -> AccountIndex:
        book = self._routes.accounts
        if book is not self._book:
            self._book = book
            self._limits = {}
            accounts = book.accounts.values()
            self._has_any = any(account.is_limited for account in accounts)
        return book


def _may_lend(fact: MemberRecord) -> bool:
    fine = fact.liveness is Liveness.ALIVE
    return fine and fact.advertised < AdvertisedState.LEAVING
