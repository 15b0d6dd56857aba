"""Tells the load of the own target to other nodes, and takes theirs."""

import random

import anyio

from radishwind.core.clock import Clock
from radishwind.loads import LoadChannel
from radishwind.loads import LoadMessage
from radishwind.loads import ReportRecipients
from radishwind.loads import ReportScheduler
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.gossip import Gossip
from radishwind.membership.gossip_directory import GossipDirectory
from radishwind.membership.records import MemberRecord
from radishwind.peers.peer_socket import PeerSocket
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.routing.fresh_load_chooser import FreshLoadChooser
from radishwind.target.pipeline import TargetPipeline

#: How often a change that no answer brought is looked for (s) while requests
#: are at the server: one in the queue, as each figure of the pace is told when
#: it comes.
LOAD_CHECK_INTERVAL_S = 0.1

#: The same while none is (s): the load is told once a second in any case, so
#: that nobody waits for what a look would find. What it gains was not measured
#: apart.
IDLE_LOAD_CHECK_INTERVAL_S = 0.5


class LoadReportExchange:
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
        socket: PeerSocket,
        traffic: PeerTraffic,
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
          socket: carries what is told.
          traffic: counts what passes between nodes.
        """
        self._node_name = node_name
        self._clock = clock
        self._directory = directory
        self._target = target
        self._chooser = chooser
        self._teller = ReportScheduler()
        self._start = rng.getrandbits(32)
        self._order = 0
        self._audience = ReportRecipients(node_name, failure_domain)
        self._traffic = traffic
        self._stale = True
        self._channel = LoadChannel(socket, self._heard)
        gossip.table.add_member_listener(self._changed)

    async def run(self) -> None:
        """Tells until cancelled."""
        while True:
            self.tell()
            report = self._target.load_report()
            is_idle = not report.in_flight and not report.queued
            await anyio.sleep(
                IDLE_LOAD_CHECK_INTERVAL_S if is_idle else LOAD_CHECK_INTERVAL_S
            )

    def tell(self) -> None:
        """Tells the load if it changed enough."""
        now = self._clock.monotonic()
        report = self._target.load_report()
        near, far = self._teller.due(report, now)
        if not near and not far:
            return
        self._follow()
        self._order += 1
        message = LoadMessage(self._node_name, self._start, self._order, report)
        self._heard(message)
        if near:
            self._channel.send(message, self._audience.local(now))
        if far:
            self._channel.send(message, self._audience.remote(now))

    def record_request_from(self, host: str) -> None:
        """Takes that the node at `host` sent work for the own target."""
        self._audience.record_request_from(host, self._clock.monotonic())

    def reports_unsolicited(self, member: Member) -> bool:
        """Returns whether this node hears of `member` though it sent nothing.

        Only then does silence mean that the target may be cut off.
        """
        self._follow()
        return self._audience.reports_unsolicited(member.failure_domain)

    def _heard(self, message: LoadMessage) -> None:
        self._chooser.receive_report(
            message.target,
            message.report,
            message.start_id,
            message.sequence,
            self._clock.monotonic(),
        )

    def _changed(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        self._stale = True

    def _follow(self) -> None:
        """Hands the nodes there are to the audience, where they changed."""
        if not self._stale:
            return
        self._stale = False
        members = self._directory.members()
        self._traffic.set_members(members)
        self._audience.set_members(
            m for m in members if m.state is not MemberState.DEAD
        )
