"""Two nodes share quotas over loopback; without quotas they send nothing."""

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


def find_free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


REQUEST = encode(
    LeaseRequest(
        "n2", 1, 1, 0.0, (LeaseRequestItem("a", 1, 0, 0, 0, 0, 1, False),)
    )
)


class Node:
    """The quotas of one node; the test sets its membership."""

    def __init__(self, name, members, accounts):
        clock, rng = BootClock(), random.Random(name)
        self.address = members[name]
        records = [
            MemberRecord(other, "s", "d", str(address), 1)
            for other, address in members.items()
        ]
        own = next(record for record in records if record.name == name)
        self.gossip = Gossip(own, GossipOptions(), rng, clock.monotonic())
        for record in records:
            self.gossip.table.merge_member(record)
        self.socket = PeerSocket()
        self.routes = ActiveRoutes(clock)
        self.unreachable = []
        self.has_no_peers = False
        settings = types.SimpleNamespace(node=name, **vars(BOUNDS))
        self.sharing = QuotaSharing(
            settings=settings,
            clock=clock,
            rng=rng,
            routes=self.routes,
            membership=types.SimpleNamespace(
                gossip=self.gossip,
                report_unreachable=self.unreachable.append,
                found_no_peers=lambda: self.has_no_peers,
            ),
            socket=self.socket,
        )
        self.adopt(1, accounts)
        self.clock = clock

    def adopt(self, version, accounts):
        cfg = RouteConfig(version, (), {}, accounts=tuple(accounts))
        self.routes.adopt(cfg, b"", "test")

    def admit(self, account="a"):
        return self.sharing.borrower.admit(account, self.clock.monotonic())


async def wait_until(condition):
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


class Pair:
    """Two nodes that share their quotas."""

    def __init__(self, accounts):
        members = {name: find_free_address() for name in ("n1", "n2")}
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

    def lender_and_borrower(self):
        """Returns the node that lends account `a`, and the other one."""
        lender_map = self.nodes["n1"].sharing._lender_map
        name = lender_map.lender_of("a")
        (other,) = set(self.nodes) - {name}
        return self.nodes[name], self.nodes[other]


@pytest.mark.anyio
async def test_node_lends_to_another_node():
    async with Pair([Account("a", (), None, 50.0, 50.0)]) as pair:
        await wait_until(
            lambda: all(
                n.sharing._lender_map.known_count == 2
                for n in pair.nodes.values()
            )
        )
        lender, borrower = pair.lender_and_borrower()
        assert borrower.admit() is None
        await wait_until(lambda: lender.sharing.lender.account_count)
        await wait_until(lambda: borrower.admit() is None)
        assert borrower.sharing.channel.datagrams_sent


@pytest.mark.anyio
async def test_node_without_peers_admits_once_the_store_names_none():
    account = Account("a", (), None, 50.0, 50.0)
    node = Node("n1", {"n1": find_free_address()}, [account])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.sharing.run)
        await wait_until(lambda: not node.sharing._is_stale)
        assert node.admit() is not None
        node.has_no_peers = True
        assert node.admit() is None
        await wait_until(lambda: node.admit() is None)
        assert node.sharing.lender.account_count == 1
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_unresponsive_lender_is_reported_to_membership():
    async with Pair([Account("a", (), None, 50.0, 50.0)]) as pair:
        await wait_until(
            lambda: all(
                n.sharing._lender_map.known_count == 2
                for n in pair.nodes.values()
            )
        )
        lender, borrower = pair.lender_and_borrower()
        lender.socket.close()
        borrower.admit()
        await wait_until(lambda: borrower.unreachable)
        assert set(borrower.unreachable) == {
            lender.sharing._lender_map.own_name
        }


@pytest.mark.anyio
async def test_dead_and_left_members_do_not_lend():
    async with Pair([Account("a", (), None, 50.0, 50.0)]) as pair:
        node = pair.nodes["n1"]
        lender_map = node.sharing._lender_map
        await wait_until(lambda: lender_map.known_count == 2)
        record = node.gossip.table.members["n2"]
        dead = MemberRecord(
            *_identity(record), 2, AdvertisedState.SERVING, Liveness.DEAD
        )
        node.gossip.table.merge_member(dead)
        await wait_until(lambda: lender_map.live == {"n1"})
        assert lender_map.known_count == 2
        left = MemberRecord(*_identity(record), 3, AdvertisedState.LEFT)
        node.gossip.table.merge_member(left)
        await wait_until(lambda: lender_map.known_count == 1)


def _identity(record):
    return (
        record.name,
        record.service,
        record.failure_domain,
        record.address,
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    "data", [REQUEST, b"\x93\x01", b""], ids=["request", "truncated", "empty"]
)
async def test_without_quotas_datagrams_have_no_effect(data):
    async with Pair([Account("a", ())]) as pair:
        node, other = pair.nodes.values()
        lender = node.sharing.lender
        paused = []
        lender._notice_pause = paused.append

        assert node.sharing.channel._on_datagram(data, other.address)

        assert not node.sharing.channel.datagrams_sent
        assert not paused
        node.adopt(2, [Account("a", (), None, 50.0, 50.0)])
        node.sharing.channel._on_datagram(REQUEST, other.address)
        assert node.sharing.channel.datagrams_sent == 1


@pytest.mark.anyio
async def test_without_quotas_nothing_is_sent_until_one_is_configured():
    async with Pair([Account("a", ())]) as pair:
        node = pair.nodes["n1"]
        for _ in range(1000):
            assert node.admit() is None
        await anyio.lowlevel.checkpoint()
        assert not any(
            n.sharing.channel.datagrams_sent for n in pair.nodes.values()
        )
        assert node.sharing._lender_map.known_count == 1
        for each in pair.nodes.values():
            each.adopt(2, [Account("a", (), None, 50.0, 50.0)])
        await wait_until(lambda: node.sharing._lender_map.known_count == 2)
