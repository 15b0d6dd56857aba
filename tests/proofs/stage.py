"""Sessions of callers under named failures, recorded line by line."""

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

#: Past every deadline of a call, and past the lease of a claim (s).
LATE_S = 10.0
LAPSED_S = 3 * 24 * 3600.0

SHED = Response(503, (("Radishwind-Shed", "1"),), b"")
FAILED = Response(500, (), b"failed fast")

#: What becomes of one message: a fault, an answer instead of handling it, or
#: something that is done around it.
Around = Callable[["Wire", Request], Awaitable[Response]]
Step = Fault | Response | Around


async def quiet() -> None:
    """Lets every task go on until it waits for something."""
    for _ in range(100):
        await anyio.lowlevel.checkpoint()


class Wire:
    """The way to one receiver; plays a step for each message, then none."""

    def __init__(self, stage: "Stage", name: str, handler: Handler) -> None:
        self.stage = stage
        self.name = name
        self.inner = handler
        self.steps: list[Step] = []
        self.always: Step | None = None
        self.last: Response | None = None
        self.only_paths = ""

    async def handle(self, request: Request) -> Response:
        step = self._step(request)
        if step is Fault.REFUSED:
            self.note("takes no connection")
            raise ConnectFailedError(f"{self.name}: refused")
        if step is Fault.REQUEST_LOST:
            self.note("cut before it is handled")
            raise ExchangeBrokenError(f"{self.name}: cut")
        if isinstance(step, Response):
            self.note(f"{_asked(request)}: answers {step.status}, not run")
            return step
        if callable(step):
            return await step(self, request)
        response = await self.deliver(request)
        if step is Fault.RESPONSE_LOST:
            self.note("its answer is lost")
            raise ExchangeBrokenError(f"{self.name}: answer lost")
        return response

    async def deliver(self, request: Request) -> Response:
        """Hands `request` over and notes both ways."""
        if self.name != "store":
            self.note(_asked(request))
        response = await self.inner(request)
        if self.name == "store":
            self.note(f"{_asked(request)}: {_told_by_store(response)}")
        else:
            self.note(_told(response))
        self.last = response
        return response

    def note(self, text: str) -> None:
        self.stage.note(self.name, text)

    def _step(self, request: Request) -> Step | None:
        if self.only_paths and self.only_paths not in request.path:
            return None
        return self.steps.pop(0) if self.steps else self.always


class Stage:
    """Two entry nodes, two targets and a store; every message is noted.

    Attributes:
      lines: the record of the session.
      broken: the promises seen broken.
      done: how many callers got an answer of a server.
    """

    def __init__(self, **options) -> None:
        self.cluster = Cluster(1, rumor_bus=SynchronousRumorBus(), **options)
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.done = 0
        self.store = self._wire("store", STORE)
        self.servers = [
            self._wire(f"server prenota-{n}", Address(f"10.0.1.{n}", 80))
            for n in (1, 2)
        ]
        self.nodes = [
            self._wire(f"node prenota-{n}", Address(f"10.0.1.{n}", 81))
            for n in (1, 2)
        ]
        self.entries: dict[str, EntryNode] = {}
        self._told_not_run: collections.Counter[bytes] = collections.Counter()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator["Stage"]:
        """Runs the entry nodes meanwhile."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for name in ("entry-a", "entry-b"):
                self.start(name)
            await quiet()
            yield self
            tasks.cancel_scope.cancel()

    def start(self, name: str) -> None:
        """Starts an entry node, which knows nothing of its former self."""
        self.entries[name] = self.cluster.node(name)
        self._tasks.start_soon(self.entries[name].main)

    async def send(
        self, entry: str, key: str, body: bytes, method: str = "POST"
    ) -> None:
        """Sends a request and judges its answer."""
        servers = self.cluster.servers
        what = f"{method} {body.decode()}" + (f", key {key}" if key else "")
        self.note("caller", f"sends {what} to {entry}")
        response = await self.entries[entry].send(key, body, method=method)
        ran = servers.runs_by_body[body]
        told = get_header(response.headers, "radishwind-outcome")
        self.note(entry, _told(response))
        if told is None:
            self.done += 1
            if response.body not in (b"booked " + body, FAILED.body):
                self.broken.append(f"{what} was answered {response.body!r}")
        if told == "not-run":
            self._told_not_run[body] += 1
            if ran:
                self.broken.append(f"{what} had run and was told not run")
        if method == "POST" and ran > 1:
            self.broken.append(f"{what} ran more than once")

    def note(self, who: str, text: str) -> None:
        at = self.cluster.clock.monotonic()
        self.lines.append(f"{at:9.1f} s  {who:16} {text}")

    def judge(self, body: bytes, sendings: int) -> None:
        """Judges at the end what a late message may have changed."""
        ran = self.cluster.servers.runs_by_body[body]
        if ran and self._told_not_run[body] == sendings:
            self.broken.append(f"{body!r} ran after it was told not run")

    def _wire(self, name: str, address: Address) -> Wire:
        handlers = self.cluster.handlers
        wire = Wire(self, name, handlers[address])
        handlers[address] = wire.handle
        return wire


def _asked(request: Request) -> str:
    field = get_header(request.headers, ATTEMPT_FIELD.lower())
    if field is not None:
        info = msgspec.json.decode(field, type=AttemptInfo)
        number = info.attempt_id.rpartition(".")[2]
        alone = ", a suspect" if info.suspect else ""
        return f"takes attempt {number}{alone}"
    if request.path.startswith("/v3/"):
        return request.path.rpartition("/")[2]
    assert isinstance(request.body, bytes)
    return f"gets {request.method} {request.body.decode()}"


def _told(response: Response) -> str:
    field = get_header(response.headers, ANSWER_FIELD.lower())
    if field is not None:
        info = msgspec.json.decode(field, type=AnswerInfo)
        return f"answers {info.outcome} {info.code or response.status}"
    outcome = get_header(response.headers, "radishwind-outcome")
    if outcome is not None:
        code = get_header(response.headers, "radishwind-code")
        return f"answers {response.status}, {outcome} {code}"
    again = get_header(response.headers, "radishwind-replayed")
    text = f"answers {response.status}" + (" from the record" if again else "")
    body = response.body
    return f"{text}: {body.decode()}" if isinstance(body, bytes) else text


def _told_by_store(response: Response) -> str:
    assert isinstance(response.body, bytes)
    value = msgspec.json.decode(response.body)
    if "succeeded" in value or "responses" in value:
        return "written" if value.get("succeeded") else "condition not met"
    return "answered"
