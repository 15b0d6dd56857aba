"""Configurations for tests, and operators who accept them in this process."""

import random

import anyio.lowlevel

from radishwind.config.accept import Acceptor
from radishwind.config.accept import Change
from radishwind.config.model import FailureDomain
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Service
from radishwind.config.model import Target
from radishwind.config.parts import Snapshot
from radishwind.config.records import ROOT_KEY
from radishwind.config.repository import ConfigRepository
from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.standins.store import StoreStandin
from radishwind.store import EtcdStore
from radishwind.store.gateway import encode_bytes
from tests.support.direct import DirectSender

STORE = Address("127.0.0.1", 1)
_ROOT = encode_bytes(ROOT_KEY.encode()).encode()


def inventory(services: int = 3, targets: int = 2, slots: int = 9) -> Inventory:
    """Returns an inventory; `slots` are those of the first target."""
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


class Desk:
    """A store's stand-in, and an operator's program beside it."""

    def __init__(self, seed: int = 1, settle_s: float = 0.0) -> None:
        self.clock = ManualClock()
        self.standin = StoreStandin(self.clock)
        self.sender = DirectSender()
        self.sender.handlers[STORE] = self._handle
        self.on_swap = self.standin.handle
        self.store = EtcdStore(self.sender, STORE, timeout_s=0.2)
        self.repository = ConfigRepository(self.store)
        self.acceptor = Acceptor(
            self.store, self.clock, random.Random(seed), settle_s
        )

    async def _handle(self, request):
        """Lets other tasks run; hands the swap of the root to `on_swap`."""
        await anyio.lowlevel.checkpoint()
        swap = request.path == "/v3/kv/txn" and _ROOT in request.body
        handle = self.on_swap if swap else self.standin.handle
        return await handle(request)

    async def apply(self, content, operator="ada", base=None, above=0):
        return await self.acceptor.accept(
            Change(content, operator, base, above)
        )

    async def loaded(self) -> Snapshot:
        record, _ = await self.repository.newest()
        return await self.repository.load(record, Snapshot())

    def keys(self, prefix: str) -> list[str]:
        held = self.standin.state._values
        return sorted(k.decode() for k in held if k.decode().startswith(prefix))

    def paths(self) -> list[str]:
        return [request.path for _, request in self.sender.sent]
