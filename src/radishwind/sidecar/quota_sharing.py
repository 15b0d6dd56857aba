"""Enforces the quotas of client accounts together with the other nodes."""

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
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.quota_channel import QuotaChannel
from radishwind.supervision import notify

#: Interval of the periodic work of borrower and lender.
TICK_INTERVAL_S = 0.25

#: Time that a lease request waits for others to be sent in the same datagram.
BATCH_DELAY_S = 0.01


class QuotaSharing:
    """Wires borrower, lender and datagrams of the quotas of a node.

    Attributes:
      borrower: decides on requests.
      lender: lends tokens of the accounts that this node ranks first for.
      channel: carries the messages of both.
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
          settings: settings of the node.
          clock: the clock; it also advances while the machine is suspended.
          rng: chooses the identifier of this start and spreads retry times.
          routes: the routes configuration with the accounts in force.
          membership: knows the nodes that share the quotas.
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
        self._wake_up = anyio.Event()
        self._is_stale = True
        self._addresses: dict[str, Address] = {}
        self._lender_map = LenderMap(
            settings.node, clock.monotonic(), membership.found_no_peers
        )
        self.lender = Lender(
            self._lender_map,
            self._limits.get,
            clock,
            rng.getrandbits(48),
            lambda name, request: self.channel.ask_for_bucket(name, request),
        )
        self.borrower = Borrower(
            self._lender_map,
            self._limits.get,
            rng,
            lambda request: self.channel.handle_own_request(request),
            lambda: self._wake_up.set(),
        )
        self.channel = QuotaChannel(
            socket,
            clock,
            self.lender,
            self.borrower,
            self._addresses.get,
            lambda: [self._addresses[n] for n in self._other_nodes()],
            lambda: self._limits.has_any,
        )
        membership.gossip.table.add_member_listener(self._on_member_changed)
        routes.subscribe(lambda cfg: self._wake_up.set())

    async def run(self) -> None:
        """Borrows and lends until cancelled."""
        due = self._clock.monotonic()
        while True:
            await self._wait_until_needed()
            now = self._clock.monotonic()
            if now >= due:
                due = now + TICK_INTERVAL_S
                self._tick(now)
            with anyio.move_on_after(due - now):
                await self._wake_up.wait()
                await anyio.sleep(BATCH_DELAY_S)
            self._wake_up = anyio.Event()
            self.channel.flush()

    async def _wait_until_needed(self) -> None:
        """Sleeps without periodic work while no account has a quota."""
        if self._limits.has_any:
            return
        while not self._limits.has_any:
            await self._wake_up.wait()
            self._wake_up = anyio.Event()
        self.lender.resume(self._clock.monotonic())

    def _tick(self, now: float) -> None:
        if self._is_stale:
            self._update_members(self._membership.gossip, now)
        self.channel.tick()
        for name in self.borrower.unresponsive_lenders(now):
            self._membership.report_unreachable(name)

    def _on_member_changed(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        self._is_stale = True

    def _update_members(self, gossip: Gossip, now: float) -> None:
        """Updates the nodes that lend; nodes that left are not counted."""
        records = gossip.table.members
        lenders = [
            name for name, record in records.items() if _may_lend(record)
        ]
        # A node that leaves still admits requests, and has buckets to give up.
        reachable = [name for name, record in records.items() if _runs(record)]
        known = sum(
            r.advertised < AdvertisedState.LEAVING for r in records.values()
        )
        self._addresses.clear()
        for name in reachable:
            notify("quotas.members", self._set_address, records[name])
        self._lender_map.update_members(lenders, known, now)
        self._is_stale = False

    def _set_address(self, record: MemberRecord) -> None:
        self._addresses[record.name] = Address.parse(record.address)

    def _other_nodes(self) -> list[str]:
        return [
            name
            for name in self._addresses
            if name != self._lender_map.own_name
        ]


class _Limits:
    """The limits of the accounts in force, computed once per version."""

    def __init__(self, routes: ActiveRoutes, bounds: QuotaBounds) -> None:
        self._routes = routes
        self._bounds = bounds
        self._accounts: AccountIndex | None = None
        self._limits: dict[str, QuotaLimit | None] = {}
        self._has_any = False

    @property
    def has_any(self) -> bool:
        """Whether any account has a quota."""
        self._update()
        return self._has_any

    def get(self, name: str) -> QuotaLimit | None:
        """Returns the limit of the account `name`; `None` if it has none."""
        index = self._update()
        if name not in self._limits:
            account = index.accounts.get(name)
            if account is None:
                return None
            self._limits[name] = QuotaLimit.for_account(account, self._bounds)
        return self._limits[name]

    def _update(self) -> AccountIndex:
        index = self._routes.accounts
        if index is not self._accounts:
            self._accounts = index
            self._limits = {}
            accounts = index.accounts.values()
            self._has_any = any(account.is_limited for account in accounts)
        return index


def _runs(record: MemberRecord) -> bool:
    is_alive = record.liveness is Liveness.ALIVE
    return is_alive and record.advertised is not AdvertisedState.LEFT


def _may_lend(record: MemberRecord) -> bool:
    is_alive = record.liveness is Liveness.ALIVE
    return is_alive and record.advertised < AdvertisedState.LEAVING
