"""Configurations for tests, and a store and nodes that hold them.

Everything runs in the process of the test.
"""

import base64
from collections.abc import Callable
import random

import anyio
import anyio.abc
import anyio.lowlevel

from radishwind.config.change_acceptor import Change
from radishwind.config.change_acceptor import ChangeAcceptor
from radishwind.config.model import Configuration
from radishwind.config.model import FailureDomain
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Rules
from radishwind.config.model import Service
from radishwind.config.model import Target
from radishwind.config.parts import Snapshot
from radishwind.config.records import ChangeRecord
from radishwind.config.records import ROOT_KEY
from radishwind.config.repository import ConfigRepository
from radishwind.core import ManualClock
from radishwind.core import SystemClock
from radishwind.http import Address
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.errors import ConnectFailedError
from radishwind.http.response_check import ResponseCheck
from radishwind.http.sender import Sender
from radishwind.http.types import read_body
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.node.config_periods import ConfigPeriods
from radishwind.node.config_tasks import ConfigTasks
from radishwind.peers import HttpPeerClient
from radishwind.settings import NodeSettings
from radishwind.standins.store import StoreStandin
from radishwind.store import EtcdStore
from radishwind.store.gateway import encode_bytes
from tests.support.in_process_sender import InProcessSender

STORE = Address("127.0.0.1", 1)
_ROOT = encode_bytes(ROOT_KEY.encode()).encode()


def inventory(services: int = 3, targets: int = 2, slots: int = 9) -> Inventory:
    """Returns an inventory.

    Args:
      services: number of services.
      targets: number of targets of each service.
      slots: slots of the first target; the others have 9.
    """
    domains = ("dom-a", "dom-b", "dom-c")
    return Inventory(
        tuple(FailureDomain(name) for name in domains),
        tuple(Service(f"svc-{i:04d}") for i in range(services)),
        tuple(
            Target(
                f"svc-{s:04d}-{t}",
                f"svc-{s:04d}",
                domains[(s + t) % 3],
                slots if (s, t) == (0, 0) else 9,
            )
            for s in range(services)
            for t in range(targets)
        ),
        tuple(
            Link(a, b, 1.5)
            for i, a in enumerate(domains)
            for b in domains[i + 1 :]
        ),
    )


class ConfigTestbed:
    """A stand-in of the store, and an operator that applies changes to it."""

    def __init__(self, seed: int = 1, decision_wait_s: float = 0.0) -> None:
        self.clock = ManualClock()
        self.standin = StoreStandin(self.clock)
        self.sender = InProcessSender()
        self.sender.handlers[STORE] = self._handle
        self.on_swap: Handler = self.standin.handle
        self.store = EtcdStore(self.sender, STORE, timeout_s=0.2)
        self.repository = ConfigRepository(self.store)
        self.acceptor = ChangeAcceptor(
            self.store, self.clock, random.Random(seed), decision_wait_s
        )

    async def _handle(self, request: Request) -> Response:
        """Passes the compare-and-swap of the root to `on_swap`.

        Lets other tasks run first.
        """
        await anyio.lowlevel.checkpoint()
        body = await read_body(request.body)
        is_swap = request.path == "/v3/kv/txn" and _ROOT in body
        handle = self.on_swap if is_swap else self.standin.handle
        return await handle(request)

    async def apply(
        self,
        content: Inventory | Rules | Configuration,
        operator: str = "ada",
        base: int | None = None,
        above: int = 0,
    ) -> ChangeRecord | None:
        return await self.acceptor.accept(
            Change(content, operator, base, above)
        )

    async def load_newest(self) -> Snapshot:
        root, _ = await self.repository.read_newest()
        assert root is not None
        return await self.repository.load(root, Snapshot())

    def value(self, key: str) -> bytes:
        """Returns the value of `key` in the store."""
        entry = self.standin.state._values[key.encode()]
        return base64.b64decode(entry.value)

    def keys(self, prefix: str) -> list[str]:
        values = self.standin.state._values
        return sorted(
            k.decode() for k in values if k.decode().startswith(prefix)
        )

    def paths(self) -> list[str]:
        return [request.path for _, request in self.sender.sent]


class FixedDirectory(Directory):
    """A directory with a fixed set of members."""

    def __init__(self) -> None:
        self.all_members: tuple[Member, ...] = ()

    def eligible_members(self, service: str) -> tuple[Member, ...]:
        return tuple(m for m in self.all_members if m.service == service)

    def members(self) -> tuple[Member, ...]:
        return self.all_members


class RefusableSender(Sender):
    """Sends the calls of one node to the store while it is not refused."""

    def __init__(self, sender: Sender, is_refused: Callable[[], bool]) -> None:
        self._sender = sender
        self._is_refused = is_refused
        self.refused_count = 0

    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
    ) -> Response:
        if self._is_refused():
            self.refused_count += 1
            raise ConnectFailedError("refused by the store")
        return await self._sender.send(
            address, request, connect_timeout_s, check
        )

    async def close(self) -> None:
        """Does nothing: the sender is shared."""


class ConfigFleet:
    """The configuration tasks of many nodes.

    Attributes:
      refused: names of the nodes whose new calls the store refuses.
    """

    def __init__(self, testbed: ConfigTestbed, periods: ConfigPeriods) -> None:
        self.testbed = testbed
        self.nodes: dict[str, ConfigTasks] = {}
        self.reports: list[str] = []
        self.refused: set[str] = set()
        self.store_senders: dict[str, RefusableSender] = {}
        self._periods = periods
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._directory = FixedDirectory()

    def start(self, tasks: anyio.abc.TaskGroup, name: str, domain: str) -> None:
        """Starts a node, which the others know at once."""
        number = len(self.nodes) + 10
        address = Address(f"10.0.{number // 250}.{number % 250}", 1)
        member = Member(name, "svc-0000", domain, address)
        others = [m for m in self._directory.all_members if m.name != name]
        self._directory.all_members = (*others, member)
        node = self._node(name, domain, address, number)
        self.nodes[name] = node
        self.testbed.sender.handlers[address] = node.handle_control
        scope = self._scopes[name] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await node.run()

        tasks.start_soon(run)

    def stop(self) -> None:
        for scope in self._scopes.values():
            scope.cancel()

    def revisions(self) -> set[int]:
        return {n.adopter.snapshot.revision for n in self.nodes.values()}

    def totals(self) -> tuple[int, int]:
        """Returns the pulls sent and bytes received by all nodes."""
        exchanges = [node.exchange for node in self.nodes.values()]
        pulls = sum(e.pulls_sent for e in exchanges)
        return pulls, sum(e.bytes_received for e in exchanges)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until `condition` holds; fails after 20 s."""
        with anyio.fail_after(20):
            while not condition():
                await anyio.lowlevel.checkpoint()

    async def wait_in_force(self, revision: int) -> None:
        await self.wait_until(lambda: self.revisions() == {revision})

    def _node(
        self, name: str, domain: str, address: Address, seed: int
    ) -> ConfigTasks:
        sender = RefusableSender(
            self.testbed.sender, lambda: name in self.refused
        )
        self.store_senders[name] = sender
        return ConfigTasks(
            settings=NodeSettings(
                target=name,
                service="svc-0000",
                failure_domain=domain,
                store=STORE,
                peer_listen=address,
            ),
            clock=SystemClock(),
            rng=random.Random(seed),
            store=EtcdStore(sender, STORE, timeout_s=0.2),
            directory=self._directory,
            peers=HttpPeerClient(self.testbed.sender),
            rumor_bus=NullRumorBus(),
            on_adopted=lambda index: None,
            log=self.reports.append,
            periods=self._periods,
        )
