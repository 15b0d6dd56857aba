"""Runs membership: the timers and messages of the state machine."""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import anyio
import anyio.abc
import msgspec

from radishwind.core import Clock
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import Address
from radishwind.http.types import whole_body
from radishwind.membership import AdvertisedState
from radishwind.membership import Gossip
from radishwind.membership import GossipDirectory
from radishwind.membership import GossipOptions
from radishwind.membership import GossipRumorBus
from radishwind.membership import MemberRecord
from radishwind.membership.allowlist import MemberAllowlist
from radishwind.membership.change_logger import MembershipChangeLogger
from radishwind.membership.contact_registry import ContactRegistry
from radishwind.membership.contact_registry import DiscoveryOptions
from radishwind.membership.messages import decode_message
from radishwind.membership.messages import encode_message
from radishwind.membership.messages import GOSSIP_CONTROL_NAME
from radishwind.membership.messages import MAX_MESSAGE_BYTES
from radishwind.membership.messages import Message
from radishwind.membership.messages import MessageError
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.node.gossip_datagrams import GossipDatagrams
from radishwind.node.gossip_datagrams import RoundTripCallback
from radishwind.node.peer_search import PeerSearch
from radishwind.node.peer_security import advertised_address
from radishwind.outcomes import problem_response
from radishwind.peers import PeerClient
from radishwind.peers import PeerError
from radishwind.peers import PeerListener
from radishwind.peers.peer_socket import PeerSocket
from radishwind.settings import NodeSettings
from radishwind.store import Store
from radishwind.store import StoreEntry
from radishwind.telemetry.logs import PartLogger

#: Messages on their way at once; further ones count as lost.
_MAX_IN_FLIGHT = 64
#: How long a stopping node waits for the answers to its last message (s).
_LAST_WORD_S = 1.0
#: Names of members that are gone in the status; they are counted anyway.
_NAMES_TOLD = 20

_JSON = (("Content-Type", "application/json"),)


