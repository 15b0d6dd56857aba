"""Simulated entry nodes, targets and store whose messages are recorded."""

import collections
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio
import anyio.abc
import anyio.lowlevel
import msgspec

from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.http import ExchangeBrokenError
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import get_header
from radishwind.peers.attempts import ANSWER_FIELD
from radishwind.peers.attempts import AnswerInfo
from radishwind.peers.attempts import ATTEMPT_FIELD
from radishwind.peers.attempts import AttemptInfo
from tests.support.claim_cluster import Cluster
from tests.support.claim_cluster import EntryNode
from tests.support.claim_cluster import STORE
from tests.support.in_process_sender import Fault
from tests.support.targets import SynchronousRumorBus

#: Longer than every deadline of a call, and than the lease of a claim.
AFTER_DEADLINE_S = 10.0
AFTER_LEASE_S = 3 * 24 * 3600.0

SHED = Response(503, (("Radishwind-Shed", "1"),), b"")
FAILED = Response(500, (), b"failed fast")

#: How one message is handled: with a fault, with a canned response, or by a
#: function that may forward it.
Interceptor = Callable[["FaultyChannel", Request], Awaitable[Response]]
Step = Fault | Response | Interceptor


async def run_until_idle() -> None:
    """Runs the other tasks until each of them waits for something."""
    for _ in range(100):
        await anyio.lowlevel.checkpoint()


class FaultyChannel:
    """Channel to one receiver that can apply a step to each message.

    Attributes:
      steps: steps of the next messages, used up in order.
      default_step: step of each message once `steps` is empty.
      last_response: newest response of the receiver.
      path_filter: steps apply only to paths that contain this text.
    """

    def __init__(
        self, testbed: "SessionTestbed", name: str, handler: Handler
    ) -> None:
        self.testbed = testbed
        self.name = name
        self.next_handler = handler
        self.steps: list[Step] = []
        self.default_step: Step | None = None
        self.last_response: Response | None = None
        self.path_filter = ""

    async def handle(self, request: Request) -> Response:
        step = self._step(request)
        if step is Fault.REFUSED:
            self.record("takes no connection")
            raise ConnectFailedError(f"{self.name}: refused")
        if step is Fault.REQUEST_LOST:
            self.record("cut before it is handled")
            raise ExchangeBrokenError(f"{self.name}: cut")
        if isinstance(step, Response):
            self.record(
                f"{_format_request(request)}: answers {step.status}, not run"
            )
            return step
        if callable(step):
            return await step(self, request)
        response = await self.forward(request)
        if step is Fault.RESPONSE_LOST:
            self.record("its answer is lost")
            raise ExchangeBrokenError(f"{self.name}: answer lost")
        return response

    async def forward(self, request: Request) -> Response:
        """Forwards `request` and records it and its response."""
        if self.name != "store":
            self.record(_format_request(request))
        response = await self.next_handler(request)
        if self.name == "store":
            self.record(
                f"{_format_request(request)}: "
                f"{_format_store_response(response)}"
            )
        else:
            self.record(_format_response(response))
        self.last_response = response
        return response

    def record(self, text: str) -> None:
        self.testbed.record(self.name, text)

    def _step(self, request: Request) -> Step | None:
        if self.path_filter and self.path_filter not in request.path:
            return None
        return self.steps.pop(0) if self.steps else self.default_step


