"""Gossip protocol of membership, as a state machine without I/O.

Messages and the current time go in, messages to send come out. It follows
SWIM (failure detection by direct and indirect probes, suspicion with
refutation, updates piggybacked on probes) and adds pushes of new updates and
anti-entropy by digests. The driver sends each `OutgoingMessage` and reports its
reply or failure back.
"""

from collections.abc import Callable
import random
from typing import TypeAlias

import msgspec

from radishwind.http.types import Address
from radishwind.membership.anti_entropy import AntiEntropy
from radishwind.membership.dissemination_queue import DisseminationQueue
from radishwind.membership.failure_detector import FailureDetector
from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.messages import Ack
from radishwind.membership.messages import Message
from radishwind.membership.messages import Ping
from radishwind.membership.messages import PingRequest
from radishwind.membership.messages import Push
from radishwind.membership.messages import RelayedAck
from radishwind.membership.messages import SyncGroups
from radishwind.membership.messages import SyncLeaves
from radishwind.membership.messages import SyncNewer
from radishwind.membership.messages import SyncPage
from radishwind.membership.outbox import Outbox
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.membership.probe_sender import ProbeSender
from radishwind.membership.push_peer_selector import PushPeerSelector
from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor
from radishwind.membership.records import unique_members
from radishwind.supervision import notify

RumorListener: TypeAlias = Callable[[Rumor], None]

#: Minimum time between refutations of another process that uses this node's
#: name (s).
_CONFLICT_PERIOD_S = 10.0
#: Time between checks for suspicions, deaths and rumors that are due (s).
_SWEEP_PERIOD_S = 0.25
#: Minimum time between probes brought forward by failed connections (s).
_EARLY_PROBE_PERIOD_S = 0.25
#: Contacts notified of this node in one join. With the first of them it also
#: starts anti-entropy.
_JOIN_CONTACTS = 3


