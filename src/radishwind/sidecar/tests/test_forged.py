"""What no node of the fleet sent changes nothing that a node believes.

Each message is sent to a whole node, wired as it runs: by a node of the fleet
it has its effect, forged it has none, and is counted.
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
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.app import SidecarNode
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


class Here:
    """A node that requires signatures, and knows one other."""

    def __init__(self, *, accounts=True, secret=SECRET):
        self.clock = ManualClock()
        with open(os.devnull, "wb") as null:
            output = BoundedOutput(null.fileno())
        self.node = SidecarNode(settings(), self.clock, None, output)
        self.node._build()
        self.peers = self.node._peers
        if secret is not None:
            self.peers.keyring.update_secret(secret, 1)
        self.adopt(accounts=accounts)
        fact = MemberRecord("b-1", "s", "b", str(PEER), 5)
        self.node._membership._receive(Push("b-1", 0, (fact,)))
        self.heard = []
        for channel in (Channel.RECENCY, Channel.QUOTAS):
            self.peers.socket.add_handler(channel, self._hear)

    def adopt(self, *, accounts, version=3):
        held = (Account(ACCOUNT, (b"d",)),) if accounts else ()
        cfg = RouteConfig(version, (KEYED, PUBLIC), {}, accounts=held)
        self.node._routes.adopt(cfg, b"raw", "test")

    def _hear(self, data, sender):
        self.heard.append(data)
        return True

    def datagram(self, data):
        self.peers.socket.datagram_received(data, tuple(PEER))

    async def request(self, path, body, fields):
        return await self.peers.listener.handle(
            Request("POST", path, fields, body, len(body), PEER.host)
        )

    @property
    def refused(self):
        return sum(self.peers.refused_by_label().values())


class Sender:
    """What a sender makes of a message, by the secret that it holds."""

    def __init__(self, here, secret):
        self.keyring = Keyring(here.clock)
        if secret is not None:
            self.keyring.update_secret(secret, 1)
        self.keyring.set_has_accounts(True, with_grace=False)
        start_ids = StartIds(b"peer")
        start_ids.update(HERE, here.peers._start_ids.own)
        self.signer = FleetSigner(self.keyring, start_ids)
        self.authenticator = FleetDatagramAuthenticator(
            self.keyring, start_ids, PEER, here.clock
        )
        self.here = here

    def datagram(self, channel, data):
        plain = bytes((channel,)) + data
        ((sent, _),) = self.authenticator.sign(plain, [HERE])
        return sent

    def signed(self, path, covered):
        auth = self.signer.sign(HERE, "POST", path, covered)
        return ((AUTH_FIELD, auth),) if auth else ()

    async def control(self, name, body):
        path = CONTROL_PREFIX + name
        await self.here.request(path, body, self.signed(path, body))

    async def forward(
        self,
        route=KEYED,
        *,
        account=ACCOUNT,
        claimed=None,
        told=None,
        service="s",
    ):
        """Forwards an attempt; returns the result code it is answered with.

        Args:
          route: whose path is asked for.
          account: that is signed.
          claimed: that stands in the attempt; by default the same.
          told: that the server would be told; by default the same.
          service: of the attempt.
        """
        info = AttemptInfo("x-1", "a-1", service, True, 900, 2**52, "c", 0)
        signed = msgspec.structs.replace(info, account=account)
        sent = msgspec.structs.replace(
            info, account=account if claimed is None else claimed
        )
        told = account if told is None else told
        path = route.prefix + "x"
        fields = (
            ("Host", "h"),
            *((("Tenant", told),) if told else ()),
            (ATTEMPT_FIELD, msgspec.json.encode(sent).decode()),
            *self.signed(path, msgspec.json.encode(signed)),
        )
        self.answer = answer = await self.here.request(path, b"", fields)
        field = get_header(answer.headers, ANSWER_FIELD.lower())
        return msgspec.json.decode(field)[2]


class Load:
    """The load of another target."""

    async def send(self, sender):
        report = LoadReport(5, 77, 0, 100.0)
        data = encode_load(LoadMessage("b-1", 9, 4, report))
        sender.here.datagram(sender.datagram(Channel.LOADS, data))

    def has_effect(self, here):
        seen = here.node._entry.chooser.statistics.record("b-1")
        report = seen.report if seen is not None else None
        return report is not None and report.in_flight == 77


class Fact:
    """A fact on a member: it is at another address."""

    push = Push("b-1", 0, (MemberRecord("b-1", "s", "b", "10.6.6.6:1", 99),))

    async def send(self, sender):
        data = encode_envelope(Envelope(0, False, self.push))
        sender.here.datagram(sender.datagram(Channel.GOSSIP, data))

    def has_effect(self, here):
        members = here.node._membership.directory.members()
        return any(m.address.host == "10.6.6.6" for m in members)


class FactByHttp(Fact):
    async def send(self, sender):
        await sender.control(GOSSIP, encode_message(self.push))


class Joined(Fact):
    """A fact on a member that nobody knows."""

    push = Push("z-9", 0, (MemberRecord("z-9", "s", "b", "10.6.6.6:1", 99),))


class ForgedRoutes:
    """A version that no operator made."""

    async def send(self, sender):
        offer = routes.RouteUpdate(routes.compress(RAW))
        await sender.control(ROUTES, routes.encode(offer))

    def has_effect(self, here):
        return here.node._routes.version == 9


class ForgedEvacuation:
    async def send(self, sender):
        told = EvacuatedDomains(9, frozenset({"a"}))
        await sender.control(
            ROUTES, routes.encode(routes.RouteUpdate(b"", told))
        )

    def has_effect(self, here):
        return here.node._evacuation.names == {"a"}


class ForgedEvacuationRumor:
    async def send(self, sender):
        value = routes.encode_rumor(EvacuatedDomains(9, frozenset({"a"})), 400)
        rumor = Rumor("emptied", "domains", 9, value.decode(), 60_000)
        push = Push("b-1", 0, (), (rumor,))
        data = encode_envelope(Envelope(0, False, push))
        sender.here.datagram(sender.datagram(Channel.GOSSIP, data))

    def has_effect(self, here):
        return here.node._evacuation.names == {"a"}


class Leaving:
    """The word that the server beside leaves."""

    async def send(self, sender):
        await sender.control(LEAVING, b"i-1")

    def has_effect(self, here):
        return here.node._target.server.has_ended("i-1")


class LeavingRumor(Leaving):
    async def send(self, sender):
        rumor = Rumor("leaving", "i-1", 1, "1", 60_000)
        push = Push("b-1", 0, (), (rumor,))
        data = encode_envelope(Envelope(0, False, push))
        sender.here.datagram(sender.datagram(Channel.GOSSIP, data))


class Recency:
    channel = Channel.RECENCY

    async def send(self, sender):
        sender.here.datagram(sender.datagram(self.channel, b"recent"))

    def has_effect(self, here):
        return here.heard == [b"recent"]


class Quota(Recency):
    channel = Channel.QUOTAS


MESSAGES = [
    Load(),
    Fact(),
    FactByHttp(),
    Joined(),
    ForgedRoutes(),
    ForgedEvacuation(),
    ForgedEvacuationRumor(),
    Leaving(),
    LeavingRumor(),
    Recency(),
    Quota(),
]


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def here():
    return Here()


def named(message):
    return type(message).__name__


@pytest.mark.parametrize("message", MESSAGES, ids=named)
async def test_message_of_a_node_has_its_effect(here, message):
    await message.send(Sender(here, SECRET))

    assert message.has_effect(here)
    assert here.refused == 0


@pytest.mark.parametrize("secret", [None, FOREIGN], ids=["unsigned", "foreign"])
@pytest.mark.parametrize("message", MESSAGES, ids=named)
async def test_forged_message_has_none_and_is_counted(here, message, secret):
    await message.send(Sender(here, secret))

    assert not message.has_effect(here)
    if (
        not isinstance(message, ForgedRoutes | ForgedEvacuation)
        or secret is not None
    ):
        assert here.refused == 1


@pytest.mark.parametrize("message", MESSAGES, ids=named)
async def test_replayed_message_is_refused(here, message):
    sender = Sender(here, SECRET)
    await message.send(sender)
    sender.signer._sequence = 0
    sender.authenticator._sequence = 0

    await message.send(sender)

    assert here.refused == 1


@pytest.mark.parametrize("message", MESSAGES, ids=named)
async def test_without_accounts_all_is_taken_as_before(message):
    here = Here(accounts=False)

    await message.send(Sender(here, None))

    assert message.has_effect(here)
    assert here.refused == 0


@pytest.mark.parametrize("message", MESSAGES, ids=named)
async def test_node_that_lacks_the_secret_takes_what_nodes_sign(message):
    here = Here(secret=None)

    await message.send(Sender(here, SECRET))

    assert message.has_effect(here)


async def test_forward_of_a_node_is_tried(here):
    code = await Sender(here, SECRET).forward()

    assert code != ResultCode.PEER_UNAUTHENTICATED
    assert here.refused == 0


async def test_forward_with_an_account_needs_a_signature(here):
    assert await Sender(here, None).forward() == 6001
    assert await Sender(here, FOREIGN).forward() == 6001
    assert here.refused == 2


async def test_forward_with_another_account_than_signed_is_refused(here):
    sender = Sender(here, SECRET)

    assert await sender.forward(claimed="other") == 6001
    assert await sender.forward(claimed="") == 6001
    assert await sender.forward(told="other") == 6001
    assert await sender.forward(account="", told="other") == 6001
    assert here.refused == 4


async def test_replayed_forward_is_not_run_and_not_said_to_be_so(here):
    sender = Sender(here, SECRET)
    await sender.forward()
    sender.signer._sequence = 0

    assert await sender.forward() == ResultCode.PEER_REPLAYED
    assert get_header(sender.answer.headers, START_FIELD.lower()) is None


async def test_forward_that_did_not_run_is_told_how_to_sign(here):
    sender = Sender(here, FOREIGN)

    assert await sender.forward() == ResultCode.PEER_UNAUTHENTICATED
    assert get_header(sender.answer.headers, START_FIELD.lower()) is not None


async def test_unsigned_forward_without_account_needs_a_public_route(here):
    sender = Sender(here, None)

    assert await sender.forward(PUBLIC, account="") != 6001
    assert here.refused == 0
    assert await sender.forward(PUBLIC) == 6001
    assert await sender.forward(KEYED, account="") == 6001
    assert await sender.forward(PUBLIC, account="", told="other") == 6001
    assert await sender.forward(PUBLIC, account="", service="t") == 6001


async def test_unsigned_forward_of_a_stranger_is_refused(here):
    here.node._membership.gossip.table.members.pop("b-1")
    here.node._membership._receive(
        Push("b-2", 0, (MemberRecord("b-2", "s", "b", "10.0.0.3:7600", 5),))
    )

    assert await Sender(here, None).forward(PUBLIC, account="") == 6001


async def test_refusal_tells_who_refused(here):
    answer = await here.request(CONTROL_PREFIX + GOSSIP, b"", ())

    assert answer.status == 401
    told = get_header(answer.headers, "radishwind-node-start")
    assert told == here.peers._start_ids.own.hex()


async def test_configuration_is_given_to_nobody_who_does_not_sign(here):
    ask = routes.encode(routes.UpdateRequest(0))

    answer = await here.request(CONTROL_PREFIX + ROUTES, ask, ())

    assert routes.decode(answer.body) == routes.NoUpdate()
