"""The messages by which a node finds out whether others are there."""

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
    """Puts pings, and what others are asked to ping, into the outbox."""

    def __init__(
        self,
        *,
        own_name: str,
        options: GossipOptions,
        rng: random.Random,
        table: MembershipTable,
        failure_detector: FailureDetector,
        spreader: DisseminationQueue,
        outbox: Outbox,
        config_revision: Callable[[], int],
    ) -> None:
        """Wires the sender.

        Args:
          own_name: of this node.
          options: of membership.
          rng: chooses who is asked to help.
          table: the facts.
          failure_detector: says who is to be probed.
          spreader: gives facts that ride on pings.
          outbox: takes the messages.
          config_revision: returns the configuration revision in force here.
        """
        self._name = own_name
        self._options = options
        self._rng = rng
        self._table = table
        self._failure_detector = failure_detector
        self._spreader = spreader
        self._outbox = outbox
        self._config_revision = config_revision

    def probe(self, now: float) -> None:
        """ProbeSender the member whose turn it is."""
        fact = self._failure_detector.next()
        if fact is None:
            return
        members, rumors = self._spreader.take_piggyback(
            self._options.message_payload_bytes, now
        )
        if fact.liveness is not Liveness.ALIVE:
            members = unique_members((fact, self._own, *members))
        self._outbox.send(
            fact,
            Ping(
                self._name, self._config_revision(), members, rumors, fact.name
            ),
            MessagePurpose.PROBE,
            timeout_s=self._options.probe_timeout_s,
        )

    def try_rejoin(self, now: float) -> None:
        """Asks one that is gone, and says who asks: it may know nobody."""
        fact = self._failure_detector.random_dead(now)
        if fact is None:
            return
        told = (fact, self._own)
        ping = Ping(self._name, self._config_revision(), told, (), fact.name)
        self._outbox.send(fact, ping, MessagePurpose.REJOIN)

    def ask_others(self, call: OutgoingMessage, now: float) -> None:
        """Asks others to ping a member that did not answer `call`."""
        name = call.member
        if not self._failure_detector.failed(name, now):
            return
        helpers = self._table.sample(
            self._rng,
            self._options.indirect_probes,
            frozenset((name, self._name)),
        )
        for helper in helpers:
            request = PingRequest(
                self._name,
                self._config_revision(),
                (),
                (),
                name,
                str(call.address),
            )
            self._outbox.send(helper, request, MessagePurpose.REQUEST_PROBE)

    def probe_for(self, message: PingRequest) -> None:
        """ProbeSender the member that a peer asked to ping."""
        fact = self._table.members.get(message.member)
        if fact is None or message.sender not in self._table.members:
            return
        ping = Ping(self._name, self._config_revision(), (fact,), (), fact.name)
        self._outbox.send(
            fact,
            ping,
            MessagePurpose.RELAYED_PROBE,
            message.sender,
            self._options.probe_timeout_s,
        )

    def relay(self, call: OutgoingMessage, answer: Message) -> None:
        """Tells the peer that asked for a ping that it was answered."""
        requester = self._table.members.get(call.requester)
        if answer.sender != call.member or requester is None:
            return
        facts = (self._table.members[call.member],)
        told = RelayedAck(
            self._name, self._config_revision(), facts, (), call.member
        )
        self._outbox.send(requester, told, MessagePurpose.NOTIFY)

    @property
    def _own(self) -> MemberRecord:
        return self._table.members[self._name]
