"""Forged messages between nodes have no effect.

Each kind of message is sent to a completely wired node. Sent by a node of the
fleet it takes effect; forged it has no effect and is counted.
"""

import os

import msgspec
import pytest

from radishwind.accounts import Account
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http.types import get_header
from radishwind.loads.load_message import encode as encode_load
from radishwind.loads.load_message import LoadMessage
from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import encode_message as encode_message
from radishwind.membership.messages import GOSSIP_CONTROL_NAME as GOSSIP
from radishwind.membership.messages import Push
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor
from radishwind.peers.attempts import ANSWER_FIELD
from radishwind.peers.attempts import ATTEMPT_FIELD
from radishwind.peers.attempts import AttemptInfo
from radishwind.peers.fleet_security import FleetDatagramAuthenticator
from radishwind.peers.fleet_security import FleetSigner
from radishwind.peers.fleet_security import START_FIELD
from radishwind.peers.fleet_security import StartIds
from radishwind.peers.keyring import Keyring
from radishwind.peers.peer_client import CONTROL_PREFIX
from radishwind.peers.peer_socket import Channel
from radishwind.peers.signing import AUTH_FIELD
from radishwind.routes import messages as routes
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import WeightedService
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.route_feed import CONTROL_NAME as ROUTES
from radishwind.routing.chooser import LoadReport
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.app import SidecarNode
from radishwind.store.position import StorePosition
from radishwind.target.leaving_records import CONTROL_NAME as LEAVING
from radishwind.telemetry.bounded_output import BoundedOutput

pytestmark = pytest.mark.anyio

SECRET, FOREIGN = b"s" * 32, b"f" * 32
HERE = Address("10.0.0.1", 7600)
PEER = Address("10.0.0.2", 7600)
ACCOUNT = "ward-7"
KEYED = Route(
    "keyed", "h", "/keyed/", True, (WeightedService("s"),), 1.0, 0.5, 1, 2
)
PUBLIC = Route(
    "public",
    "h",
    "/public/",
    True,
    (WeightedService("s"),),
    1.0,
    0.5,
    1,
    2,
    public=True,
)
RAW = b'{"version":9,"routes":[],"tenants":[{"name":"x"}]}'


def settings():
    at = {
        name: Address("10.0.0.1", 7700 + i)
        for i, name in enumerate(("callers", "ready", "control", "server"))
    }
    return PlacedSettings(
        node="a-1",
        service="s",
        failure_domain="a",
        failure_domains=("a", "b"),
        host=HERE.host,
        peer_port=HERE.port,
        store=Address("10.0.0.9", 7627),
        metrics_port=0,
        heartbeat_s=1.0,
        drain_s=2.0,
        stop_grace_s=6.0,
        ack_s=4.0,
        retry_share=0.2,
        retry_slack=20.0,
        retry_window_s=10.0,
        **at,
    )


class Receiver:
    """A node that requires signatures and knows one other node."""

    def __init__(self, *, accounts=True, secret=SECRET):
        self.clock = ManualClock()
        with open(os.devnull, "wb") as null:
            output = BoundedOutput(null.fileno())
        self.node = SidecarNode(settings(), self.clock, None, output)
        self.node._build()
        self.peers = self.node._peers
        if secret is not None:
            self.peers.keyring.update_secret(secret, StorePosition(0, 1))
        self.adopt(accounts=accounts)
        record = MemberRecord("b-1", "s", "b", str(PEER), 5)
        self.node._membership._receive(Push("b-1", 0, (record,)))
        self.received = []
        for channel in (Channel.RECENCY, Channel.QUOTAS):
            self.peers.socket.add_handler(channel, self._on_datagram)

    def adopt(self, *, accounts, version=3):
        in_force = (Account(ACCOUNT, (b"d",)),) if accounts else ()
        cfg = RouteConfig(version, (KEYED, PUBLIC), {}, accounts=in_force)
        self.node._routes.adopt(cfg, b"raw", "test")

    def _on_datagram(self, data, sender):
        self.received.append(data)
        return True

    def receive_datagram(self, data):
        self.peers.socket.datagram_received(data, tuple(PEER))

    async def receive_request(self, path, body, fields):
        return await self.peers.listener.handle(
            Request("POST", path, fields, body, len(body), PEER.host)
        )

    @property
    def refused_count(self):
        return sum(self.peers.refused_by_label().values())