class Gossip:
    """The gossip state machine of one node."""

    def __init__(
        self,
        own: MemberRecord,
        options: GossipOptions,
        rng: random.Random,
        now: float,
    ) -> None:
        self._options = options
        self._rng = rng
        self._name = own.name
        self.table = MembershipTable(options.max_members, options.max_rumors)
        self._dissemination = DisseminationQueue(
            self.table,
            options.push_rate_bytes_per_s,
            options.push_burst_bytes,
            now,
        )
        self.failure_detector = FailureDetector(
            own.name, self.table, options, rng
        )
        self._anti_entropy = AntiEntropy(
            own.name, self.table, options.page_payload_bytes, options.sync_pages
        )
        self._push_peers = PushPeerSelector(own.name, self.table, options, rng)
        self._rumor_listeners: list[RumorListener] = []
        self._outbox = Outbox()
        self._probe_sender = ProbeSender(
            own_name=own.name,
            options=options,
            rng=rng,
            table=self.table,
            failure_detector=self.failure_detector,
            dissemination=self._dissemination,
            outbox=self._outbox,
            config_revision=lambda: self.config_revision,
        )
        self._next_conflict_refutation = now
        self._next_probe = now + rng.random() * options.probe_period_s
        self._next_sync = now + rng.random() * options.sync_period_s
        self._next_rejoin = now + rng.random() * options.rejoin_period_s
        self._next_sweep = self._next_push = self._next_early_probe = now
        # When the driver was expected to call `tick`, or last did so.
        self._due = now
        self.name_conflicts = 0
        self.config_revision = 0
        self.table.merge_member(own)
        self._dissemination.add(own.name)

    @property
    def own_record(self) -> MemberRecord:
        """The record that this node advertises of itself."""
        return self.table.members[self._name]

    def add_rumor_listener(self, listener: RumorListener) -> None:
        """Calls `listener` with each rumor that is new to this node."""
        self._rumor_listeners.append(listener)

    def advertise(
        self, state: AdvertisedState, now: float
    ) -> list[OutgoingMessage]:
        """Advertises a new lifecycle state of this node at once.

        A node that is leaving no longer changes to an earlier state.
        """
        current = self.own_record.advertised
        is_leaving = current >= AdvertisedState.LEAVING
        if state is not current and not (is_leaving and state < current):
            self._update_own_record(self.own_record.incarnation + 1, state)
            self._push_own_record()
        return self.tick(now)

    def set_service(self, service: str, now: float) -> list[OutgoingMessage]:
        """Advertises that this node's target now provides `service`."""
        if service != self.own_record.service:
            record = msgspec.structs.replace(
                self.own_record,
                incarnation=self.own_record.incarnation + 1,
                service=service,
            )
            self.table.merge_member(record)
            self._dissemination.add(self._name)
            self._push_own_record()
        return self.tick(now)

    def publish(self, rumor: Rumor, now: float) -> bool:
        """Disseminates a rumor; returns whether it was new here."""
        return self._merge_rumor(rumor, now)

    def probe_soon(self, name: str, now: float) -> None:
        """Probes `name` next, because a connection to it failed."""
        self.failure_detector.prioritize(name)
        if now >= self._next_early_probe:
            # Many requests fail at once on a member that is gone, but one
            # early probe is enough.
            self._next_early_probe = now + _EARLY_PROBE_PERIOD_S
            self._next_probe = min(self._next_probe, now)

    def join(
        self, contacts: tuple[Address, ...], now: float
    ) -> list[OutgoingMessage]:
        """Notifies some of `contacts` and starts anti-entropy with one."""
        own = Address.parse(self.own_record.address)
        others = [address for address in contacts if address != own]
        self._rng.shuffle(others)
        push = Push(self._name, self.config_revision, (self.own_record,))
        for address in others[:_JOIN_CONTACTS]:
            self._outbox.send_to_address(address, push, MessagePurpose.NOTIFY)
        for address in others[:1]:
            self._outbox.send_to_address(
                address,
                self._anti_entropy.first_message(self.config_revision),
                MessagePurpose.JOIN,
            )
        return self._outbox.flush()

    def next_due(self) -> float:
        """Returns when `tick` is to be called next (monotonic s)."""
        due = min(self._next_probe, self._next_sync)
        if self.failure_detector.has_deadlines:
            due = min(due, self._next_sweep)
        if self._dissemination.has_pending_pushes:
            due = min(due, self._next_push)
        self._due = due
        return due

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Runs the timers that are due; returns the messages to send."""
        self._compensate_pause(now)
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_PERIOD_S
            self._sweep(now)
        if now >= self._next_probe:
            self._next_probe = now + self._options.probe_period_s
            self._probe_sender.send_probe(now)
        if now >= self._next_sync:
            self._next_sync = now + self._options.sync_period_s
            self._start_sync()
        if now >= self._next_rejoin:
            self._next_rejoin = now + self._options.rejoin_period_s
            self._probe_sender.send_rejoin_probe(now)
        if self._dissemination.has_pending_pushes and now >= self._next_push:
            self._next_push = now + self._options.push_delay_s
            self._push_updates(now)
        self._due = max(self._due, now)
        return self._outbox.flush()

    def receive(
        self, message: Message, now: float
    ) -> tuple[Message, list[OutgoingMessage]]:
        """Handles a message; returns its reply and the messages to send."""
        reply = self._reply_to(message, now)
        return reply, self._outbox.flush()

    def handle_reply(
        self, request: OutgoingMessage, reply: Message, now: float
    ) -> list[OutgoingMessage]:
        """Handles the reply to `request`; returns the messages to send."""
        self._merge(reply, now)
        if isinstance(reply, SyncLeaves):
            self._anti_entropy.start_pages(reply)
            self._send_next_page(request.address, now)
        elif isinstance(reply, SyncNewer):
            self._anti_entropy.finish_page(reply)
            self._send_next_page(request.address, now)
        if request.purpose is MessagePurpose.PROBE:
            if reply.sender != request.member:
                # Another member now has this address.
                return self.handle_failure(request, now)
            self.failure_detector.record_reply(request.member)
        elif request.purpose is MessagePurpose.RELAYED_PROBE:
            self._probe_sender.send_relayed_ack(request, reply)
        return self._outbox.flush()

    def handle_failure(
        self, request: OutgoingMessage, now: float
    ) -> list[OutgoingMessage]:
        """Handles that `request` got no valid reply within its timeout."""
        if request.purpose is MessagePurpose.PROBE:
            self._probe_sender.request_indirect_probes(request, now)
        elif request.purpose is MessagePurpose.SYNC_PAGE:
            self._anti_entropy.abort()
        elif request.purpose in (
            MessagePurpose.JOIN,
            MessagePurpose.SYNC_GROUPS,
        ):
            self._sync_soon(now)
        return self._outbox.flush()

    def _reply_to(self, message: Message, now: float) -> Message:
        sender_record = self.table.members.get(message.sender)
        self._merge(message, now)
        if isinstance(message, SyncGroups):
            return self._anti_entropy.reply_to_groups(
                message, self.config_revision
            )
        if isinstance(message, SyncPage):
            return self._anti_entropy.reply_to_page(
                message, self.config_revision, now
            )
        if isinstance(message, PingRequest):
            self._probe_sender.send_relayed_probe(message)
        elif isinstance(message, RelayedAck):
            self.failure_detector.record_reply(message.member)
        if not isinstance(message, Ping):
            return Ack(self._name, self.config_revision)
        members, rumors = self._dissemination.take_piggyback(
            self._options.message_payload_bytes, now
        )
        extra: tuple[MemberRecord, ...] = (self.own_record,)
        if (
            sender_record is not None
            and sender_record.liveness is not Liveness.ALIVE
        ):
            # Lets the sender see that it is suspect or dead here, and refute.
            extra += (self.table.members[message.sender],)
        return Ack(
            self._name,
            self.config_revision,
            unique_members(extra + members),
            rumors,
        )

    def _merge(self, message: Message, now: float) -> None:
        if message.sender in self.table.members:
            self.table.config_revisions[message.sender] = (
                message.config_revision
            )
        for member in message.members:
            self._merge_member(member, now)
        for rumor in message.rumors:
            self._merge_rumor(rumor, now)

    def _merge_member(self, record: MemberRecord, now: float) -> None:
        if record.name == self._name:
            self._refute(record, now)
            return
        old = self.table.members.get(record.name)
        if not self.table.merge_member(record):
            return
        if record.is_gone:
            if old is not None and not old.is_gone:
                self.failure_detector.record_gone(record.name, now)
        elif record.liveness is Liveness.SUSPECT:
            self.failure_detector.start_suspicion(record.name, now)
        self._dissemination.add(record.name)

    def _refute(self, record: MemberRecord, now: float) -> None:
        """Supersedes a record of this node that differs from its own."""
        own = self.own_record
        if record == own or record.incarnation < own.incarnation:
            return
        if record.liveness is Liveness.ALIVE and record.address != own.address:
            # Another process uses this node's name, which only operators can
            # resolve.
            self.name_conflicts += 1
            if now < self._next_conflict_refutation:
                return
            self._next_conflict_refutation = now + _CONFLICT_PERIOD_S
        self._update_own_record(record.incarnation + 1, own.advertised)

    def _update_own_record(
        self, incarnation: int, state: AdvertisedState
    ) -> None:
        record = msgspec.structs.replace(
            self.own_record, incarnation=incarnation, advertised=state
        )
        self.table.merge_member(record)
        self._dissemination.add(self._name)

    def _merge_rumor(self, rumor: Rumor, now: float) -> bool:
        if not self.table.merge_rumor(rumor, now):
            return False
        self._dissemination.add((rumor.topic, rumor.key))
        for listener in self._rumor_listeners:
            notify("membership.rumors", listener, rumor)
        return True

    def _compensate_pause(self, now: float) -> None:
        """Prevents a pause of this process from making others suspect."""
        paused_s = now - self._due
        if paused_s > self._options.probe_timeout_s:
            self.failure_detector.compensate_pause(paused_s)

    def _sweep(self, now: float) -> None:
        for name in self.failure_detector.members_to_suspect(now):
            self._worsen_liveness(name, Liveness.SUSPECT, now)
        for name in self.failure_detector.members_to_declare_dead(now):
            self._worsen_liveness(name, Liveness.DEAD, now)
        for name in self.failure_detector.members_to_forget(now):
            self.table.forget_member(name)
        self.table.expire_rumors(now)

    def _worsen_liveness(
        self, name: str, liveness: Liveness, now: float
    ) -> None:
        record = self.table.members.get(name)
        if (
            record is not None
            and record.liveness < liveness
            and not record.is_gone
        ):
            self._merge_member(
                msgspec.structs.replace(record, liveness=liveness), now
            )

    def _start_sync(self) -> None:
        exclude = frozenset((self._name,))
        for peer in self.table.sample(self._rng, 1, exclude):
            message = self._anti_entropy.first_message(self.config_revision)
            self._outbox.send(peer, message, MessagePurpose.SYNC_GROUPS)

    def _send_next_page(self, address: Address, now: float) -> None:
        if not self._anti_entropy.has_differences:
            return
        self._sync_soon(now)
        page = self._anti_entropy.next_page(self.config_revision, now)
        if page is not None:
            self._outbox.send_to_address(
                address, page, MessagePurpose.SYNC_PAGE
            )

    def _sync_soon(self, now: float) -> None:
        self._next_sync = min(self._next_sync, now + self._options.sync_retry_s)

    def _push_own_record(self) -> None:
        """Pushes the own record, without regard to the byte rate."""
        self._dissemination.mark_pushed(self._name)
        push = Push(self._name, self.config_revision, (self.own_record,))
        for peer in self._push_peers.select(self.own_record.failure_domain):
            self._outbox.send(peer, push, MessagePurpose.NOTIFY)

    def _push_updates(self, now: float) -> None:
        peers = self._push_peers.select(self.own_record.failure_domain)
        if not peers:
            return
        members, rumors = self._dissemination.take_pushes(
            self._options.message_payload_bytes, len(peers), now
        )
        if not members and not rumors:
            return
        push = Push(self._name, self.config_revision, members, rumors)
        for peer in peers:
            self._outbox.send(peer, push, MessagePurpose.NOTIFY)
