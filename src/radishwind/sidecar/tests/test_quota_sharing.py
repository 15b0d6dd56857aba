"""Two nodes share quotas over loopback; without quotas nothing is sent."""

import random
import socket
import types

import anyio
import anyio.lowlevel
import pytest

from radishwind.accounts import Account
from radishwind.core.clock import BootClock
from radishwind.http.types import Address
from radishwind.membership.gossip import Gossip
from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord
from radishwind.peers.peer_socket import PeerSocket
from radishwind.quotas.messages import encode
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import LeaseRequestItem
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.model import RouteConfig
from radishwind.sidecar.quota_sharing import QuotaSharing

WAIT_S = 20.0

BOUNDS = types.SimpleNamespace(
    quota_window_s=5.0, quota_over=0.1, quota_slack=20.0
)


def free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as held:
        held.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", held.getsockname()[1])


ASK = encode(
    LeaseRequest(
        "n2", 1, 1, 0.0, (LeaseRequestItem("a", 1, 0, 0, 0, 0, 1, False),)
    )
)


class Node:
    """The quotas of one node, its membership told by the test."""

    def __init__(self, name, members, accounts):
        clock, rng = BootClock(), random.Random(name)
        self.address = members[name]
        facts = [
            MemberRecord(other, "s", "d", str(address), 1)
            for other, address in members.items()
        ]
        own = next(fact for fact in facts if fact.name == name)
        self.gossip = Gossip(own, GossipOptions(), rng, clock.monotonic())
        for fact in facts:
            self.gossip.table.merge_member(fact)
        self.socket = PeerSocket()
        self.routes = ActiveRoutes(clock)
        self.unreachable = []
        self.alone = False
        settings = types.SimpleNamespace(node=name, **vars(BOUNDS))
        self.sharing = QuotaSharing(
            settings=settings,
            clock=clock,
            rng=rng,
            routes=self.routes,
            membership=types.SimpleNamespace(
                gossip=self.gossip,
                report_unreachable=self.unreachable.append,
                found_no_peers=lambda: self.alone,
            ),
            socket=self.socket,
        )
        self.adopt(1, accounts)
        self.clock = clock

    def adopt(self, version, accounts):
        cfg = RouteConfig(version, (), {}, accounts=tuple(accounts))
        self.routes.adopt(cfg, b"", "test")

    def take(self, account="a"):
        return self.sharing.borrower.admit(account, self.clock.monotonic())


async def until(condition):
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


class Pair:
    """Two nodes; `other` is the one that does not lend account `a`."""

    def __init__(self, accounts):
        members = {name: free_address() for name in ("n1", "n2")}
        self.nodes = {n: Node(n, members, accounts) for n in members}

    async def __aenter__(self):
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        for node in self.nodes.values():
            await node.socket.start(node.address)
            self.tasks.start_soon(node.sharing.run)
        return self

    async def __aexit__(self, *failure):
        self.tasks.cancel_scope.cancel()
        for node in self.nodes.values():
            node.socket.close()
        return await self.tasks.__aexit__(*failure)

    def know_each_other(self):
        return all(
            n.sharing._lender_map.known_count == 2 for n in self.nodes.values()
        )

    def sides(self):
        """Returns the node that lends, and the other."""
        lender_map = self.nodes["n1"].sharing._lender_map
        name = lender_map.lender_of("a")
        (other,) = set(self.nodes) - {name}
        return self.nodes[name], self.nodes[other]


@pytest.mark.anyio
async def test_a_node_lends_to_another():
    async with Pair([Account("a", (), None, 50.0, 50.0)]) as pair:
        await until(
            lambda: all(
                n.sharing._lender_map.known_count == 2
                for n in pair.nodes.values()
            )
        )
        lender, other = pair.sides()
        assert other.take() is None
        await until(lambda: lender.sharing.lender.account_count)
        await until(lambda: other.take() is None)
        assert other.sharing.channel.sent


@pytest.mark.anyio
async def test_a_lone_node_lets_in_and_lends_once_the_store_proves_it():
    account = Account("a", (), None, 50.0, 50.0)
    node = Node("n1", {"n1": free_address()}, [account])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.sharing.run)
        await until(lambda: not node.sharing._stale)
        assert node.take() is not None
        node.alone = True
        assert node.take() is None
        await until(lambda: node.take() is None)
        assert node.sharing.lender.account_count == 1
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_lender_that_is_gone_is_named_to_membership():
    async with Pair([Account("a", (), None, 50.0, 50.0)]) as pair:
        await until(
            lambda: all(
                n.sharing._lender_map.known_count == 2
                for n in pair.nodes.values()
            )
        )
        lender, other = pair.sides()
        lender.socket.close()
        other.take()
        await until(lambda: other.unreachable)
        assert set(other.unreachable) == {lender.sharing._lender_map.own_name}


@pytest.mark.anyio
async def test_members_that_leave_or_are_dead_lend_nothing():
    async with Pair([Account("a", (), None, 50.0, 50.0)]) as pair:
        node = pair.nodes["n1"]
        lender_map = node.sharing._lender_map
        await until(lambda: lender_map.known_count == 2)
        fact = node.gossip.table.members["n2"]
        dead = MemberRecord(
            *_parts(fact), 2, AdvertisedState.SERVING, Liveness.DEAD
        )
        node.gossip.table.merge_member(dead)
        await until(lambda: lender_map.live == {"n1"})
        assert lender_map.known_count == 2
        left = MemberRecord(*_parts(fact), 3, AdvertisedState.LEFT)
        node.gossip.table.merge_member(left)
        await until(lambda: lender_map.known_count == 1)


def _parts(fact):
    return (fact.name, fact.service, fact.failure_domain, fact.address)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "data", [ASK, b"\x93\x01", b""], ids=["question", "cut short", "empty"]
)
async def test_without_quotas_what_others_send_has_no_effect(data):
    async with Pair([Account("a", ())]) as pair:
        node, other = pair.nodes.values()
        lender = node.sharing.lender
        paused = []
        lender._notice_pause = paused.append

        assert node.sharing.channel._received(data, other.address)

        assert not node.sharing.channel.sent
        assert not paused
        node.adopt(2, [Account("a", (), None, 50.0, 50.0)])
        node.sharing.channel._received(ASK, other.address)
        assert node.sharing.channel.sent == 1


@pytest.mark.anyio
async def test_without_quotas_nothing_is_sent_until_one_comes():
    async with Pair([Account("a", ())]) as pair:
        node = pair.nodes["n1"]
        for _ in range(1000):
            assert node.take() is None
        await anyio.lowlevel.checkpoint()
        assert not any(n.sharing.channel.sent for n in pair.nodes.values())
        assert node.sharing._lender_map.known_count == 1
        for each in pair.nodes.values():
            each.adopt(2, [Account("a", (), None, 50.0, 50.0)])
        await until(lambda: node.sharing._lender_map.known_count == 2)