class Sender:
    """Sends messages signed by the secret that it holds, if any."""

    def __init__(self, receiver, secret):
        self.keyring = Keyring(receiver.clock)
        if secret is not None:
            self.keyring.update_secret(secret, StorePosition(0, 1))
        self.keyring.set_has_accounts(True, with_grace=False)
        start_ids = StartIds(b"peer")
        start_ids.update(HERE, receiver.peers._start_ids.own)
        self.signer = FleetSigner(self.keyring, start_ids)
        self.authenticator = FleetDatagramAuthenticator(
            self.keyring, start_ids, PEER, receiver.clock
        )
        self.receiver = receiver

    def sign_datagram(self, channel, data):
        plain = bytes((channel,)) + data
        ((sent, _),) = self.authenticator.sign(plain, [HERE])
        return sent

    def auth_fields(self, path, covered):
        auth = self.signer.sign(HERE, "POST", path, covered)
        return ((AUTH_FIELD, auth),) if auth else ()

    async def control(self, name, body):
        path = CONTROL_PREFIX + name
        await self.receiver.receive_request(
            path, body, self.auth_fields(path, body)
        )

    async def forward(
        self,
        route=KEYED,
        *,
        account=ACCOUNT,
        claimed=None,
        tenant=None,
        service="s",
    ):
        """Forwards an attempt; returns the result code of the response.

        Args:
          route: the route whose path is requested.
          account: the account that is signed.
          claimed: the account in the attempt field; by default the same.
          tenant: the account in the request to the server; by default the
            same.
          service: the service of the attempt.
        """
        info = AttemptInfo("x-1", "a-1", service, True, 900, 2**52, "c", 0)
        signed = msgspec.structs.replace(info, account=account)
        sent = msgspec.structs.replace(
            info, account=account if claimed is None else claimed
        )
        tenant = account if tenant is None else tenant
        path = route.prefix + "x"
        fields = (
            ("Host", "h"),
            *((("Tenant", tenant),) if tenant else ()),
            (ATTEMPT_FIELD, msgspec.json.encode(sent).decode()),
            *self.auth_fields(path, msgspec.json.encode(signed)),
        )
        self.response = response = await self.receiver.receive_request(
            path, b"", fields
        )
        field = get_header(response.headers, ANSWER_FIELD.lower())
        return msgspec.json.decode(field)[2]


class Load:
    """A load report of another target."""

    async def send(self, sender):
        report = LoadReport(5, 77, 0, 100.0)
        data = encode_load(LoadMessage("b-1", 9, 4, report))
        sender.receiver.receive_datagram(
            sender.sign_datagram(Channel.LOADS, data)
        )

    def has_effect(self, receiver):
        record = receiver.node._entry.chooser.statistics.record("b-1")
        report = record.report if record is not None else None
        return report is not None and report.in_flight == 77


class MemberUpdate:
    """A record of a known member with another address."""

    push = Push("b-1", 0, (MemberRecord("b-1", "s", "b", "10.6.6.6:1", 99),))

    async def send(self, sender):
        data = encode_envelope(Envelope(0, False, self.push))
        sender.receiver.receive_datagram(
            sender.sign_datagram(Channel.GOSSIP, data)
        )

    def has_effect(self, receiver):
        members = receiver.node._membership.directory.members()
        return any(m.address.host == "10.6.6.6" for m in members)


class MemberUpdateByHttp(MemberUpdate):
    async def send(self, sender):
        await sender.control(GOSSIP, encode_message(self.push))


class MemberJoin(MemberUpdate):
    """A record of an unknown member."""

    push = Push("z-9", 0, (MemberRecord("z-9", "s", "b", "10.6.6.6:1", 99),))


class ForgedRoutes:
    """A routes version that is not the operator's."""

    async def send(self, sender):
        update = routes.RouteUpdate(routes.compress(RAW))
        await sender.control(ROUTES, routes.encode(update))

    def has_effect(self, receiver):
        return receiver.node._routes.version == 9


class ForgedEvacuation:
    async def send(self, sender):
        domains = EvacuatedDomains(9, frozenset({"a"}))
        await sender.control(
            ROUTES, routes.encode(routes.RouteUpdate(b"", domains))
        )

    def has_effect(self, receiver):
        return receiver.node._evacuation.names == {"a"}


class ForgedEvacuationRumor:
    async def send(self, sender):
        value = routes.encode_rumor(EvacuatedDomains(9, frozenset({"a"})), 400)
        rumor = Rumor("emptied", "domains", 9, value.decode(), 60_000)
        push = Push("b-1", 0, (), (rumor,))
        data = encode_envelope(Envelope(0, False, push))
        sender.receiver.receive_datagram(
            sender.sign_datagram(Channel.GOSSIP, data)
        )

    def has_effect(self, receiver):
        return receiver.node._evacuation.names == {"a"}


class Leaving:
    """A notice that the local backend server is leaving."""

    async def send(self, sender):
        await sender.control(LEAVING, b"i-1")

    def has_effect(self, receiver):
        return receiver.node._target.server.has_ended("i-1")


class LeavingRumor(Leaving):
    async def send(self, sender):
        rumor = Rumor("leaving", "i-1", 1, "1", 60_000)
        push = Push("b-1", 0, (), (rumor,))
        data = encode_envelope(Envelope(0, False, push))
        sender.receiver.receive_datagram(
            sender.sign_datagram(Channel.GOSSIP, data)
        )


class RecencyDatagram:
    channel = Channel.RECENCY

    async def send(self, sender):
        sender.receiver.receive_datagram(
            sender.sign_datagram(self.channel, b"recent")
        )

    def has_effect(self, receiver):
        return receiver.received == [b"recent"]


