"""Tasks that keep a node's configuration at the newest accepted revision.

New revisions arrive in three ways:

- From peers. A node that adopts a revision notifies a few others, which pull
  the difference from it and notify others in turn. Periodic pulls from random
  peers catch what this misses.
- As rumors, if the rumor bus carries any: a rumor names the newest revision.
- From the store (`store_follower`). A few nodes of each failure domain watch
  it, the others read it rarely.
"""

from collections.abc import Callable
import random

import anyio
import msgspec

from radishwind.config.adopter import Adopter
from radishwind.config.adopter import Source
from radishwind.config.config_exchange import ConfigExchange
from radishwind.config.config_exchange import jittered
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.index import ConfigIndex
from radishwind.config.parts import Snapshot
from radishwind.core import Clock
from radishwind.core import ResultCode
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.sizes import MAX_RUMOR_VALUE_BYTES
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import read_body
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.rumor_bus import RumorBus
from radishwind.node.config_periods import ConfigPeriods
from radishwind.node.peer_security import advertised_address
from radishwind.node.store_follower import StoreFollower
from radishwind.outcomes import problem_response
from radishwind.peers import PeerClient
from radishwind.peers import PeerError
from radishwind.settings import NodeSettings
from radishwind.store import Store
from radishwind.supervision import Duty
from radishwind.supervision import Listeners
from radishwind.supervision import run_contained
from radishwind.supervision import run_together

RUMOR_TOPIC = "config"
_RUMOR_KEY = "newest"
_RUMOR_TTL_S = 60.0

#: Reports of newer revisions that wait for a pull; further ones are dropped.
_MAX_QUEUED_REPORTS = 16

#: With this number of members or more, the list of members is cached for a
#: time (s).
_MIN_CACHED_MEMBERS = 256
_MAX_MEMBERS_AGE_S = 10.0

_DEFAULT_PERIODS = ConfigPeriods()


class RevisionRumor(msgspec.Struct, frozen=True):
    """Value of a rumor: the newest revision known.

    It names no node to pull from, since all nodes would pull from that one.
    """

    revision: NonNegativeInt


_rumor_decoder = JsonDecoder[RevisionRumor](
    RevisionRumor, "a revision", MAX_RUMOR_VALUE_BYTES
)