class MembershipTasks:
    """Owns the state machine of membership and the tasks around it."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        allowlist: MemberAllowlist,
        client: PeerClient,
        store: Store,
        options: GossipOptions | None = None,
        discovery: DiscoveryOptions | None = None,
        socket: PeerSocket | None = None,
        on_round_trip: RoundTripCallback | None = None,
        on_listed: Callable[[StoreEntry], None] | None = None,
    ) -> None:
        """Wires membership.

        Args:
          settings: of the node.
          clock: the clock.
          rng: the random source.
          allowlist: whom the inventory lists.
          client: sends messages by HTTP.
          store: holds the contacts.
          options: of gossip; by default those of `settings`.
          discovery: of the search for peers; by default those of `settings`.
          socket: carries short messages; by default none goes by datagram.
          on_listed: takes each entry that is listed with the contacts.
          on_round_trip: takes how long short messages took there and back.
        """
        self._clock = clock
        self._allowlist = allowlist
        self._client = client
        options = options or GossipOptions(
            probe_period_s=settings.probe_period_s,
            probe_timeout_s=settings.probe_timeout_s,
        )
        self.gossip = Gossip(
            _own_fact(settings, clock), options, rng, clock.monotonic()
        )
        self.directory = GossipDirectory(
            self.gossip, allowlist, clock, options.refute_grace_s
        )
        self.rumor_bus = GossipRumorBus(self.gossip, clock, self._wake)
        self._change_logger = MembershipChangeLogger(
            settings.target, PartLogger("membership", clock).info
        )
        self.gossip.table.add_member_listener(
            lambda old, new: self._change_logger.record_change(
                old, new, self._now()
            )
        )
        discovery = discovery or DiscoveryOptions(
            spread_s=settings.start_spread_s
        )
        self._finder = ContactRegistry(
            store=store,
            failure_domain=settings.failure_domain,
            own=advertised_address(settings),
            clock=clock,
            rng=rng,
            options=discovery,
            on_listed=on_listed,
        )
        self._search = PeerSearch(
            settings=settings,
            clock=clock,
            rng=rng,
            gossip=self.gossip,
            finder=self._finder,
            options=discovery,
            start=self._start,
        )
        self._woken = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._in_flight = 0
        self._sleeps_until = 0.0
        self.traffic = Traffic()
        self._datagrams: GossipDatagrams | None = None
        if socket is not None:
            self._datagrams = GossipDatagrams(
                socket, rng, self._received, clock, on_round_trip
            )

    def listen_on(self, listener: PeerListener) -> None:
        """Receives the messages of membership on `listener`."""
        listener.add_control_handler(
            GOSSIP_CONTROL_NAME, self._handle, MAX_MESSAGE_BYTES
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._search.run)
            await self._tick_forever()

    def advertise(self, state: AdvertisedState) -> None:
        """Tells everyone that this node drains, leaves or is back."""
        self._start(self.gossip.advertise(state, self._now()))

    def set_service(self, service: str) -> None:
        """Tells everyone that the server beside now gives `service`."""
        self._start(self.gossip.set_service(service, self._now()))

    async def advertise_left(self) -> None:
        """Tells some peers that this node is gone; the last word."""
        calls = self.gossip.advertise(AdvertisedState.LEFT, self._now())
        with anyio.move_on_after(_LAST_WORD_S):
            async with anyio.create_task_group() as tasks:
                for call in calls:
                    tasks.start_soon(self._perform, call)

    def report_unreachable(self, name: str) -> None:
        """Takes a hint: the node of `name` took no connection."""
        self.gossip.probe_soon(name, self._now())
        self._wake()

    def node_count(self) -> int:
        """Returns how many nodes there may be that share the store.

        Rather too many than too few: a node that just started knows only
        itself, and those believed dead may be apart and still there.
        """
        known = len(self.gossip.table.members)
        return max(known, self._allowlist.size())

    def found_no_peers(self) -> bool:
        """Returns whether the store has told that no other node is there."""
        return self._search.found_no_peers

    def set_config_revision(self, revision: int) -> None:
        """Tells peers by and by which configuration is in force here."""
        self.gossip.config_revision = revision

    def members_by_state(self) -> dict[str, int]:
        """Returns how many members are known, by state."""
        states: dict[str, int] = {}
        for member in self.directory.members():
            states[member.state] = states.get(member.state, 0) + 1
        return states

    def status(self) -> dict[str, Any]:
        """Returns the fields for the status of the node."""
        states = self.members_by_state()
        return {
            "members": sum(states.values()),
            "member_states": states,
            "members_dead": self._gone_names(left=False),
            "members_left": self._gone_names(left=True),
            "not_in_inventory": list(self.directory.disallowed_names()),
            "incarnation": self.gossip.own_record.incarnation,
            "name_conflicts": self.gossip.name_conflicts,
            "gossip_traffic": msgspec.to_builtins(self.traffic),
            "contact_store_calls": dict(self._finder.calls),
        }

    def _gone_names(self, *, left: bool) -> list[str]:
        """Returns the first names of those that left, or are dead."""
        names = [
            fact.name
            for fact in self.gossip.table.members.values()
            if fact.is_gone
            and (fact.advertised is AdvertisedState.LEFT) is left
        ]
        return sorted(names)[:_NAMES_TOLD]

    def _now(self) -> float:
        return self._clock.monotonic()

    def _wake(self) -> None:
        self._woken.set()

    def _wake_if_due_sooner(self) -> None:
        if self.gossip.next_due() < self._sleeps_until:
            self._wake()

    async def _tick_forever(self) -> None:
        while True:
            self._start(self.gossip.tick(self._now()))
            self._change_logger.flush(self._now())
            self._sleeps_until = self.gossip.next_due()
            wait_s = self._sleeps_until - self._now()
            with anyio.move_on_after(max(0.0, wait_s)):
                await self._woken.wait()
            self._woken = anyio.Event()

    def _start(self, calls: Iterable[OutgoingMessage]) -> None:
        for call in calls:
            if self._datagrams is not None and self._datagrams.tell(call):
                continue
            if self._tasks is None or self._in_flight >= _MAX_IN_FLIGHT:
                # Not reported as failed: it is no fault of the other side.
                self.traffic.dropped += 1
                continue
            self._in_flight += 1
            self._tasks.start_soon(self._perform_counted, call)

    async def _perform_counted(self, call: OutgoingMessage) -> None:
        try:
            await self._perform(call)
        finally:
            self._in_flight -= 1

    async def _perform(self, call: OutgoingMessage) -> None:
        if self._datagrams is not None:
            answer = await self._datagrams.ask(call)
            if answer is not None:
                self._take_answer(call, answer)
                return
        await self._perform_by_http(call)

    async def _perform_by_http(self, call: OutgoingMessage) -> None:
        data = encode_message(call.message)
        self.traffic.sent(len(data))
        try:
            answer = await self._client.call(
                call.address, GOSSIP_CONTROL_NAME, data, call.timeout_s
            )
            message = decode_message(answer)
        except (PeerError, MessageError):
            self._finder.mark_unreachable(call.address)
            self._start(self.gossip.handle_failure(call, self._now()))
            return
        self.traffic.received(len(answer))
        self._take_answer(call, message)

    def _take_answer(self, call: OutgoingMessage, answer: Message) -> None:
        self._finder.mark_reachable(call.address)
        self._start(self.gossip.handle_reply(call, answer, self._now()))
        self._wake_if_due_sooner()

    def _received(self, message: Message) -> Message:
        """Takes a message that came unasked; returns the answer to it."""
        answer, calls = self.gossip.receive(message, self._now())
        self._start(calls)
        self._wake_if_due_sooner()
        return answer

    async def _handle(self, request: Request) -> Response:
        body = await whole_body(request.body)
        try:
            message = decode_message(body)
        except MessageError as exc:
            return problem_response(exc.code, exc.args[0], "not-run")
        self.traffic.received(len(body))
        data = encode_message(self._received(message))
        self.traffic.sent(len(data))
        return Response(200, _JSON, data, len(data))


class Traffic(msgspec.Struct):
    """Messages and payload bytes of membership by HTTP since the start.

    Datagrams are counted by their socket.

    Attributes:
      messages_sent: messages and answers sent.
      bytes_sent: their length without HTTP's own fields (bytes).
      messages_received: messages and answers received.
      bytes_received: their length, likewise (bytes).
      dropped: messages not sent since too many were on their way.
    """

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    dropped: int = 0

    def sent(self, size_bytes: int) -> None:
        """Counts a message or answer sent."""
        self.messages_sent += 1
        self.bytes_sent += size_bytes

    def received(self, size_bytes: int) -> None:
        """Counts a message or answer received."""
        self.messages_received += 1
        self.bytes_received += size_bytes


def _own_fact(settings: NodeSettings, clock: Clock) -> MemberRecord:
    # The wall clock keeps incarnations rising over restarts without a disk;
    # where it went back, peers tell us and we raise ours above.
    incarnation = clock.wall_ms()
    own: Address = advertised_address(settings)
    return MemberRecord(
        settings.target,
        settings.service,
        settings.failure_domain,
        str(own),
        incarnation,
    )
