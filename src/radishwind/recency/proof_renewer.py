"""Renews a node's freshness proof: carries out what the planner decides."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import math
import random

import anyio

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket
from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule
from radishwind.recency.proof_exchange import ProofExchange
from radishwind.recency.proven_freshness import ProvenFreshness
from radishwind.recency.renewal_planner import RenewalPlanner
from radishwind.recency.source_selector import SourceSelector
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.supervision import Duty
from radishwind.supervision import run_together
from radishwind.supervision import TaskPool
from radishwind.telemetry.part_logger import PartLogger

#: A node without a configuration plans again after this time.
_UNCONFIGURED_WAIT_S = 0.5

#: What a node without a valid proof does, by what the proof is needed for.
_REFUSALS = {
    "routes": "answers requests of unknown routes as not run",
    "keys": "refuses requests with a key",
}


class ProofRenewer:
    """Owns the freshness proof, its datagrams, and the task that renews it.

    Attributes:
      freshness: holds the proof.
      exchange: queries and replies, and their counters.
    """

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        schedule: ProofSchedule,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        socket: PeerSocket,
        routes: ActiveRoutes,
        first_wait_s: float = 0.0,
        max_ages_s: Mapping[str, float] | None = None,
    ) -> None:
        """Creates the renewer.

        Args:
          node_name: name of this node.
          failure_domain: failure domain of this node.
          schedule: ages of the proof at which the node acts.
          max_ages_s: age at which a proof expires (s), by what it is needed
            for: `routes` or `keys`.
          clock: clock whose monotonic time continues during a suspension.
          rng: random source for query ids and for spreading store calls.
          directory: the known nodes.
          socket: carries queries and replies.
          routes: the configuration in force.
          first_wait_s: a node that got the configuration from a peer reads the
            store itself after a random time up to this (s).
        """
        self._first_wait_s = first_wait_s
        self._schedule = schedule
        self._clock = clock
        self._rng = rng
        self._socket = socket
        self._routes = routes
        self._selector = SourceSelector(
            node_name, failure_domain, directory, rng
        )
        self._log = PartLogger("recency", clock)
        self._read_store: Callable[[], Awaitable[FreshnessProof | None]] = (
            _read_no_store
        )
        self._on_newer_version: Callable[[int], None] = _ignore_version
        self._woken = anyio.Event()
        self._planner: RenewalPlanner | None = None
        self._source = ""
        self._reads = TaskPool("recency.reads")
        self._max_ages_s = max_ages_s or {"routes": schedule.max_age_s}
        self._fresh_uses: set[str] = set()
        self.freshness = ProvenFreshness(schedule, lambda: routes.version, rng)
        self.freshness.on_stale = self._wake
        self.exchange = ProofExchange(
            rng=rng,
            send=self._send,
            newest=self.freshness.newest,
            useful_below_s=schedule.relay_query_age_s,
            query_lifetime_s=schedule.bound_s,
        )
        socket.add_handler(Channel.RECENCY, self._receive)
        routes.subscribe(lambda cfg: self._wake())

    def connect(
        self,
        read_store: Callable[[], Awaitable[FreshnessProof | None]],
        on_newer_version: Callable[[int], None],
    ) -> None:
        """Connects the renewer to the feed of configurations.

        Args:
          read_store: reads the store; returns the resulting proof, if any.
          on_newer_version: called with a version that is proven to exist and
            not in force here.
        """
        self._read_store = read_store
        self._on_newer_version = on_newer_version

    def accept_first_read(self, proof: FreshnessProof) -> None:
        """Accepts the proof of the first store read, made outside this task."""
        self._accept(proof, "store")
        self._wake()

    def proof_ages_s(self) -> dict[str, float]:
        """Returns the age of the proof for the metrics; empty without one."""
        age_s = self.freshness.age_s(self._clock.monotonic())
        return {"": age_s} if age_s < math.inf else {}

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties; they idle before the first configuration."""
        return (self._reads.duty, Duty("recency.renewal", self._run_renewals))

    async def run(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties())

    async def _run_renewals(self) -> None:
        while True:
            self._woken = anyio.Event()
            wait_s = _UNCONFIGURED_WAIT_S
            if self._routes.cfg is not None:
                wait_s = self._renew()
            with anyio.move_on_after(wait_s):
                await self._woken.wait()

    def _renew(self) -> float:
        """Does what is due; returns after how long to continue (s)."""
        now = self._clock.monotonic()
        if self._planner is None:
            self._planner = RenewalPlanner(
                schedule=self._schedule,
                freshness=self.freshness,
                selector=self._selector,
                rng=self._rng,
                now=now,
                first_wait_s=self._first_wait_s,
            )
        self._log_change(now)
        plan = self._planner.plan(now)
        if plan.reads_store and not self._reads.start_soon(
            self._read, self._planner
        ):
            self._planner.read_ended(False, now)
        for member in plan.queries:
            self.exchange.query(
                member.name, member.address, self._clock.monotonic()
            )
        return plan.next_plan_s

    async def _read(self, planner: RenewalPlanner) -> None:
        is_proven = False
        try:
            proof = await self._read_store()
            if proof is not None:
                self._accept(proof, "store")
                is_proven = True
        finally:
            planner.read_ended(is_proven, self._clock.monotonic())
            self._wake()

    def _accept(self, proof: FreshnessProof, source: str) -> None:
        if not self.freshness.accept(proof):
            return
        self._source = source
        now = self._clock.monotonic()
        self.exchange.answer_waiting(now)
        self._log_change(now)
        if proof.version > self._routes.version:
            self._on_newer_version(proof.version)

    def _receive(self, data: bytes, sender: Address) -> bool:
        now = self._clock.monotonic()
        try:
            reply = self.exchange.receive(data, sender, now)
        except ValueError:
            return False
        if reply is None:
            return True
        name, proof = reply
        if proof is not None:
            self._accept(proof, name)
        if self._planner is not None:
            self._planner.reply_received(name, proof, now)
        self._wake()
        return True

    def _send(self, data: bytes, address: Address) -> None:
        self._socket.send(Channel.RECENCY, data, (address,))

    def _wake(self) -> None:
        self._woken.set()

    def _log_change(self, now: float) -> None:
        """Logs when the proof has expired or is valid again, for each use."""
        age_s = self.freshness.age_s(now)
        for use, max_age_s in self._max_ages_s.items():
            is_fresh = age_s < max_age_s
            if is_fresh == (use in self._fresh_uses):
                continue
            self._fresh_uses ^= {use}
            self._log.change(
                f"Has proof of recent {use}."
                if is_fresh
                else f"Out of proof of recent {use}; {_REFUSALS[use]}.",
                age_s=round(age_s, 3) if age_s < math.inf else None,
                version=self._routes.version,
                source=self._source,
            )


async def _read_no_store() -> FreshnessProof | None:
    """Default of `read_store`: yields no proof."""
    return None


def _ignore_version(version: int) -> None:
    """Default of `on_newer_version`."""
