"""Drives the gossip state machine: runs its timers, sends its messages."""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import anyio
import msgspec

from radishwind.core import Clock
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import Address
from radishwind.http.types import read_body
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
from radishwind.supervision import Duty
from radishwind.supervision import run_contained
from radishwind.supervision import run_together
from radishwind.supervision import TaskPool
from radishwind.telemetry.part_logger import PartLogger

#: HTTP exchanges in flight at once; further messages are dropped.
_MAX_IN_FLIGHT = 64
#: How long a stopping node waits for the replies to its last message (s).
_LEFT_NOTICE_TIMEOUT_S = 1.0
#: Names of dead or left members listed in the status. The counts of members by
#: state include those beyond.
_MAX_NAMES_IN_STATUS = 20

_JSON = (("Content-Type", "application/json"),)


class MembershipTasks:
    """Owns the gossip state machine of a node and the tasks that drive it.

    Attributes:
      gossip: the state machine.
      directory: the members as the other parts of the node see them.
      rumor_bus: publishes and receives rumors by gossip.
      traffic: counts of messages by HTTP.
    """

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
        """Creates the state machine; `run` starts the tasks.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: the random source.
          allowlist: which members may take work.
          client: sends messages by HTTP.
          store: holds the contact records.
          options: of gossip; by default taken from `settings`.
          discovery: of the search for peers; by default taken from `settings`.
          socket: carries short messages as datagrams; by default all messages
            go by HTTP.
          on_listed: called with each store entry listed with the contacts.
          on_round_trip: called with the round-trip time of each datagram that
            was answered.
        """
        self._clock = clock
        self._allowlist = allowlist
        self._client = client
        options = options or GossipOptions(
            probe_period_s=settings.probe_period_s,
            probe_timeout_s=settings.probe_timeout_s,
        )
        self.gossip = Gossip(
            _own_record(settings, clock), options, rng, clock.monotonic()
        )
        self.directory = GossipDirectory(
            self.gossip, allowlist, clock, options.refute_grace_s
        )
        self.rumor_bus = GossipRumorBus(self.gossip, clock, self._wake)
        self._log = PartLogger("membership", clock)
        self._change_logger = MembershipChangeLogger(
            settings.target, self._log.info
        )
        self.gossip.table.add_member_listener(
            lambda old, new: self._change_logger.record_change(
                old, new, self._now()
            )
        )
        discovery = discovery or DiscoveryOptions(
            spread_s=settings.start_spread_s
        )
        self._contact_registry = ContactRegistry(
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
            contact_registry=self._contact_registry,
            options=discovery,
            send=self._send_all,
        )
        self._wake_event = anyio.Event()
        self._exchanges = TaskPool("membership.exchanges")
        self._in_flight = 0
        self._sleeps_until = 0.0
        self.traffic = GossipTraffic()
        self._datagrams: GossipDatagrams | None = None
        if socket is not None:
            self._datagrams = GossipDatagrams(
                socket, rng, self._receive, clock, on_round_trip
            )

    def listen_on(self, listener: PeerListener) -> None:
        """Registers the handler of gossip messages with `listener`."""
        listener.add_control_handler(
            GOSSIP_CONTROL_NAME, self._handle, MAX_MESSAGE_BYTES
        )

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties of membership."""
        return (
            self._exchanges.duty,
            Duty("membership.search", self._search.run),
            Duty("membership.timers", self._run_timers),
        )

    async def run(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties())

    def advertise(self, state: AdvertisedState) -> None:
        """Advertises that this node serves, drains or leaves."""
        self._send_all(self.gossip.advertise(state, self._now()))

    def set_service(self, service: str) -> None:
        """Advertises that the local backend server now provides `service`."""
        self._send_all(self.gossip.set_service(service, self._now()))

    async def advertise_left(self) -> None:
        """Notifies some peers that this node has left, as its last message."""
        messages = self.gossip.advertise(AdvertisedState.LEFT, self._now())
        with anyio.move_on_after(_LEFT_NOTICE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for outgoing in messages:
                    tasks.start_soon(
                        run_contained,
                        "membership.left_notices",
                        self._exchange,
                        outgoing,
                    )

    def report_unreachable(self, name: str) -> None:
        """Probes `name` soon, because its node accepted no connection."""
        self.gossip.probe_soon(name, self._now())
        self._wake()

    def node_count(self) -> int:
        """Returns an upper estimate of how many nodes share the store.

        Too high is safe, too low is not: a node that just started knows only
        itself, and members considered dead may be partitioned and alive.
        """
        known = len(self.gossip.table.members)
        return max(known, self._allowlist.size())

    def found_no_peers(self) -> bool:
        """Returns whether the store once listed no contact but this node."""
        return self._search.found_no_peers

    def set_config_revision(self, revision: int) -> None:
        """Sets the configuration revision that gossip messages advertise."""
        self.gossip.config_revision = revision

    def members_by_state(self) -> dict[str, int]:
        """Returns the number of known members, by state."""
        counts: dict[str, int] = {}
        for member in self.directory.members():
            counts[member.state] = counts.get(member.state, 0) + 1
        return counts

    def status(self) -> dict[str, Any]:
        """Returns the membership fields of the node's status document."""
        counts = self.members_by_state()
        return {
            "members": sum(counts.values()),
            "member_states": counts,
            "members_dead": self._gone_names(left=False),
            "members_left": self._gone_names(left=True),
            "not_in_inventory": list(self.directory.disallowed_names()),
            "incarnation": self.gossip.own_record.incarnation,
            "name_conflicts": self.gossip.name_conflicts,
            "gossip_traffic": msgspec.to_builtins(self.traffic),
            "contact_store_calls": dict(self._contact_registry.calls),
        }

    def _gone_names(self, *, left: bool) -> list[str]:
        """Returns the first names of the members that left, or are dead."""
        names = [
            record.name
            for record in self.gossip.table.members.values()
            if record.is_gone
            and (record.advertised is AdvertisedState.LEFT) is left
        ]
        return sorted(names)[:_MAX_NAMES_IN_STATUS]

    def _now(self) -> float:
        return self._clock.monotonic()

    def _wake(self) -> None:
        self._wake_event.set()

    def _wake_if_due_sooner(self) -> None:
        if self.gossip.next_due() < self._sleeps_until:
            self._wake()

    async def _run_timers(self) -> None:
        while True:
            self._send_all(self.gossip.tick(self._now()))
            self._change_logger.flush(self._now())
            self._sleeps_until = self.gossip.next_due()
            wait_s = self._sleeps_until - self._now()
            with anyio.move_on_after(max(0.0, wait_s)):
                await self._wake_event.wait()
            self._wake_event = anyio.Event()

    def _send_all(self, messages: Iterable[OutgoingMessage]) -> None:
        for outgoing in messages:
            if self._datagrams is not None and self._datagrams.notify(outgoing):
                continue
            if (
                self._in_flight >= _MAX_IN_FLIGHT
                or not self._exchanges.start_soon(
                    self._exchange_counted, outgoing
                )
            ):
                # Not reported as a failure of the peer, which has no part in
                # it.
                self.traffic.dropped += 1
                continue
            self._in_flight += 1

    async def _exchange_counted(self, outgoing: OutgoingMessage) -> None:
        try:
            await self._exchange(outgoing)
        finally:
            self._in_flight -= 1

    async def _exchange(self, outgoing: OutgoingMessage) -> None:
        if self._datagrams is not None:
            reply = await self._datagrams.request(outgoing)
            if reply is not None:
                self._handle_reply(outgoing, reply)
                return
        await self._exchange_by_http(outgoing)

    async def _exchange_by_http(self, outgoing: OutgoingMessage) -> None:
        data = encode_message(outgoing.message)
        self.traffic.record_sent(len(data))
        try:
            body = await self._client.call(
                outgoing.address, GOSSIP_CONTROL_NAME, data, outgoing.timeout_s
            )
            reply = decode_message(body, self._log_malformed_entry)
        except (PeerError, MessageError):
            self._contact_registry.mark_unreachable(outgoing.address)
            self._send_all(self.gossip.handle_failure(outgoing, self._now()))
            return
        self.traffic.record_received(len(body))
        self._handle_reply(outgoing, reply)

    def _handle_reply(self, outgoing: OutgoingMessage, reply: Message) -> None:
        self._contact_registry.mark_reachable(outgoing.address)
        self._send_all(self.gossip.handle_reply(outgoing, reply, self._now()))
        self._wake_if_due_sooner()

    def _receive(self, message: Message) -> Message:
        """Handles a message that another node began with; returns the reply."""
        reply, messages = self.gossip.receive(message, self._now())
        self._send_all(messages)
        self._wake_if_due_sooner()
        return reply

    def _log_malformed_entry(self, reason: str) -> None:
        self._log.warning(
            "Left out a malformed entry of a message.", reason=reason
        )

    async def _handle(self, request: Request) -> Response:
        body = await read_body(request.body)
        try:
            message = decode_message(body, self._log_malformed_entry)
        except MessageError as exc:
            return problem_response(exc.code, exc.args[0], "not-run")
        self.traffic.record_received(len(body))
        data = encode_message(self._receive(message))
        self.traffic.record_sent(len(data))
        return Response(200, _JSON, data, len(data))


class GossipTraffic(msgspec.Struct):
    """Counts of gossip messages and payload bytes by HTTP since the start.

    Datagrams are counted by `PeerSocket`.

    Attributes:
      messages_sent: messages and replies sent.
      bytes_sent: size of their bodies, without HTTP header fields (bytes).
      messages_received: messages and replies received.
      bytes_received: size of their bodies, likewise (bytes).
      dropped: messages not sent because too many were in flight.
    """

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    dropped: int = 0

    def record_sent(self, size_bytes: int) -> None:
        """Counts a message or reply that was sent."""
        self.messages_sent += 1
        self.bytes_sent += size_bytes

    def record_received(self, size_bytes: int) -> None:
        """Counts a message or reply that was received."""
        self.messages_received += 1
        self.bytes_received += size_bytes


def _own_record(settings: NodeSettings, clock: Clock) -> MemberRecord:
    # Taken from the wall clock, incarnations rise over restarts although
    # nothing is kept on disk. If the clock was set back, peers report the
    # higher incarnation and this node exceeds it.
    incarnation = clock.wall_ms()
    address: Address = advertised_address(settings)
    return MemberRecord(
        settings.target,
        settings.service,
        settings.failure_domain,
        str(address),
        incarnation,
    )
