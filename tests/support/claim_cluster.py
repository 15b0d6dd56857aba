"""A cluster with entry nodes, targets, servers and a store in one process.

All faults and interleavings come from one seeded generator and time advances
only explicitly, so that a run is reproducible from its seed.
"""

import collections
from collections.abc import Callable
import random

import anyio
import anyio.lowlevel

from radishwind.claims import ClaimGuard
from radishwind.claims.claim_writer import BatchClaimWriter
from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Rules
from radishwind.config.model import Service
from radishwind.config.model import ServiceRules
from radishwind.core import Clock
from radishwind.core import ManualClock
from radishwind.entry import EntryPipeline
from radishwind.entry.classifier import InventoryClassifier
from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.http import ExchangeBrokenError
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import Body
from radishwind.http.types import get_header
from radishwind.membership import RumorBus
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.node.claims import make_claims
from radishwind.node.claims import NodeClaims
from radishwind.peers import ForwardRunner
from radishwind.peers import PeerListener
from radishwind.quarantine import Quarantine
from radishwind.quarantine.isolating_runner import IsolatingRunner
from radishwind.quarantine.quarantine import QuarantineCheck
from radishwind.retries import CappedRetryPolicy
from radishwind.retries import RetryPolicy
from radishwind.routing.baselines import RandomChooser
from radishwind.routing.placement import UnrestrictedPlacement
from radishwind.settings import NodeSettings
from radishwind.standins.store import StoreStandin
from radishwind.store import EtcdStore
from radishwind.store import Store
from radishwind.supervision import run_together
from radishwind.target import TargetPipeline
from tests.support.in_process_sender import InProcessSender
from tests.support.targets import make_target_pipeline

STORE = Address("10.0.0.1", 2379)
RULES = ServiceRules(deadline_ms=2_000, max_deadline_ms=5_000)
CONFIG = Configuration(
    1,
    inventory=Inventory(services=(Service("prenota"),)),
    rules=Rules(defaults=RULES),
)

#: Wraps or replaces the guard of a node, for weakened variants of the code.
GuardFactory = Callable[[ClaimGuard, Store, Clock], ClaimGuard]


class FaultyStore:
    """The stand-in of the store behind a network with random faults.

    Attributes:
      standin: the stand-in.
      fault_share: fraction of the requests that a fault affects.
      is_down: whether all connections are refused.
    """

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        self.standin = StoreStandin(clock)
        self._clock = clock
        self._rng = rng
        self.fault_share = 0.0
        self.is_down = False
        self._late: list[Request] = []

    async def handle(self, request: Request) -> Response:
        if self.is_down:
            raise ConnectFailedError("the store is down")
        for _ in range(self._rng.randrange(4)):
            await anyio.lowlevel.checkpoint()
        if self._rng.random() >= self.fault_share:
            return await self.standin.handle(request)
        kind = self._rng.choice(("refused", "lost", "late", "slow"))
        if kind == "refused":
            raise ConnectFailedError("refused")
        if kind == "slow":
            self._clock.advance(self._rng.uniform(0.0, 3.0))
            return await self.standin.handle(request)
        if kind == "lost":
            await self.standin.handle(request)
        else:
            self._late.append(request)
        raise ExchangeBrokenError(f"answer {kind}")

    async def deliver_late(self) -> None:
        """Handles the delayed requests."""
        late, self._late = self._late, []
        for request in late:
            await self.standin.handle(request)


class CountingServers:
    """Backend servers that count the requests they run.

    Attributes:
      fault_share: fraction of the requests that a fault affects.
      runs: number of requests run, by idempotency key.
      runs_by_body: number of requests run, by body.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.fault_share = 0.0
        self.runs: collections.Counter[str] = collections.Counter()
        self.runs_by_body: collections.Counter[bytes] = collections.Counter()

    async def handle(self, request: Request) -> Response:
        fault = ""
        if self._rng.random() < self.fault_share:
            fault = self._rng.choice(("refused", "shed", "before", "after"))
        if fault == "refused":
            raise ConnectFailedError("refused")
        if fault == "shed":
            return Response(503, (("Radishwind-Shed", "1"),), b"")
        await anyio.lowlevel.checkpoint()
        if fault == "before":
            raise ExchangeBrokenError("cut before it ran")
        key = get_header(request.headers, "idempotency-key") or ""
        assert isinstance(request.body, bytes)
        self.runs[key] += 1
        self.runs_by_body[request.body] += 1
        for _ in range(self._rng.randrange(6)):
            await anyio.lowlevel.checkpoint()
        if fault == "after":
            raise ExchangeBrokenError("cut after it ran")
        return Response(200, (), b"booked " + request.body)


class StaticDirectory(Directory):
    """A directory with a fixed set of members."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._members = members

    def eligible_members(self, service: str) -> tuple[Member, ...]:
        return self._members

    def members(self) -> tuple[Member, ...]:
        return self._members


