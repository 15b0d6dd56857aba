"""Membership as a pure state machine: messages and time in, calls out.

It follows SWIM (failure detection by direct and indirect probes, suspicion
with refutation, facts riding on probes) and adds pushing of new facts and
anti-entropy by digests. The daemon sends each `OutgoingMessage` and reports
back.
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

RumorListener: TypeAlias = Callable[[Rumor], None]

#: A second process under our name is contradicted at most this often (s).
_CONFLICT_PERIOD_S = 10.0
#: Between looks for suspicions, deaths and rumors that are due (s).
_SWEEP_PERIOD_S = 0.25
#: A hint brings a probe forward at most this often (s).
_HINT_PERIOD_S = 0.25
#: Contacts told of this node in one join; the first is also asked for facts.
_JOIN_CONTACTS = 3


class Gossip:
    """One node's part in membership."""

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
        self._spreader = DisseminationQueue(
            self.table,
            options.push_rate_bytes_per_s,
            options.push_burst_bytes,
            now,
        )
        self.failure_detector = FailureDetector(
            own.name, self.table, options, rng
        )
        self._syncer = AntiEntropy(
            own.name, self.table, options.page_payload_bytes, options.sync_pages
        )
        self._audience = PushPeerSelector(own.name, self.table, options, rng)
        self._rumor_listeners: list[RumorListener] = []
        self._outbox = Outbox()
        self._pings = ProbeSender(
            own_name=own.name,
            options=options,
            rng=rng,
            table=self.table,
            failure_detector=self.failure_detector,
            spreader=self._spreader,
            outbox=self._outbox,
            config_revision=lambda: self.config_revision,
        )
        self._conflict_until = now
        self._next_probe = now + rng.random() * options.probe_period_s
        self._next_sync = now + rng.random() * options.sync_period_s
        self._next_rejoin = now + rng.random() * options.rejoin_period_s
        self._next_sweep = self._next_push = self._next_hint = now
        self._due = now
        self.name_conflicts = 0
        self.config_revision = 0
        self.table.merge_member(own)
        self._spreader.add(own.name)

    @property
    def own_record(self) -> MemberRecord:
        """What this node says of itself."""
        return self.table.members[self._name]

    def add_rumor_listener(self, listener: RumorListener) -> None:
        """Calls `listener` with each rumor new to this node."""
        self._rumor_listeners.append(listener)

    def advertise(
        self, announced: AdvertisedState, now: float
    ) -> list[OutgoingMessage]:
        """Says something else of this node, to everyone at once.

        One that is leaving takes no word of a drain any more.
        """
        said = self.own_record.advertised
        leaving = said >= AdvertisedState.LEAVING
        if announced is not said and not (leaving and announced < said):
            self._restate(self.own_record.incarnation + 1, announced)
            self._push_own()
        return self.tick(now)

    def set_service(self, service: str, now: float) -> list[OutgoingMessage]:
        """Says that this node's target now gives another service."""
        if service != self.own_record.service:
            fact = msgspec.structs.replace(
                self.own_record,
                incarnation=self.own_record.incarnation + 1,
                service=service,
            )
            self.table.merge_member(fact)
            self._spreader.add(self._name)
            self._push_own()
        return self.tick(now)

    def publish(self, fact: Rumor, now: float) -> bool:
        """Spreads a rumor; returns whether it is news here."""
        return self._take_rumor(fact, now)

    def probe_soon(self, name: str, now: float) -> None:
        """Probes `name` soon: a request to it found no connection."""
        self.failure_detector.hint(name)
        if now >= self._next_hint:
            # A target that is gone is met by many requests: one is enough.
            self._next_hint = now + _HINT_PERIOD_S
            self._next_probe = min(self._next_probe, now)

    def join(
        self, contacts: tuple[Address, ...], now: float
    ) -> list[OutgoingMessage]:
        """Opens anti-entropy with some of `contacts`, of unknown names."""
        own = Address.parse(self.own_record.address)
        others = [address for address in contacts if address != own]
        self._rng.shuffle(others)
        push = Push(self._name, self.config_revision, (self.own_record,))
        for address in others[:_JOIN_CONTACTS]:
            self._outbox.send_to_address(address, push, MessagePurpose.NOTIFY)
        for address in others[:1]:
            self._outbox.send_to_address(
                address,
                self._syncer.open(self.config_revision),
                MessagePurpose.JOIN,
            )
        return self._outbox.flush()

    def next_due(self) -> float:
        """Returns when `tick` has something to do (monotonic s)."""
        due = min(self._next_probe, self._next_sync)
        if self.failure_detector.is_waiting:
            due = min(due, self._next_sweep)
        if self._spreader.waiting:
            due = min(due, self._next_push)
        self._due = due
        return due

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Does what is due; returns the messages to send."""
        self._excuse_pause(now)
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_PERIOD_S
            self._sweep(now)
        if now >= self._next_probe:
            self._next_probe = now + self._options.probe_period_s
            self._pings.probe(now)
        if now >= self._next_sync:
            self._next_sync = now + self._options.sync_period_s
            self._open_sync()
        if now >= self._next_rejoin:
            self._next_rejoin = now + self._options.rejoin_period_s
            self._pings.try_rejoin(now)
        if self._spreader.waiting and now >= self._next_push:
            self._next_push = now + self._options.push_delay_s
            self._push(now)
        self._due = max(self._due, now)
        return self._outbox.flush()

    def receive(
        self, message: Message, now: float
    ) -> tuple[Message, list[OutgoingMessage]]:
        """Takes a message; returns its answer and the messages to send."""
        answer = self._answer(message, now)
        return answer, self._outbox.flush()

    def handle_reply(
        self, call: OutgoingMessage, answer: Message, now: float
    ) -> list[OutgoingMessage]:
        """Takes the answer to a call."""
        self._take(answer, now)
        if isinstance(answer, SyncLeaves):
            self._syncer.start_pages(answer)
            self._next_page(call.address, now)
        elif isinstance(answer, SyncNewer):
            self._syncer.note_covered(answer)
            self._next_page(call.address, now)
        if call.purpose is MessagePurpose.PROBE:
            if answer.sender != call.member:
                # The address has passed to another member.
                return self.handle_failure(call, now)
            self.failure_detector.answered(call.member)
        elif call.purpose is MessagePurpose.RELAYED_PROBE:
            self._pings.relay(call, answer)
        return self._outbox.flush()

    def handle_failure(
        self, call: OutgoingMessage, now: float
    ) -> list[OutgoingMessage]:
        """Takes it that a call got no good answer in time."""
        if call.purpose is MessagePurpose.PROBE:
            self._pings.ask_others(call, now)
        elif call.purpose is MessagePurpose.SYNC_PAGE:
            self._syncer.give_up()
        elif call.purpose in (MessagePurpose.JOIN, MessagePurpose.SYNC_GROUPS):
            self._sync_soon(now)
        return self._outbox.flush()

    def _answer(self, message: Message, now: float) -> Message:
        about_sender = self.table.members.get(message.sender)
        self._take(message, now)
        if isinstance(message, SyncGroups):
            return self._syncer.answer_groups(message, self.config_revision)
        if isinstance(message, SyncPage):
            return self._syncer.answer_page(message, self.config_revision, now)
        if isinstance(message, PingRequest):
            self._pings.probe_for(message)
        elif isinstance(message, RelayedAck):
            self.failure_detector.answered(message.member)
        if not isinstance(message, Ping):
            return Ack(self._name, self.config_revision)
        members, rumors = self._spreader.take_piggyback(
            self._options.message_payload_bytes, now
        )
        extra: tuple[MemberRecord, ...] = (self.own_record,)
        if (
            about_sender is not None
            and about_sender.liveness is not Liveness.ALIVE
        ):
            # So that it hears what is believed of it, and refutes.
            extra += (self.table.members[message.sender],)
        return Ack(
            self._name,
            self.config_revision,
            unique_members(extra + members),
            rumors,
        )

    def _take(self, message: Message, now: float) -> None:
        if message.sender in self.table.members:
            self.table.config_revisions[message.sender] = message.config_revision
        for member in message.members:
            self._take_member(member, now)
        for rumor in message.rumors:
            self._take_rumor(rumor, now)

    def _take_member(self, fact: MemberRecord, now: float) -> None:
        if fact.name == self._name:
            self._hear_of_self(fact, now)
            return
        old = self.table.members.get(fact.name)
        if not self.table.merge_member(fact):
            return
        if fact.is_gone:
            if old is not None and not old.is_gone:
                self.failure_detector.note_dead(fact.name, now)
        elif fact.liveness is Liveness.SUSPECT:
            self.failure_detector.note_suspected(fact.name, now)
        self._spreader.add(fact.name)

    def _hear_of_self(self, fact: MemberRecord, now: float) -> None:
        own = self.own_record
        if fact == own or fact.incarnation < own.incarnation:
            return
        if fact.liveness is Liveness.ALIVE and fact.address != own.address:
            # Another process has our name: it is for operators to settle.
            self.name_conflicts += 1
            if now < self._conflict_until:
                return
            self._conflict_until = now + _CONFLICT_PERIOD_S
        self._restate(fact.incarnation + 1, own.advertised)

    def _restate(self, incarnation: int, announced: AdvertisedState) -> None:
        fact = msgspec.structs.replace(
            self.own_record, incarnation=incarnation, advertised=announced
        )
        self.table.merge_member(fact)
        self._spreader.add(self._name)

    def _take_rumor(self, fact: Rumor, now: float) -> bool:
        if not self.table.merge_rumor(fact, now):
            return False
        self._spreader.add((fact.topic, fact.key))
        for listener in self._rumor_listeners:
            listener(fact)
        return True

    def _excuse_pause(self, now: float) -> None:
        """Blames nobody for the time in which this node itself stood still."""
        late_s = now - self._due
        if late_s > self._options.probe_timeout_s:
            self.failure_detector.excuse(late_s)

    def _sweep(self, now: float) -> None:
        for name in self.failure_detector.due_suspicions(now):
            self._accuse(name, Liveness.SUSPECT, now)
        for name in self.failure_detector.due_deaths(now):
            self._accuse(name, Liveness.DEAD, now)
        for name in self.failure_detector.due_forgetting(now):
            self.table.forget_member(name)
        self.table.expire_rumors(now)

    def _accuse(self, name: str, liveness: Liveness, now: float) -> None:
        fact = self.table.members.get(name)
        if fact is not None and fact.liveness < liveness and not fact.is_gone:
            self._take_member(
                msgspec.structs.replace(fact, liveness=liveness), now
            )

    def _open_sync(self) -> None:
        exclude = frozenset((self._name,))
        for peer in self.table.sample(self._rng, 1, exclude):
            message = self._syncer.open(self.config_revision)
            self._outbox.send(peer, message, MessagePurpose.SYNC_GROUPS)

    def _next_page(self, address: Address, now: float) -> None:
        if not self._syncer.differs:
            return
        self._sync_soon(now)
        page = self._syncer.next_page(self.config_revision, now)
        if page is not None:
            self._outbox.send_to_address(
                address, page, MessagePurpose.SYNC_PAGE
            )

    def _sync_soon(self, now: float) -> None:
        self._next_sync = min(self._next_sync, now + self._options.sync_retry_s)

    def _push_own(self) -> None:
        """Tells what this node says of itself, whatever the byte rate."""
        self._spreader.pushed(self._name)
        push = Push(self._name, self.config_revision, (self.own_record,))
        for peer in self._audience.choose(self.own_record.failure_domain):
            self._outbox.send(peer, push, MessagePurpose.NOTIFY)

    def _push(self, now: float) -> None:
        peers = self._audience.choose(self.own_record.failure_domain)
        if not peers:
            return
        members, rumors = self._spreader.take_pushes(
            self._options.message_payload_bytes, len(peers), now
        )
        if not members and not rumors:
            return
        push = Push(self._name, self.config_revision, members, rumors)
        for peer in peers:
            self._outbox.send(peer, push, MessagePurpose.NOTIFY)
