"""Tells the load of the own target to other nodes, and takes theirs."""

import random

import anyio

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.loads import LoadMessage
from radishwind.loads import LoadSocket
from radishwind.loads import LoadTeller
from radishwind.membership.directory import MemberState
from radishwind.membership.facts import MemberFact
from radishwind.membership.gossip import Gossip
from radishwind.membership.view import GossipDirectory
from radishwind.routing.fresh import FreshLoadChooser
from radishwind.target.pipeline import TargetPipeline

#: How often a change that no answer brought is looked for (s).
LOOK_PERIOD_S = 0.05


class LoadSharing:
    """Owns the datagrams of load."""

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        gossip: Gossip,
        directory: GossipDirectory,
        target: TargetPipeline,
        chooser: FreshLoadChooser,
    ) -> None:
        """Wires the sharing.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
          clock: the clock.
          rng: names this start.
          gossip: whose members are told.
          directory: the same as addresses and states.
          target: whose load is told.
          chooser: takes what others tell.
        """
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._clock = clock
        self._directory = directory
        self._target = target
        self._chooser = chooser
        self._teller = LoadTeller()
        self._start = rng.getrandbits(32)
        self._order = 0
        self._near: list[Address] = []
        self._far: list[Address] = []
        self._stale = True
        self.socket = LoadSocket(self._heard)
        gossip.table.listen(self._changed)

    async def run(self) -> None:
        """Tells until cancelled."""
        while True:
            self.tell()
            await anyio.sleep(LOOK_PERIOD_S)

    def tell(self) -> None:
        """Tells the load if it changed enough."""
        report = self._target.load()
        near, far = self._teller.due(report, self._clock.monotonic())
        if not near and not far:
            return
        if self._stale:
            self._derive()
        self._order += 1
        message = LoadMessage(self._node_name, self._start, self._order, report)
        self._heard(message)
        if near:
            self.socket.tell(message, self._near)
        if far:
            self.socket.tell(message, self._far)

    def _heard(self, message: LoadMessage) -> None:
        self._chooser.told(
            message.target,
            message.report,
            message.start,
            message.order,
            self._clock.monotonic(),
        )

    def _changed(self, old: MemberFact | None, new: MemberFact | None) -> None:
        self._stale = True

    def _derive(self) -> None:
        self._stale = False
        others = [
            m
            for m in self._directory.members()
            if m.name != self._node_name and m.state is not MemberState.DEAD
        ]
        own = self._failure_domain
        self._near = [m.address for m in others if m.failure_domain == own]
        self._far = [m.address for m in others if m.failure_domain != own]