class SessionTestbed:
    """Two entry nodes, two targets and a store; every message is recorded.

    Attributes:
      lines: recorded lines of the session.
      violations: promises found broken, as sentences.
      answered_count: number of callers that got a response of a server.
    """

    def __init__(self, **options) -> None:
        self.cluster = Cluster(1, rumor_bus=SynchronousRumorBus(), **options)
        self.lines: list[str] = []
        self.violations: list[str] = []
        self.answered_count = 0
        self.store = self._make_channel("store", STORE)
        self.servers = [
            self._make_channel(
                f"server prenota-{n}", Address(f"10.0.1.{n}", 80)
            )
            for n in (1, 2)
        ]
        self.nodes = [
            self._make_channel(f"node prenota-{n}", Address(f"10.0.1.{n}", 81))
            for n in (1, 2)
        ]
        self.entries: dict[str, EntryNode] = {}
        self._not_run_counts: collections.Counter[bytes] = collections.Counter()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator["SessionTestbed"]:
        """Runs the entry nodes until the context ends."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for name in ("entry-a", "entry-b"):
                self.start(name)
            await run_until_idle()
            yield self
            tasks.cancel_scope.cancel()

    def start(self, name: str) -> None:
        """Starts an entry node without any state of an earlier process."""
        self.entries[name] = self.cluster.node(name)
        self._tasks.start_soon(self.entries[name].main)

    async def send(
        self, entry: str, key: str, body: bytes, method: str = "POST"
    ) -> None:
        """Sends a request and checks its response."""
        servers = self.cluster.servers
        what = f"{method} {body.decode()}" + (f", key {key}" if key else "")
        self.record("caller", f"sends {what} to {entry}")
        response = await self.entries[entry].send(key, body, method=method)
        ran = servers.runs_by_body[body]
        outcome = get_header(response.headers, "radishwind-outcome")
        self.record(entry, _format_response(response))
        if outcome is None:
            self.answered_count += 1
            if response.body not in (b"booked " + body, FAILED.body):
                self.violations.append(f"{what} was answered {response.body!r}")
        if outcome == "not-run":
            self._not_run_counts[body] += 1
            if ran:
                self.violations.append(f"{what} had run and was told not run")
        if method == "POST" and ran > 1:
            self.violations.append(f"{what} ran more than once")

    def record(self, who: str, text: str) -> None:
        at = self.cluster.clock.monotonic()
        self.lines.append(f"{at:9.1f} s  {who:16} {text}")

    def check_not_run_reports(self, body: bytes, sendings: int) -> None:
        """Checks that no request ran after all its callers were told not-run.

        Called at the end, since a delayed message may still run the request.
        """
        ran = self.cluster.servers.runs_by_body[body]
        if ran and self._not_run_counts[body] == sendings:
            self.violations.append(f"{body!r} ran after it was told not run")

    def _make_channel(self, name: str, address: Address) -> FaultyChannel:
        handlers = self.cluster.handlers
        channel = FaultyChannel(self, name, handlers[address])
        handlers[address] = channel.handle
        return channel


def _format_request(request: Request) -> str:
    field = get_header(request.headers, ATTEMPT_FIELD.lower())
    if field is not None:
        info = msgspec.json.decode(field, type=AttemptInfo)
        number = info.attempt_id.rpartition(".")[2]
        suspect = ", a suspect" if info.suspect else ""
        return f"takes attempt {number}{suspect}"
    if request.path.startswith("/v3/"):
        return request.path.rpartition("/")[2]
    assert isinstance(request.body, bytes)
    return f"gets {request.method} {request.body.decode()}"


def _format_response(response: Response) -> str:
    field = get_header(response.headers, ANSWER_FIELD.lower())
    if field is not None:
        info = msgspec.json.decode(field, type=AnswerInfo)
        return f"answers {info.outcome} {info.code or response.status}"
    outcome = get_header(response.headers, "radishwind-outcome")
    if outcome is not None:
        code = get_header(response.headers, "radishwind-code")
        return f"answers {response.status}, {outcome} {code}"
    replayed = get_header(response.headers, "radishwind-replayed")
    text = f"answers {response.status}" + (
        " from the record" if replayed else ""
    )
    body = response.body
    return f"{text}: {body.decode()}" if isinstance(body, bytes) else text


def _format_store_response(response: Response) -> str:
    assert isinstance(response.body, bytes)
    value = msgspec.json.decode(response.body)
    if "succeeded" in value or "responses" in value:
        return "written" if value.get("succeeded") else "condition not met"
    return "answered"
