"""Sends direct, indirect and rejoin probes."""

from collections.abc import Callable
import random

from radishwind.membership.dissemination_queue import DisseminationQueue
from radishwind.membership.failure_detector import FailureDetector
from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.messages import Message
from radishwind.membership.messages import Ping
from radishwind.membership.messages import PingRequest
from radishwind.membership.messages import RelayedAck
from radishwind.membership.outbox import Outbox
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import unique_members


class ProbeSender:
    """Puts pings, ping requests and relayed acks into the outbox."""

    def __init__(
        self,
        *,
        own_name: str,
        options: GossipOptions,
        rng: random.Random,
        table: MembershipTable,
        failure_detector: FailureDetector,
        dissemination: DisseminationQueue,
        outbox: Outbox,
        config_revision: Callable[[], int],
    ) -> None:
        """Initializes the sender.

        Args:
          own_name: name of this node.
          options: options of the gossip protocol.
          rng: selects the members that are asked for indirect probes.
          table: the known members.
          failure_detector: selects the members to probe.
          dissemination: provides updates to piggyback on pings.
          outbox: collects the messages to send.
          config_revision: returns the configuration revision that this node
            applies.
        """
        self._own_name = own_name
        self._options = options
        self._rng = rng
        self._table = table
        self._failure_detector = failure_detector
        self._dissemination = dissemination
        self._outbox = outbox
        self._config_revision = config_revision

    def send_probe(self, now: float) -> None:
        """Pings the next member in the probe order."""
        record = self._failure_detector.next_member()
        if record is None:
            return
        members, rumors = self._dissemination.take_piggyback(
            self._options.message_payload_bytes, now
        )
        if record.liveness is not Liveness.ALIVE:
            # Lets the member see that it is suspected, and refute.
            members = unique_members((record, self._own_record, *members))
        self._outbox.send(
            record,
            Ping(
                self._own_name,
                self._config_revision(),
                members,
                rumors,
                record.name,
            ),
            MessagePurpose.PROBE,
            timeout_s=self._options.probe_timeout_s,
        )

    def send_rejoin_probe(self, now: float) -> None:
        """Pings a member that is gone.

        The ping carries the own record too, since a member that was restarted
        may know no other node.
        """
        record = self._failure_detector.random_rejoin_candidate(now)
        if record is None:
            return
        members = (record, self._own_record)
        ping = Ping(
            self._own_name, self._config_revision(), members, (), record.name
        )
        self._outbox.send(record, ping, MessagePurpose.REJOIN)

    def request_indirect_probes(
        self, probe: OutgoingMessage, now: float
    ) -> None:
        """Asks other members to ping the one that didn't reply to `probe`."""
        name = probe.member
        if not self._failure_detector.record_probe_failure(name, now):
            return
        helpers = self._table.sample(
            self._rng,
            self._options.indirect_probes,
            frozenset((name, self._own_name)),
        )
        for helper in helpers:
            request = PingRequest(
                self._own_name,
                self._config_revision(),
                (),
                (),
                name,
                str(probe.address),
            )
            self._outbox.send(helper, request, MessagePurpose.REQUEST_PROBE)

    def send_relayed_probe(self, request: PingRequest) -> None:
        """Pings the member that a peer asked this node to ping."""
        record = self._table.members.get(request.member)
        if record is None or request.sender not in self._table.members:
            return
        ping = Ping(
            self._own_name, self._config_revision(), (record,), (), record.name
        )
        self._outbox.send(
            record,
            ping,
            MessagePurpose.RELAYED_PROBE,
            request.sender,
            self._options.probe_timeout_s,
        )

    def send_relayed_ack(self, probe: OutgoingMessage, reply: Message) -> None:
        """Notifies the requester of a relayed probe of the reply to it."""
        requester = self._table.members.get(probe.requester)
        if reply.sender != probe.member or requester is None:
            return
        members = (self._table.members[probe.member],)
        ack = RelayedAck(
            self._own_name, self._config_revision(), members, (), probe.member
        )
        self._outbox.send(requester, ack, MessagePurpose.NOTIFY)

    @property
    def _own_record(self) -> MemberRecord:
        return self._table.members[self._own_name]
