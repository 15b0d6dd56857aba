"""Sends load reports of the own target to other nodes, and receives theirs."""

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

#: Interval of the checks for a changed load while requests are at the server.
#: They find changes that no response brought, such as of the queue; each new
#: figure of the pace causes a check of its own.
LOAD_CHECK_INTERVAL_S = 0.1

#: The interval while no request is at the server. It may be longer, since a
#: load report is due once a second in any case.
IDLE_LOAD_CHECK_INTERVAL_S = 0.5


class LoadReportExchange:
    """Exchanges the datagrams with load reports."""

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
        """Wires the exchange.

        Args:
          node_name: name of this node.
          failure_domain: failure domain of this node.
          clock: the clock.
          rng: chooses the identifier of this start.
          gossip: reports changes of the members.
          directory: the members with their addresses and states.
          target: the own target, whose load is reported.
          chooser: receives the load reports of all targets.
          socket: carries the datagrams.
          traffic: counts the messages between nodes; needs the members.
        """
        self._node_name = node_name
        self._clock = clock
        self._directory = directory
        self._target = target
        self._chooser = chooser
        self._scheduler = ReportScheduler()
        self._start_id = rng.getrandbits(32)
        self._sequence = 0
        self._recipients = ReportRecipients(node_name, failure_domain)
        self._traffic = traffic
        self._is_stale = True
        self._channel = LoadChannel(socket, self._on_message)
        gossip.table.add_member_listener(self._on_member_changed)

    async def run(self) -> None:
        """Sends load reports until cancelled."""
        while True:
            self.send_due_report()
            report = self._target.load_report()
            is_idle = not report.in_flight and not report.queued
            await anyio.sleep(
                IDLE_LOAD_CHECK_INTERVAL_S if is_idle else LOAD_CHECK_INTERVAL_S
            )

    def send_due_report(self) -> None:
        """Sends the load report to the nodes for which it is due."""
        now = self._clock.monotonic()
        report = self._target.load_report()
        is_local_due, is_remote_due = self._scheduler.due(report, now)
        if not is_local_due and not is_remote_due:
            return
        self._update_members()
        self._sequence += 1
        message = LoadMessage(
            self._node_name, self._start_id, self._sequence, report
        )
        self._on_message(message)
        if is_local_due:
            self._channel.send(message, self._recipients.local(now))
        if is_remote_due:
            self._channel.send(message, self._recipients.remote(now))

    def record_request_from(self, host: str) -> None:
        """Notes that the node at `host` forwarded an attempt to the target."""
        self._recipients.record_request_from(host, self._clock.monotonic())

    def reports_unsolicited(self, member: Member) -> bool:
        """Returns whether `member` reports load to nodes that send no requests.

        Only then do missing reports mean that it may be unreachable.
        """
        self._update_members()
        return self._recipients.reports_unsolicited(member.failure_domain)

    def _on_message(self, message: LoadMessage) -> None:
        self._chooser.receive_report(
            message.target,
            message.report,
            message.start_id,
            message.sequence,
            self._clock.monotonic(),
        )

    def _on_member_changed(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        self._is_stale = True

    def _update_members(self) -> None:
        """Updates the recipients if the members changed."""
        if not self._is_stale:
            return
        members = self._directory.members()
        self._traffic.set_members(members)
        self._recipients.set_members(
            m for m in members if m.state is not MemberState.DEAD
        )
        self._is_stale = False