class PausableSender(InProcessSender):
    """Delays requests while the sending process is paused.

    Attributes:
      resumed: set when the process resumes; `None` while it is not paused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.resumed: anyio.Event | None = None

    async def send(
        self, address: Address, request: Request, connect_timeout_s: float
    ) -> Response:
        if self.resumed is not None:
            await self.resumed.wait()
        return await super().send(address, request, connect_timeout_s)


class EntryNode:
    """The entry side of a node; `crash` loses its state."""

    def __init__(self, cluster: "Cluster", name: str) -> None:
        self.sender = PausableSender()
        self.sender.handlers = cluster.handlers
        cfg = NodeSettings(
            target=name,
            service="prenota",
            failure_domain="savona",
            store=STORE,
            claim_store_wait_s=cluster.store_wait_s,
            claim_repeat_wait_s=cluster.repeat_wait_s,
            claim_writes_per_s=cluster.writes_per_s,
            claim_memory_bytes=64 * 1024,
        )
        store = EtcdStore(cluster.sender, STORE)
        self.claims: NodeClaims = make_claims(
            cfg,
            cluster.clock,
            cluster.rng,
            store,
            lambda: 1,
            # With a single transaction in flight, claims are batched.
            BatchClaimWriter(store, max_in_flight=1),
        )
        guard: ClaimGuard = self.claims.guard
        if cluster.guard is not None:
            guard = cluster.guard(guard, store, cluster.clock)
        runner = ForwardRunner(
            node_name=name,
            clock=cluster.clock,
            target=cluster.targets[0],
            sender=self.sender,
        )
        self._entry = EntryPipeline(
            clock=cluster.clock,
            classifier=InventoryClassifier(
                node_name=name,
                clock=cluster.clock,
                rng=cluster.rng,
                index=lambda: cluster.index,
            ),
            placement=UnrestrictedPlacement(cluster.directory),
            chooser=RandomChooser(cluster.rng),
            retries=cluster.retries,
            runner=IsolatingRunner(runner) if cluster.rumor_bus else runner,
            claims=guard,
            quarantine=self._quarantine(cluster, name),
        )
        self._scope = anyio.CancelScope()

    def _quarantine(
        self, cluster: "Cluster", name: str
    ) -> QuarantineCheck | None:
        if cluster.rumor_bus is None:
            return None
        return Quarantine(
            target=name,
            service="prenota",
            clock=cluster.clock,
            rumor_bus=cluster.rumor_bus,
        )

    async def main(self) -> None:
        with self._scope:
            await run_together(self.claims.guard.duties())

    def crash(self) -> None:
        self._scope.cancel()

    async def send(
        self,
        key: str,
        body: Body,
        *fields: tuple[str, str],
        method: str = "POST",
    ) -> Response:
        headers = (("Idempotency-Key", key), *fields) if key else fields
        size = len(body) if isinstance(body, bytes) else None
        request = Request(method, "/prenota/x", headers, body, size)
        return await self._entry.handle(request)


class Cluster:
    """Two targets and a store; entry nodes are added by `node`.

    Args:
      seed: seed of the random generator.
      guard: wraps or replaces the guard of each entry node.
      retries: retry policy of the entry nodes.
      store_wait_s: how long a call to the store may take (s).
      repeat_wait_s: how long a duplicate waits for an earlier request with the
        same key at the same node (s).
      writes_per_s: rate limit of writes to the store (1/s).
      rumor_bus: spreads the quarantine; without it there is none.
    """

    def __init__(
        self,
        seed: int,
        guard: GuardFactory | None = None,
        retries: RetryPolicy | None = None,
        store_wait_s: float = 10.0,
        repeat_wait_s: float = 0.0,
        writes_per_s: float = 10_000.0,
        rumor_bus: RumorBus | None = None,
    ) -> None:
        self.rumor_bus = rumor_bus
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.guard = guard
        self.retries = retries or CappedRetryPolicy()
        self.store_wait_s = store_wait_s
        self.repeat_wait_s = repeat_wait_s
        self.writes_per_s = writes_per_s
        self.index = ConfigIndex(CONFIG)
        self.sender = InProcessSender()
        self.handlers = self.sender.handlers
        self.store = FaultyStore(self.clock, self.rng)
        self.handlers[STORE] = self.store.handle
        self.servers = CountingServers(self.rng)
        self.targets: list[TargetPipeline] = []
        members = [self._add_target(number) for number in (1, 2)]
        self.directory = StaticDirectory(tuple(members))

    def node(self, name: str) -> EntryNode:
        return EntryNode(self, name)

    def _add_target(self, number: int) -> Member:
        name = f"prenota-{number}"
        server, peer = (Address(f"10.0.1.{number}", p) for p in (80, 81))
        target = make_target_pipeline(
            *(name, "prenota", self.clock, self.sender, server, 100),
            self.rumor_bus,
        )
        listener = PeerListener(
            node_name=name,
            clock=self.clock,
            rules_for=lambda name: self.index.cfg.rules.for_service(name),
            target=target,
        )
        self.targets.append(target)
        self.handlers[server] = self.servers.handle
        self.handlers[peer] = listener.handle
        return Member(name, "prenota", "savona", peer)
