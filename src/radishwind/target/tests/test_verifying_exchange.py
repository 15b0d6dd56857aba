"""Only a whole answer of the server itself to this request is handed on."""

from collections.abc import AsyncIterator

import pytest

from radishwind.config.model import ServiceRules
from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.platform import PlatformDialect
from radishwind.target.backend_server import ServerView
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.verifying_exchange import VerifyingExchange

pytestmark = pytest.mark.anyio

OWN = (("Attempt-Id", "9c"), ("Response-Signature", "s"))
VIEW = ServerView(Address("10.0.0.1", 80), instance="i-1")


class Watch:
    def __init__(self):
        self.heard = []

    def __getattr__(self, name):
        return lambda *args: self.heard.append(name)


class Pieces(BodyStream):
    def __init__(self, *pieces):
        self.pieces = pieces
        self.aborted = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for piece in self.pieces:
            if isinstance(piece, Exception):
                raise piece
            yield piece

    def abort(self):
        self.aborted = True


class Server(Sender):
    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    async def send(self, address, request, connect_timeout_s):
        self.asked.append(request)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def close(self):
        pass


class Setup:
    def __init__(self, answer):
        self.clock = ManualClock()
        self.pulse = LoadMonitor(self.clock)
        self.watch = Watch()
        self.replaced = []
        self.server = Server(answer)
        self.exchange = VerifyingExchange(
            clock=self.clock,
            sender=self.server,
            dialect=PlatformDialect(),
            recorder=self.watch,
            monitor=self.pulse,
            on_replaced=lambda *args: self.replaced.append(args),
        )

    async def send(self):
        request = Request("GET", "/x", (("Attempt-Id", "9c"),))
        call = Call("9c", "s", request, ServiceRules(), True, 1.0, 1, "c")
        return await self.exchange.send(call, VIEW, False)


async def test_a_whole_answer_goes_on_without_fields_of_one_connection():
    fields = (
        *OWN,
        ("Transfer-Encoding", "chunked"),
        ("Server-Load", "1,0,6,500"),
    )
    setup = Setup(Response(200, fields, Pieces(b"a", b"b")))

    outcome = await setup.send()

    assert isinstance(outcome, Done)
    assert outcome.response.body == b"ab"
    assert outcome.response.headers == OWN
    assert setup.pulse.load.pace == 5.0
    assert setup.watch.heard == ["record_answer"]


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (Response(200, (("Attempt-Id", "other"), OWN[1]), b"x"),
         ResultCode.ANSWER_MISMATCH),
        (Response(200, (OWN[0],), b"x"), ResultCode.ANSWER_MISMATCH),
        (Response(200, OWN, Pieces(b"a", ExchangeBrokenError("cut"))),
         ResultCode.EXCHANGE_BROKEN),
        (ExchangeBrokenError("reset"), ResultCode.EXCHANGE_BROKEN),
        (TimeoutError(), ResultCode.EXCHANGE_TIMEOUT),
    ],
)  # fmt: skip
async def test_anything_else_may_have_run(answer, code):
    outcome = await Setup(answer).send()

    assert isinstance(outcome, Unknown)
    assert outcome.code is code


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (Response(503, (("Not-Executed", "1"),), b""), ResultCode.SERVER_SHED),
        (Response(421, (("Instance-Id", "i-2"),), b""),
         ResultCode.SERVER_REPLACED),
        (ConnectFailedError("refused"), ResultCode.CONNECT_FAILED),
    ],
)  # fmt: skip
async def test_not_run_is_told_only_where_the_server_says_so(answer, code):
    outcome = await Setup(answer).send()

    assert isinstance(outcome, NotRun)
    assert outcome.code is code


async def test_a_refusal_without_that_word_is_the_servers_own_answer():
    outcome = await Setup(Response(503, (OWN[0],), b"")).send()

    assert isinstance(outcome, Done)
    assert outcome.response.status == 503


async def test_another_incarnation_is_told():
    setup = Setup(Response(421, (("Instance-Id", "i-2"),), b""))

    await setup.send()

    assert setup.replaced == [("i-1", "i-2")]