class QuotaDatagram(RecencyDatagram):
    channel = Channel.QUOTAS


MESSAGES = [
    Load(),
    MemberUpdate(),
    MemberUpdateByHttp(),
    MemberJoin(),
    ForgedRoutes(),
    ForgedEvacuation(),
    ForgedEvacuationRumor(),
    Leaving(),
    LeavingRumor(),
    RecencyDatagram(),
    QuotaDatagram(),
]


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def receiver():
    return Receiver()


def class_name(message):
    return type(message).__name__


@pytest.mark.parametrize("message", MESSAGES, ids=class_name)
async def test_message_of_fleet_node_takes_effect(receiver, message):
    await message.send(Sender(receiver, SECRET))

    assert message.has_effect(receiver)
    assert receiver.refused_count == 0


@pytest.mark.parametrize("secret", [None, FOREIGN], ids=["unsigned", "foreign"])
@pytest.mark.parametrize("message", MESSAGES, ids=class_name)
async def test_forged_message_has_no_effect_and_is_counted(
    receiver, message, secret
):
    await message.send(Sender(receiver, secret))

    assert not message.has_effect(receiver)
    if (
        not isinstance(message, ForgedRoutes | ForgedEvacuation)
        or secret is not None
    ):
        assert receiver.refused_count == 1


@pytest.mark.parametrize("message", MESSAGES, ids=class_name)
async def test_replayed_message_is_refused(receiver, message):
    sender = Sender(receiver, SECRET)
    await message.send(sender)
    sender.signer._sequence = 0
    sender.authenticator._sequence = 0

    await message.send(sender)

    assert receiver.refused_count == 1


@pytest.mark.parametrize("message", MESSAGES, ids=class_name)
async def test_without_accounts_unsigned_messages_are_accepted(message):
    receiver = Receiver(accounts=False)

    await message.send(Sender(receiver, None))

    assert message.has_effect(receiver)
    assert receiver.refused_count == 0


@pytest.mark.parametrize("message", MESSAGES, ids=class_name)
async def test_node_without_secret_accepts_signed_messages(message):
    receiver = Receiver(secret=None)

    await message.send(Sender(receiver, SECRET))

    assert message.has_effect(receiver)


async def test_forward_of_fleet_node_is_attempted(receiver):
    code = await Sender(receiver, SECRET).forward()

    assert code != ResultCode.PEER_UNAUTHENTICATED
    assert receiver.refused_count == 0


async def test_forward_with_account_needs_signature(receiver):
    assert await Sender(receiver, None).forward() == 6001
    assert await Sender(receiver, FOREIGN).forward() == 6001
    assert receiver.refused_count == 2


async def test_forward_with_other_account_than_signed_is_refused(receiver):
    sender = Sender(receiver, SECRET)

    assert await sender.forward(claimed="other") == 6001
    assert await sender.forward(claimed="") == 6001
    assert await sender.forward(tenant="other") == 6001
    assert await sender.forward(account="", tenant="other") == 6001
    assert receiver.refused_count == 4


async def test_replayed_forward_is_refused_without_reporting_not_run(receiver):
    sender = Sender(receiver, SECRET)
    await sender.forward()
    sender.signer._sequence = 0

    assert await sender.forward() == ResultCode.PEER_REPLAYED
    assert get_header(sender.response.headers, START_FIELD.lower()) is None


async def test_refused_forward_gets_start_id_to_sign_again(receiver):
    sender = Sender(receiver, FOREIGN)

    assert await sender.forward() == ResultCode.PEER_UNAUTHENTICATED
    assert get_header(sender.response.headers, START_FIELD.lower()) is not None


async def test_unsigned_forward_without_account_needs_public_route(receiver):
    sender = Sender(receiver, None)

    assert await sender.forward(PUBLIC, account="") != 6001
    assert receiver.refused_count == 0
    assert await sender.forward(PUBLIC) == 6001
    assert await sender.forward(KEYED, account="") == 6001
    assert await sender.forward(PUBLIC, account="", tenant="other") == 6001
    assert await sender.forward(PUBLIC, account="", service="t") == 6001


async def test_unsigned_forward_of_unknown_node_is_refused(receiver):
    receiver.node._membership.gossip.table.members.pop("b-1")
    receiver.node._membership._receive(
        Push("b-2", 0, (MemberRecord("b-2", "s", "b", "10.0.0.3:7600", 5),))
    )

    assert await Sender(receiver, None).forward(PUBLIC, account="") == 6001


async def test_refusal_carries_start_id(receiver):
    response = await receiver.receive_request(CONTROL_PREFIX + GOSSIP, b"", ())

    assert response.status == 401
    start_id = get_header(response.headers, "radishwind-node-start")
    assert start_id == receiver.peers._start_ids.own.hex()


async def test_unsigned_request_gets_no_routes(receiver):
    request = routes.encode(routes.UpdateRequest(0))

    response = await receiver.receive_request(
        CONTROL_PREFIX + ROUTES, request, ()
    )

    assert routes.decode(response.body) == routes.NoUpdate()
