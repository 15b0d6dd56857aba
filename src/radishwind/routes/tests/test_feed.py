"""The newest configuration reaches a node by few calls of the store."""

import random

import anyio
import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.routes import Part
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import RoutesInForce
from radishwind.routes.feed import RouteFeed
from radishwind.store.base import StoreEntry

pytestmark = pytest.mark.anyio

ROUTE = Route("r", "h", "/", True, (Part("s"),), 1.0, 0.5, 1, 2)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def decode(raw):
    return RouteConfig(int(raw), (ROUTE,), {})


class Store:
    """Counts reads; a watch waits for good."""

    def __init__(self):
        self.reads = 0

    async def get(self, key):
        self.reads += 1
        return StoreEntry(key, b"7", 1, 1)

    async def watch(self, prefix, from_revision):
        await anyio.sleep_forever()
        yield


class Board:
    def subscribe(self, topic, listener):
        self.listener = listener

    def publish(self, *told):
        pass


class Peers:
    """Every peer has version 7."""

    async def call(self, address, name, data, timeout_s):
        return b"7"


class Directory:
    def __init__(self, *names):
        self._members = tuple(
            Member(n, "s", "a", Address("h", 1), 1, MemberState.ALIVE)
            for n in names
        )

    def members(self):
        return self._members


def feed(store, directory, first_wait_s):
    in_force = RoutesInForce(ManualClock())
    made = RouteFeed(
        node_name="own",
        failure_domain="a",
        key="k",
        decode=decode,
        store=store,
        in_force=in_force,
        directory=directory,
        board=Board(),
        peers=Peers(),
        clock=ManualClock(),
        rng=random.Random(1),
        first_wait_s=first_wait_s,
    )
    return made, in_force


async def run_until_known(made, in_force):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        with anyio.fail_after(5):
            while in_force.cfg is None:  # noqa: ASYNC110
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()


async def test_a_node_that_starts_again_asks_the_store_at_once():
    store = Store()

    await run_until_known(*feed(store, Directory("own"), 0.0))

    assert store.reads == 1


async def test_at_the_first_start_of_all_a_peer_spares_the_store():
    store = Store()
    members = Directory("own", "p-1", "p-2", "p-3")

    await run_until_known(*feed(store, members, 60.0))

    assert store.reads == 0
