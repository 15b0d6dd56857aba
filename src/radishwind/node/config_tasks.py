"""The tasks that keep a node's configuration the newest accepted one.

Three ways lead to it. Peers: whoever adopts a revision tells a few others,
who ask it for the difference and tell on; a slow random exchange catches what
that missed. The rumor bus, where there is one. The store
(`config_store`): a few nodes of each failure domain watch it, the others read
it rarely.
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

RUMOR_TOPIC = "config"
_RUMOR_KEY = "newest"
_RUMOR_TTL_S = 60.0

#: Peers said to be ahead that wait to be asked; further ones are dropped.
_MAX_HEARD_WAITING = 16

#: From so many members on, the list of all is made anew only so often (s).
_MANY_MEMBERS = 256
_MEMBERS_AGE_S = 10.0

_USUAL_PERIODS = ConfigPeriods()


class RumorOfRevision(msgspec.Struct, frozen=True):
    """What the rumor bus carries: the newest revision.

    It names no node to ask, since all would ask that one.
    """

    revision: int


class ConfigTasks:
    """Owns the configuration in force and the tasks that renew it.

    Attributes:
      adopter: holds the configuration and what was refused.
      exchange: asks and answers peers.
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
        periods: ConfigPeriods = _USUAL_PERIODS,
    ) -> None:
        """Wires the tasks.

        Args:
          settings: of the node.
          clock: the clock.
          rng: the random source of pauses and choices.
          store: the store, within the node's budget.
          directory: the members known.
          peers: sends control messages.
          rumor_bus: spreads the newest revision.
          on_adopted: called with each configuration put in force.
          log: called with a sentence for the log.
          periods: how often the tasks act.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._rumor_bus = rumor_bus
        self._on_adopted = on_adopted
        self._log = log
        self._periods = periods
        self._send_heard, self._receive_heard = (
            anyio.create_memory_object_stream[tuple[int, Address]](
                _MAX_HEARD_WAITING
            )
        )
        self._newly_adopted = anyio.Event()
        self._lagging = anyio.Event()
        self._known_newest = 1
        self._known: tuple[Member, ...] = ()
        self._members_at = clock.monotonic()
        self.adopter = Adopter()
        self.index = ConfigIndex(self.adopter.snapshot.cfg)
        self.exchange = ConfigExchange(
            self.adopter,
            peers,
            store,
            advertised_address(settings),
            self._heard,
            self._adopted,
        )
        self._follower = StoreFollower(
            settings=settings,
            clock=clock,
            rng=rng,
            store=store,
            exchange=self.exchange,
            members=self._members,
            refused=self._refuse,
            log=log,
            periods=periods,
        )
        rumor_bus.subscribe(RUMOR_TOPIC, self._take_rumor)

    @property
    def is_watching(self) -> bool:
        """Whether it is this node's turn to watch the store."""
        return self._follower.is_watching

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._follower.start(tasks)
            tasks.start_soon(self._ask_peers)
            tasks.start_soon(self._ask_heard)
            tasks.start_soon(self._tell_members)

    async def handle_control(self, request: Request) -> Response:
        """Answers the pull of a peer."""
        try:
            content = await read_body(request.body)
            return _json(self.exchange.handle_pull(content))
        except RevisionRefusedError as exc:
            return problem_response(
                ResultCode.PEER_MALFORMED, str(exc), "not-run"
            )

    async def pull(self, address: Address) -> int | None:
        """Asks one peer; returns the revision it told, `None` for no answer."""
        try:
            return (await self.exchange.pull_from(address)).revision
        except PeerError:
            return None
        except RevisionRefusedError as exc:
            self._refuse(Source.PEER, exc)
            return None

    def other_members(self) -> list[Member]:
        """Returns the members that can be asked."""
        return [
            member
            for member in self._members()
            if member.name != self._settings.target
            and member.state is not MemberState.DEAD
        ]

    def _members(self) -> tuple[Member, ...]:
        """Returns the members; of a large fleet those of a moment ago."""
        now = self._clock.monotonic()
        age_s = now - self._members_at
        if len(self._known) < _MANY_MEMBERS or age_s > _MEMBERS_AGE_S:
            self._known = self._directory.members()
            self._members_at = now
        return self._known

    def _adopted(self, snapshot: Snapshot, source: Source) -> None:
        self.index = ConfigIndex(snapshot.cfg)
        self._on_adopted(self.index)
        self._log(f"Revision {snapshot.revision} is in force.")
        self._newly_adopted.set()
        if source is not Source.STORE:
            return
        self._rumor_bus.publish(
            RUMOR_TOPIC,
            _RUMOR_KEY,
            snapshot.revision,
            msgspec.json.encode(RumorOfRevision(snapshot.revision)),
            _RUMOR_TTL_S,
        )

    def _refuse(self, source: Source, exc: RevisionRefusedError) -> None:
        """Notes a refusal; reports it unless it was the last one too."""
        if self.adopter.refuse(source, exc):
            self._log(f"Refused: {self.adopter.last_refusal}")

    def _heard(self, revision: int, address: Address) -> None:
        if revision <= self.adopter.snapshot.revision:
            return
        try:
            self._send_heard.send_nowait((revision, address))
        except anyio.WouldBlock:
            # Others told enough; the slow exchange catches what is lost.
            return

    def _take_rumor(self, key: str, value: bytes) -> None:
        try:
            rumor = msgspec.json.decode(value, type=RumorOfRevision)
        except msgspec.MsgspecError as exc:
            self._log(f"Malformed rumor {key[:40]}: {exc}")
            return
        if rumor.revision > self._known_newest:
            self._known_newest = rumor.revision
            self._lagging.set()

    async def _ask_heard(self) -> None:
        async for revision, address in self._receive_heard:
            if revision > self.adopter.snapshot.revision:
                await self.pull(address)

    async def _ask_peers(self) -> None:
        """Asks one at random, more often while a newer revision is known.

        Asking those said to have it, not the one that told first, shares the
        answers out.
        """
        while True:
            own = self.adopter.snapshot.revision
            members = self.other_members()
            ahead = [m for m in members if m.config_revision > own]
            if members:
                await self.pull(self._rng.choice(ahead or members).address)
            if self.adopter.snapshot.revision < self._known_newest:
                pause_s = jittered(
                    self._rng, self._periods.lagging_pull_period_s
                )
                await anyio.sleep(pause_s)
                continue
            self._lagging = anyio.Event()
            with anyio.move_on_after(
                jittered(self._rng, self._periods.pull_period_s)
            ):
                await self._lagging.wait()
                # Whoever adopted it tells others; most need not ask.
                pause_s = jittered(
                    self._rng, self._periods.lagging_pull_period_s
                )
                await anyio.sleep(pause_s)

    async def _tell_members(self) -> None:
        """Tells a few members of each revision adopted; they then ask."""
        while True:
            await self._newly_adopted.wait()
            self._newly_adopted = anyio.Event()
            members = self.other_members()
            count = min(self._periods.notified_members, len(members))
            async with anyio.create_task_group() as tasks:
                for member in self._rng.sample(members, count):
                    tasks.start_soon(self.pull, member.address)


def _json(content: bytes) -> Response:
    return Response(200, (("Content-Type", "application/json"),), content)
