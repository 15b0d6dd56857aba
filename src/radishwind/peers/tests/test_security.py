"""What is not authentic, in time and new is refused, and answered truly."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from tests.support.direct import DirectSender
from tests.support.targets import make_target

from radishwind.config import ServiceRules
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.entry.call import Call
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import header
from radishwind.membership import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.peers import ForwardRunner
from radishwind.peers import HttpPeerClient
from radishwind.peers import PeerError
from radishwind.peers import PeerListener
from radishwind.peers import PeerSigner
from radishwind.peers import PeerVerifier
from radishwind.peers.attempts import build_attempt_response
from radishwind.peers.security import AUTH_FIELD
from radishwind.peers.security import NonceCache
from radishwind.peers.security import PeerRefusedError
from radishwind.peers.security import PeerReplayedError
from radishwind.peers.security import PeerStaleError
from radishwind.peers.security import WINDOW_FUTURE_S
from radishwind.peers.security import WINDOW_PAST_S
from radishwind.peers.signing import RequestSigner

OLD = b"0123456789abcdef"
NEW = b"fedcba9876543210"
HERE = Address("10.0.0.1", 8081)
ELSEWHERE = Address("10.0.0.2", 8081)
SERVER = Address("10.0.0.1", 80)
PATH = "/radishwind/v1/echo"
LOAD_FIELD = "radishwind-node-answer"

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Peers:
    """One node that listens, with the server beside it."""

    def __init__(self, keys=(OLD,)):
        self.clock = ManualClock()
        self.clock.advance(1.0)
        self.sender = DirectSender()
        self.ran = []
        self.sender.handlers[SERVER] = self._serve
        self.target = make_target(
            "prenota-1", "prenota", self.clock, self.sender, SERVER, 9
        )
        self.listener = PeerListener(
            node_name="prenota-1",
            clock=self.clock,
            rules_for=lambda service: ServiceRules(),
            target=self.target,
            verifier=PeerVerifier(keys, self.clock, HERE),
        )
        self.listener.add_control_handler("echo", self._echo, max_bytes=100)
        self.sender.handlers[HERE] = self.listener.handle

    def signer(self, key=OLD):
        return PeerSigner(key, self.clock, "p")

    def client(self, key=OLD):
        return HttpPeerClient(self.sender, self.signer(key))

    def runner(self, signer):
        return ForwardRunner(
            node_name="entry",
            clock=self.clock,
            target=self.target,
            sender=self.sender,
            signer=signer,
        )

    async def _serve(self, request):
        self.ran.append(request)
        return Response(200, (), b"booked")

    async def _echo(self, request):
        return Response(200, (), request.body)


def booking():
    return Call(
        "c-1",
        "prenota",
        Request("POST", "/prenota/1", (), b"x", 1),
        ServiceRules(),
        False,
        100.0,
        2**52,
        "rider",
    )


MEMBER = Member("prenota-1", "prenota", "savona", HERE)


async def test_signed_message_is_handled():
    assert await Peers().client().call(HERE, "echo", b"hi", 1.0) == b"hi"


@pytest.mark.parametrize(("signed_by", "good"), [(OLD, True), (NEW, True)])
async def test_during_a_rotation_both_keys_are_accepted(signed_by, good):
    peers = Peers(keys=(NEW, OLD))

    assert await peers.client(signed_by).call(HERE, "echo", b"", 1.0) == b""


@pytest.mark.parametrize("client", ["wrong key", "no key"])
async def test_message_that_is_not_authentic_is_refused(client):
    peers = Peers()
    sender = peers.client(NEW)
    if client == "no key":
        sender = HttpPeerClient(peers.sender)

    with pytest.raises(PeerError, match="401"):
        await sender.call(HERE, "echo", b"hi", 1.0)

    assert peers.listener.refused_by_code == {
        ResultCode.PEER_UNAUTHENTICATED: 1
    }


@pytest.mark.parametrize(
    "change", [{"method": "PUT"}, {"path": PATH + "?a"}, {"body": b"ho"}]
)
async def test_changed_message_is_refused(change):
    peers = Peers()
    auth = peers.signer().sign(HERE, "POST", PATH, b"hi")
    fields = {"method": "POST", "path": PATH, "body": b"hi", **change}

    answer = await peers.listener.handle(
        Request(headers=((AUTH_FIELD, auth),), body_bytes=2, **fields)
    )

    assert answer.status == 401


async def test_message_to_another_node_is_refused_here():
    peers = Peers()
    auth = peers.signer().sign(ELSEWHERE, "POST", PATH, b"")

    answer = await peers.listener.handle(
        Request("POST", PATH, ((AUTH_FIELD, auth),))
    )

    assert header(answer.headers, "radishwind-code") == "6001"


async def test_replayed_message_is_refused():
    peers = Peers()
    await peers.client().call(HERE, "echo", b"hi", 1.0)
    first = peers.sender.sent[-1][1]

    answer = await peers.listener.handle(first)

    assert header(answer.headers, "radishwind-code") == "6003"


@pytest.mark.parametrize("size", [101, None])
async def test_oversize_message_is_refused_unread(size):
    peers = Peers()

    answer = await peers.listener.handle(
        Request("POST", PATH, body=b"x" * 101, body_bytes=size)
    )

    assert answer.status == 413
    assert header(answer.headers, "radishwind-code") == "6005"


@pytest.mark.parametrize(
    "request_",
    [
        Request("POST", "/radishwind/v1/none"),
        Request("GET", "/x", (("Radishwind-Node-Attempt", "[1,"),)),
        Request("GET", "/x", (("Radishwind-Node-Attempt", "\udcff"),)),
    ],
)
async def test_malformed_request_is_refused(request_):
    answer = await Peers().listener.handle(request_)

    assert header(answer.headers, "radishwind-code") == "6002"


async def test_signed_attempt_runs():
    peers = Peers()

    result = await peers.runner(peers.signer()).run(booking(), MEMBER, "a")

    assert isinstance(result.outcome, Done)
    assert result.load is not None


@pytest.mark.parametrize("key", [NEW, None])
async def test_attempt_that_is_not_authentic_is_not_run(key):
    peers = Peers()
    signer = peers.signer(key) if key else None

    result = await peers.runner(signer).run(booking(), MEMBER, "a")

    assert isinstance(result.outcome, NotRun)
    assert result.outcome.code is ResultCode.PEER_UNAUTHENTICATED
    assert result.load is None
    assert peers.ran == []


async def test_replayed_attempt_is_not_run_again_nor_told_not_run():
    peers = Peers()
    await peers.runner(peers.signer()).run(booking(), MEMBER, "a")
    first = next(r for to, r in peers.sender.sent if to == HERE)

    answer = await peers.listener.handle(first)

    told = msgspec.json.decode(header(answer.headers, LOAD_FIELD))
    assert told[1:3] == ["unknown", 6003]
    assert len(peers.ran) == 1


async def test_attempt_sent_before_a_restart_is_refused_after_it():
    peers = Peers()
    await peers.runner(peers.signer()).run(booking(), MEMBER, "a")
    first = next(r for to, r in peers.sender.sent if to == HERE)
    peers.clock.advance(0.5)
    restarted = PeerListener(
        node_name="prenota-1",
        clock=peers.clock,
        rules_for=lambda service: ServiceRules(),
        target=peers.target,
        verifier=PeerVerifier((OLD,), peers.clock, HERE),
    )

    answer = await restarted.handle(first)

    assert header(answer.headers, "radishwind-code") == "6004"
    assert len(peers.ran) == 1


async def test_refused_connection_is_reported_as_a_hint():
    peers = Peers()
    hints = []
    runner = ForwardRunner(
        node_name="entry",
        clock=peers.clock,
        target=peers.target,
        sender=peers.sender,
        on_unreachable=hints.append,
    )
    gone = Member("prenota-2", "prenota", "savona", ELSEWHERE)

    await runner.run(booking(), gone, "a")

    assert hints == ["prenota-2"]


class EagerSigner(RequestSigner):
    """Would send whatever is answered once more."""

    def sign(self, to, method, path, covered):
        return None

    def should_sign_again(self, to, answer):
        return True


@pytest.mark.parametrize(
    ("answered", "sent"),
    [
        (
            build_attempt_response(
                "a", NotRun(ResultCode.PEER_STALE, ""), None
            ),
            2,
        ),
        (
            build_attempt_response(
                "a", Unknown(ResultCode.PEER_REPLAYED, ""), None
            ),
            1,
        ),
        (build_attempt_response("a", Done(Response(401)), None), 1),
        (
            build_attempt_response(
                "b", NotRun(ResultCode.PEER_STALE, ""), None
            ),
            1,
        ),
        (Response(401), 1),
    ],
)
async def test_only_what_did_not_run_is_signed_and_sent_anew(answered, sent):
    peers = Peers()

    async def answer(request):
        return answered

    peers.sender.handlers[HERE] = answer

    await peers.runner(EagerSigner()).run(booking(), MEMBER, "a")

    assert len(peers.sender.sent) == sent


@pytest.mark.parametrize(
    ("later_s", "error"),
    [
        (0.0, None),
        (WINDOW_PAST_S, None),
        (WINDOW_PAST_S + 0.01, PeerStaleError),
    ],
)
def test_window_of_time(later_s, error):
    peers = Peers()
    verifier = PeerVerifier((OLD,), peers.clock, HERE)
    field = peers.signer().sign(HERE, "GET", "/", b"")
    peers.clock.advance(later_s)

    if error is None:
        verifier.verify(field, "GET", "/", b"")
    else:
        with pytest.raises(error):
            verifier.verify(field, "GET", "/", b"")


@pytest.mark.parametrize(
    ("ahead_s", "refused"),
    [(WINDOW_FUTURE_S, False), (WINDOW_FUTURE_S + 0.01, True)],
)
def test_clock_of_a_peer_may_be_a_little_ahead(ahead_s, refused):
    here, there = ManualClock(), ManualClock()
    there.advance(ahead_s)
    verifier = PeerVerifier((OLD,), here, HERE)
    field = PeerSigner(OLD, there, "p").sign(HERE, "GET", "/", b"")

    if refused:
        with pytest.raises(PeerStaleError):
            verifier.verify(field, "GET", "/", b"")
    else:
        verifier.verify(field, "GET", "/", b"")


@given(st.none() | st.text(max_size=170))
def test_any_other_field_is_refused(field):
    verifier = PeerVerifier((OLD,), ManualClock(), HERE)

    with pytest.raises(PeerRefusedError):
        verifier.verify(field, "GET", "/", b"")


def test_nonces_are_bounded_and_what_is_forgotten_counts_as_old():
    memory = NonceCache(limit=10)

    for number in range(35):
        assert memory.add(str(number), 1_000 + number)

    assert memory.dropped_until_ms == 1_019
    assert not memory.add("34", 1_034)


def test_nonce_is_remembered_for_longer_than_the_window():
    clock = ManualClock()
    verifier = PeerVerifier((OLD,), clock, HERE)
    signer = PeerSigner(OLD, clock, "p")
    clock.advance(WINDOW_PAST_S + WINDOW_FUTURE_S + 1)
    first = signer.sign(HERE, "GET", "/", b"")
    verifier.verify(first, "GET", "/", b"")
    clock.advance(WINDOW_PAST_S)
    verifier.verify(signer.sign(HERE, "GET", "/", b""), "GET", "/", b"")

    with pytest.raises(PeerReplayedError):
        verifier.verify(first, "GET", "/", b"")
