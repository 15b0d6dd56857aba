"""Keeps a node's proof recent: sends what the seeker decides."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
import random

import anyio
import anyio.abc

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.peers.datagrams import Channel
from radishwind.peers.datagrams import PeerSocket
from radishwind.recency.exchange import Exchange
from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule
from radishwind.recency.proven_freshness import ProvenFreshness
from radishwind.recency.seeker import Seeker
from radishwind.recency.sources import Sources
from radishwind.routes.in_force import RoutesInForce
from radishwind.telemetry.logs import PartLogger

#: How often a node without accounts looks whether it has some (s).
_IDLE_S = 0.5


class ProofRenewer:
    """Owns the datagrams of proof, and the task that renews it.

    Attributes:
      proof: the proof held.
      exchange: questions and answers; counts them.
    """

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        times: ProofSchedule,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        socket: PeerSocket,
        routes: RoutesInForce,
        first_wait_s: float = 0.0,
    ) -> None:
        """Wires the keeper.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
          times: what is done at which age.
          clock: the clock, whose monotonic time counts a suspension.
          rng: names questions, spreads calls.
          directory: the nodes there are.
          socket: carries questions and answers.
          routes: the configuration in force, and its client accounts.
          first_wait_s: a node that a peer brought the configuration reads the
            store itself after up to this time (s), at random.
        """
        self._first_wait_s = first_wait_s
        self._times = times
        self._clock = clock
        self._rng = rng
        self._socket = socket
        self._routes = routes
        self._sources = Sources(node_name, failure_domain, directory, rng)
        self._log = PartLogger("recency", clock)
        self._confirm: Callable[[], Awaitable[FreshnessProof | None]] = (
            _unconfirmed
        )
        self._hear: Callable[[int], None] = _unheard
        self._woken = anyio.Event()
        self._seeker: Seeker | None = None
        self._source = ""
        self._stood = False
        self.proof = ProvenFreshness(times, lambda: routes.version, rng)
        self.proof.on_stale = self._wake
        self.exchange = Exchange(
            rng=rng,
            send=self._send,
            newest=self.proof.newest,
            helps_below_s=times.relay_at_s,
            kept_s=times.bound_s,
        )
        socket.add(Channel.RECENCY, self._received)
        routes.listen(lambda cfg: self._wake())

    def connect(
        self,
        confirm: Callable[[], Awaitable[FreshnessProof | None]],
        hear: Callable[[int], None],
    ) -> None:
        """Says where proof and configurations come from.

        Args:
          confirm: reads the store; returns what that proves, if anything.
          hear: takes the number of a version that others have.
        """
        self._confirm = confirm
        self._hear = hear

    def accept_first_read(self, proof: FreshnessProof) -> None:
        """Takes what the first read of the store proves, beside the task."""
        self._take(proof, "store")
        self._wake()

    def proof_ages_s(self) -> dict[str, float]:
        """Returns the age of the proof held (s), for the metrics; if any."""
        age_s = self.proof.age_s(self._clock.monotonic())
        return {"": age_s} if age_s < math.inf else {}

    async def run(self) -> None:
        """Runs until cancelled; idle while there are no accounts."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._woken = anyio.Event()
                wait_s = _IDLE_S
                if self._routes.accounts.has_accounts:
                    wait_s = self._seek(tasks)
                with anyio.move_on_after(wait_s):
                    await self._woken.wait()

    def _seek(self, tasks: anyio.abc.TaskGroup) -> float:
        """Does what is due; returns when to look again (s)."""
        now = self._clock.monotonic()
        if self._seeker is None:
            self._seeker = Seeker(
                times=self._times,
                proof=self.proof,
                sources=self._sources,
                rng=self._rng,
                now=now,
                first_wait_s=self._first_wait_s,
            )
        self._note(now)
        step = self._seeker.step(now)
        if step.read:
            tasks.start_soon(self._read, self._seeker)
        for member in step.ask:
            self.exchange.ask(
                member.name, member.address, self._clock.monotonic()
            )
        return step.again_s

    async def _read(self, seeker: Seeker) -> None:
        proof = await self._confirm()
        if proof is not None:
            self._take(proof, "store")
        seeker.read_ended(proof is not None, self._clock.monotonic())
        self._wake()

    def _take(self, proof: FreshnessProof, source: str) -> None:
        if not self.proof.take(proof):
            return
        self._source = source
        now = self._clock.monotonic()
        self.exchange.improved(now)
        self._note(now)
        if proof.version > self._routes.version:
            self._hear(proof.version)

    def _received(self, data: bytes, sender: Address) -> bool:
        now = self._clock.monotonic()
        try:
            answer = self.exchange.received(data, sender, now)
        except ValueError:
            return False
        if answer is None:
            return True
        name, proof = answer
        if proof is not None:
            self._take(proof, name)
        if self._seeker is not None:
            self._seeker.answered(name, proof, now)
        self._wake()
        return True

    def _send(self, data: bytes, address: Address) -> None:
        self._socket.send(Channel.RECENCY, data, (address,))

    def _wake(self) -> None:
        self._woken.set()

    def _note(self, now: float) -> None:
        """Logs when proof is lost and regained."""
        age_s = self.proof.age_s(now)
        stands = age_s < self._times.limit_s
        if stands == self._stood:
            return
        self._stood = stands
        self._log.change(
            "Has proof of recent keys."
            if stands
            else "Out of proof of recent keys; refuses requests with a key.",
            age_s=round(age_s, 3) if age_s < math.inf else None,
            version=self._routes.version,
            source=self._source,
        )


async def _unconfirmed() -> FreshnessProof | None:
    """Reads no store."""
    return None


def _unheard(version: int) -> None:
    """Is told to where nobody fetches versions."""
