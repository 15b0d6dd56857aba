"""Only a complete, authentic response to this request is forwarded."""

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


class Recorder:
    def __init__(self):
        self.methods_called = []

    def __getattr__(self, name):
        return lambda *args: self.methods_called.append(name)


class Chunks(BodyStream):
    def __init__(self, *chunks):
        self.chunks = chunks
        self.aborted = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for chunk in self.chunks:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    def abort(self):
        self.aborted = True


class Server(Sender):
    def __init__(self, response):
        self.response = response
        self.requests = []

    async def send(self, address, request, connect_timeout_s, check=None):
        self.requests.append(request)
        if isinstance(self.response, Exception):
            raise self.response
        return self.response

    async def close(self):
        pass


class Setup:
    def __init__(self, response):
        self.clock = ManualClock()
        self.monitor = LoadMonitor(self.clock)
        self.recorder = Recorder()
        self.replaced = []
        self.server = Server(response)
        self.exchange = VerifyingExchange(
            clock=self.clock,
            sender=self.server,
            dialect=PlatformDialect(),
            recorder=self.recorder,
            monitor=self.monitor,
            on_replaced=lambda *args: self.replaced.append(args),
        )

    async def send(self):
        request = Request("GET", "/x", (("Attempt-Id", "9c"),))
        call = Call("9c", "s", request, ServiceRules(), True, 1.0, 1, "c")
        return await self.exchange.send(call, VIEW, False)


async def test_complete_response_is_forwarded_without_hop_by_hop_fields():
    fields = (
        *OWN,
        ("Transfer-Encoding", "chunked"),
        ("Server-Load", "1,0,6,500"),
    )
    setup = Setup(Response(200, fields, Chunks(b"a", b"b")))

    outcome = await setup.send()

    assert isinstance(outcome, Done)
    assert outcome.response.body == b"ab"
    assert outcome.response.headers == OWN
    assert setup.monitor.load.pace == 5.0
    assert setup.recorder.methods_called == ["record_answer"]


@pytest.mark.parametrize(
    ("response", "code"),
    [
        (Response(200, (("Attempt-Id", "other"), OWN[1]), b"x"),
         ResultCode.ANSWER_MISMATCH),
        (Response(200, (OWN[0],), b"x"), ResultCode.ANSWER_MISMATCH),
        (Response(200, OWN, Chunks(b"a", ExchangeBrokenError("cut"))),
         ResultCode.EXCHANGE_BROKEN),
        (ExchangeBrokenError("reset"), ResultCode.EXCHANGE_BROKEN),
        (TimeoutError(), ResultCode.EXCHANGE_TIMEOUT),
    ],
)  # fmt: skip
async def test_unverified_response_has_an_unknown_outcome(response, code):
    outcome = await Setup(response).send()

    assert isinstance(outcome, Unknown)
    assert outcome.code is code


@pytest.mark.parametrize(
    ("response", "code"),
    [
        (Response(503, (("Not-Executed", "1"),), b""), ResultCode.SERVER_SHED),
        (Response(421, (("Instance-Id", "i-2"),), b""),
         ResultCode.SERVER_REPLACED),
        (ConnectFailedError("refused"), ResultCode.CONNECT_FAILED),
    ],
)  # fmt: skip
async def test_not_run_only_if_the_server_states_so(response, code):
    outcome = await Setup(response).send()

    assert isinstance(outcome, NotRun)
    assert outcome.code is code


async def test_refusal_without_not_executed_field_is_forwarded():
    outcome = await Setup(Response(503, (OWN[0],), b"")).send()

    assert isinstance(outcome, Done)
    assert outcome.response.status == 503


async def test_other_incarnation_is_reported():
    setup = Setup(Response(421, (("Instance-Id", "i-2"),), b""))

    await setup.send()

    assert setup.replaced == [("i-1", "i-2")]