class ConfigTasks:
    """Owns the configuration in force and the tasks that update it.

    Attributes:
      adopter: holds the configuration in force and counts refusals.
      exchange: pulls from peers and answers their pulls.
      index: look-ups over the configuration in force.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        store: Store,
        directory: Directory,
        peers: PeerClient,
        rumor_bus: RumorBus,
        on_adopted: Callable[[ConfigIndex], None],
        log: Callable[[str], None],
        periods: ConfigPeriods = _DEFAULT_PERIODS,
    ) -> None:
        """Creates the tasks; `run` starts them.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: source of the jitter and of random choices.
          store: the store, limited by the node's call budget.
          directory: the known members.
          peers: sends control messages.
          rumor_bus: disseminates the newest revision.
          on_adopted: called with each configuration that comes into force.
          log: called with each log message.
          periods: intervals at which the tasks act.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._rumor_bus = rumor_bus
        self._adoption: Listeners[ConfigIndex] = Listeners("config.adoption")
        self._adoption.add(on_adopted)
        self._log = log
        self._periods = periods
        self._report_sender, self._report_receiver = (
            anyio.create_memory_object_stream[tuple[int, Address]](
                _MAX_QUEUED_REPORTS
            )
        )
        self._adopted_event = anyio.Event()
        self._lagging_event = anyio.Event()
        # 1, so that a node with no configuration in force counts as lagging.
        self._newest_known = 1
        self._cached_members: tuple[Member, ...] = ()
        self._cached_at = clock.monotonic()
        self.adopter = Adopter()
        self.index = ConfigIndex(self.adopter.snapshot.cfg)
        self.exchange = ConfigExchange(
            self.adopter,
            peers,
            store,
            advertised_address(settings),
            self._queue_report,
            self._handle_adopted,
        )
        self._follower = StoreFollower(
            settings=settings,
            clock=clock,
            rng=rng,
            store=store,
            exchange=self.exchange,
            members=self._members,
            on_refused=self._refuse,
            log=log,
            periods=periods,
        )
        rumor_bus.subscribe(RUMOR_TOPIC, self._handle_rumor)

    @property
    def is_watching(self) -> bool:
        """Whether this node is one of those that watch the store."""
        return self._follower.is_watching

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties that keep the configuration up to date."""
        return (
            *self._follower.duties(),
            Duty("config.pulls", self._pull_periodically),
            Duty("config.reports", self._pull_reported),
            Duty("config.notices", self._notify_members),
            self._adoption.retries,
        )

    async def run(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties())

    async def handle_control(self, request: Request) -> Response:
        """Answers a peer's pull."""
        try:
            content = await read_body(request.body)
            return _json(self.exchange.handle_pull(content))
        except RevisionRefusedError as exc:
            return problem_response(
                ResultCode.PEER_MALFORMED, str(exc), "not-run"
            )

    async def pull(self, address: Address) -> int | None:
        """Pulls from a peer what is newer there, and adopts it.

        Returns:
          The revision in force at the peer; `None` if it did not respond or
          its configuration was refused.
        """
        try:
            return (await self.exchange.pull_from(address)).revision
        except PeerError:
            return None
        except RevisionRefusedError as exc:
            self._refuse(Source.PEER, exc)
            return None

    def other_members(self) -> list[Member]:
        """Returns the other members, without those considered dead."""
        return [
            member
            for member in self._members()
            if member.name != self._settings.target
            and member.state is not MemberState.DEAD
        ]

    def _members(self) -> tuple[Member, ...]:
        """Returns the members; for a large fleet those of the cached list."""
        now = self._clock.monotonic()
        age_s = now - self._cached_at
        if (
            len(self._cached_members) < _MIN_CACHED_MEMBERS
            or age_s > _MAX_MEMBERS_AGE_S
        ):
            self._cached_members = self._directory.members()
            self._cached_at = now
        return self._cached_members

    def _handle_adopted(self, snapshot: Snapshot, source: Source) -> None:
        self.index = ConfigIndex(snapshot.cfg)
        self._adoption.notify(self.index)
        self._log(f"Revision {snapshot.revision} is in force.")
        self._adopted_event.set()
        if source is not Source.STORE:
            return
        self._rumor_bus.publish(
            RUMOR_TOPIC,
            _RUMOR_KEY,
            snapshot.revision,
            msgspec.json.encode(RevisionRumor(snapshot.revision)),
            _RUMOR_TTL_S,
        )

    def _refuse(self, source: Source, exc: RevisionRefusedError) -> None:
        """Counts a refusal; logs it unless it repeats the last one."""
        if self.adopter.refuse(source, exc):
            self._log(f"Refused: {self.adopter.last_refusal}")

    def _queue_report(self, revision: int, address: Address) -> None:
        """Queues a peer's report of its revision, if that is newer."""
        if revision <= self.adopter.snapshot.revision:
            return
        try:
            self._report_sender.send_nowait((revision, address))
        except anyio.WouldBlock:
            # The queued reports suffice; periodic pulls catch what is dropped.
            return

    def _handle_rumor(self, key: str, value: bytes) -> None:
        try:
            rumor = _rumor_decoder.decode(value)
        except MalformedInputError as exc:
            self._log(f"Malformed rumor {key[:40]}: {exc}")
            return
        if rumor.revision > self._newest_known:
            self._newest_known = rumor.revision
            self._lagging_event.set()

    async def _pull_reported(self) -> None:
        """Pulls from peers that reported a newer revision."""
        async for revision, address in self._report_receiver:
            if revision > self.adopter.snapshot.revision:
                await self.pull(address)

    async def _pull_periodically(self) -> None:
        """Pulls from a random peer, more often while this node lags.

        Peers known to have a newer revision are preferred. Choosing any of
        them, rather than the first that reported it, distributes the load.
        """
        while True:
            own = self.adopter.snapshot.revision
            members = self.other_members()
            ahead = [m for m in members if m.config_revision > own]
            if members:
                await self.pull(self._rng.choice(ahead or members).address)
            if self.adopter.snapshot.revision < self._newest_known:
                pause_s = jittered(
                    self._rng, self._periods.lagging_pull_period_s
                )
                await anyio.sleep(pause_s)
                continue
            self._lagging_event = anyio.Event()
            with anyio.move_on_after(
                jittered(self._rng, self._periods.pull_period_s)
            ):
                await self._lagging_event.wait()
                # Nodes that adopted the revision notify others meanwhile, so
                # most nodes need no pull of their own.
                pause_s = jittered(
                    self._rng, self._periods.lagging_pull_period_s
                )
                await anyio.sleep(pause_s)

    async def _notify_members(self) -> None:
        """Notifies a few members of each revision that was adopted.

        The notification is a pull, which carries this node's revision; members
        with an older one then pull from this node.
        """
        while True:
            await self._adopted_event.wait()
            self._adopted_event = anyio.Event()
            members = self.other_members()
            count = min(self._periods.notified_members, len(members))
            async with anyio.create_task_group() as tasks:
                for member in self._rng.sample(members, count):
                    tasks.start_soon(
                        run_contained,
                        "config.notices",
                        self.pull,
                        member.address,
                    )


def _json(content: bytes) -> Response:
    return Response(200, (("Content-Type", "application/json"),), content)
