"""Requests are refused unless they are authentic, current and new.

The response to a refused attempt states whether the attempt may have run.
"""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from tests.support.in_process_sender import InProcessSender
from tests.support.targets import make_target_pipeline

from radishwind.config import ServiceRules
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.entry.call import Call
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import get_header
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
ANSWER_FIELD = "radishwind-node-answer"

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class ListeningNode:
    """A node with a peer listener and its backend server."""

    def __init__(self, keys=(OLD,)):
        self.clock = ManualClock()
        self.clock.advance(1.0)
        self.sender = InProcessSender()
        self.ran = []
        self.sender.handlers[SERVER] = self._serve
        self.target = make_target_pipeline(
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


def make_call():
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
    assert (
        await ListeningNode().client().call(HERE, "echo", b"hi", 1.0) == b"hi"
    )


@pytest.mark.parametrize(("signed_by", "good"), [(OLD, True), (NEW, True)])
async def test_both_keys_are_accepted_during_a_rotation(signed_by, good):
    node = ListeningNode(keys=(NEW, OLD))

    assert await node.client(signed_by).call(HERE, "echo", b"", 1.0) == b""


@pytest.mark.parametrize("client", ["wrong key", "no key"])
async def test_unauthenticated_message_is_refused(client):
    node = ListeningNode()
    sender = node.client(NEW)
    if client == "no key":
        sender = HttpPeerClient(node.sender)

    with pytest.raises(PeerError, match="401"):
        await sender.call(HERE, "echo", b"hi", 1.0)

    assert node.listener.refused_by_code == {ResultCode.PEER_UNAUTHENTICATED: 1}


@pytest.mark.parametrize(
    "change", [{"method": "PUT"}, {"path": PATH + "?a"}, {"body": b"ho"}]
)
async def test_altered_message_is_refused(change):
    node = ListeningNode()
    auth = node.signer().sign(HERE, "POST", PATH, b"hi")
    fields = {"method": "POST", "path": PATH, "body": b"hi", **change}

    response = await node.listener.handle(
        Request(headers=((AUTH_FIELD, auth),), body_bytes=2, **fields)
    )

    assert response.status == 401


async def test_message_to_another_node_is_refused():
    node = ListeningNode()
    auth = node.signer().sign(ELSEWHERE, "POST", PATH, b"")

    response = await node.listener.handle(
        Request("POST", PATH, ((AUTH_FIELD, auth),))
    )

    assert get_header(response.headers, "radishwind-code") == "6001"


async def test_replayed_message_is_refused():
    node = ListeningNode()
    await node.client().call(HERE, "echo", b"hi", 1.0)
    first = node.sender.sent[-1][1]

    response = await node.listener.handle(first)

    assert get_header(response.headers, "radishwind-code") == "6003"


@pytest.mark.parametrize("size", [101, None])
async def test_oversize_message_is_refused_unread(size):
    node = ListeningNode()

    response = await node.listener.handle(
        Request("POST", PATH, body=b"x" * 101, body_bytes=size)
    )

    assert response.status == 413
    assert get_header(response.headers, "radishwind-code") == "6005"


@pytest.mark.parametrize(
    "request_",
    [
        Request("POST", "/radishwind/v1/none"),
        Request("GET", "/x", (("Radishwind-Node-Attempt", "[1,"),)),
        Request("GET", "/x", (("Radishwind-Node-Attempt", "\udcff"),)),
    ],
)
async def test_malformed_request_is_refused(request_):
    response = await ListeningNode().listener.handle(request_)

    assert get_header(response.headers, "radishwind-code") == "6002"


async def test_signed_attempt_runs():
    node = ListeningNode()

    result = await node.runner(node.signer()).run(make_call(), MEMBER, "a")

    assert isinstance(result.outcome, Done)
    assert result.load is not None


@pytest.mark.parametrize("key", [NEW, None])
async def test_unauthenticated_attempt_is_not_run(key):
    node = ListeningNode()
    signer = node.signer(key) if key else None

    result = await node.runner(signer).run(make_call(), MEMBER, "a")

    assert isinstance(result.outcome, NotRun)
    assert result.outcome.code is ResultCode.PEER_UNAUTHENTICATED
    assert result.load is None
    assert node.ran == []


async def test_replayed_attempt_is_neither_run_nor_reported_as_not_run():
    node = ListeningNode()
    await node.runner(node.signer()).run(make_call(), MEMBER, "a")
    first = next(r for to, r in node.sender.sent if to == HERE)

    response = await node.listener.handle(first)

    info = msgspec.json.decode(get_header(response.headers, ANSWER_FIELD))
    assert info[1:3] == ["unknown", 6003]
    assert len(node.ran) == 1


async def test_attempt_sent_before_a_restart_is_refused_after_it():
    node = ListeningNode()
    await node.runner(node.signer()).run(make_call(), MEMBER, "a")
    first = next(r for to, r in node.sender.sent if to == HERE)
    node.clock.advance(0.5)
    restarted = PeerListener(
        node_name="prenota-1",
        clock=node.clock,
        rules_for=lambda service: ServiceRules(),
        target=node.target,
        verifier=PeerVerifier((OLD,), node.clock, HERE),
    )

    response = await restarted.handle(first)

    assert get_header(response.headers, "radishwind-code") == "6004"
    assert len(node.ran) == 1


async def test_failed_connection_is_reported_to_the_callback():
    node = ListeningNode()
    unreachable = []
    runner = ForwardRunner(
        node_name="entry",
        clock=node.clock,
        target=node.target,
        sender=node.sender,
        on_unreachable=unreachable.append,
    )
    unreachable_member = Member("prenota-2", "prenota", "savona", ELSEWHERE)

    await runner.run(make_call(), unreachable_member, "a")

    assert unreachable == ["prenota-2"]


class AlwaysSignAgain(RequestSigner):
    """Asks to resend after every response."""

    def sign(self, to, method, path, covered):
        return None

    def should_sign_again(self, to, response):
        return True


@pytest.mark.parametrize(
    ("canned_response", "expected_count"),
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
async def test_only_attempts_that_did_not_run_are_signed_again_and_resent(
    canned_response, expected_count
):
    node = ListeningNode()

    async def respond(request):
        return canned_response

    node.sender.handlers[HERE] = respond

    await node.runner(AlwaysSignAgain()).run(make_call(), MEMBER, "a")

    assert len(node.sender.sent) == expected_count


@pytest.mark.parametrize(
    ("later_s", "error"),
    [
        (0.0, None),
        (WINDOW_PAST_S, None),
        (WINDOW_PAST_S + 0.01, PeerStaleError),
    ],
)
def test_request_within_the_time_window_is_accepted(later_s, error):
    node = ListeningNode()
    verifier = PeerVerifier((OLD,), node.clock, HERE)
    field = node.signer().sign(HERE, "GET", "/", b"")
    node.clock.advance(later_s)

    if error is None:
        verifier.verify(field, "GET", "/", b"")
    else:
        with pytest.raises(error):
            verifier.verify(field, "GET", "/", b"")


@pytest.mark.parametrize(
    ("ahead_s", "refused"),
    [(WINDOW_FUTURE_S, False), (WINDOW_FUTURE_S + 0.01, True)],
)
def test_clock_of_a_peer_may_be_slightly_ahead(ahead_s, refused):
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
def test_any_other_auth_field_is_refused(field):
    verifier = PeerVerifier((OLD,), ManualClock(), HERE)

    with pytest.raises(PeerRefusedError):
        verifier.verify(field, "GET", "/", b"")


def test_nonces_are_bounded_and_dropped_ones_count_as_stale():
    cache = NonceCache(limit=10)

    for number in range(35):
        assert cache.add(str(number), 1_000 + number)

    assert cache.dropped_until_ms == 1_019
    assert not cache.add("34", 1_034)


def test_nonce_is_kept_for_longer_than_the_time_window():
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
