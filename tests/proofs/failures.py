"""The failures that may hit one sending, by what they are called.

Each takes the stage, the entry node and the sending, and sees that the failure
happens while the sending is under way.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio

from radishwind.http import ExchangeBrokenError
from radishwind.http import Request
from radishwind.http import Response
from tests.proofs.stage import FAILED
from tests.proofs.stage import LAPSED_S
from tests.proofs.stage import LATE_S
from tests.proofs.stage import quiet
from tests.proofs.stage import SHED
from tests.proofs.stage import Stage
from tests.proofs.stage import Step
from tests.proofs.stage import Wire
from tests.support.in_process_sender import Fault

Send = Callable[[], Awaitable[None]]
Failure = Callable[[Stage, str, Send], Awaitable[None]]


@contextlib.contextmanager
def _always(wires: list[Wire], step: Step):
    for wire in wires:
        wire.always = step
    yield
    for wire in wires:
        wire.always = None


async def _straggle(wire: Wire, request: Request) -> Response:
    """Runs it, and answers when the deadline has passed."""
    await wire.deliver(request)
    wire.stage.cluster.clock.advance(LATE_S)
    wire.note("answers too late")
    raise TimeoutError


async def _answer_another(wire: Wire, request: Request) -> Response:
    """Gives the answer that belonged to the request before."""
    before = wire.last
    response = await wire.deliver(request)
    if before is None:
        return response
    wire.note("an earlier answer arrives instead")
    return before


async def _slow(wire: Wire, request: Request) -> Response:
    wire.stage.cluster.clock.advance(0.5)
    return await wire.deliver(request)


async def _crash(wire: Wire, request: Request) -> Response:
    """Ends the server under the request; it is gone from then on."""
    await wire.deliver(request)
    wire.note("crashes")
    wire.always = Fault.REFUSED
    raise ExchangeBrokenError("crashed")


async def _domain_goes(wire: Wire, request: Request) -> Response:
    """Ends every server once one has run the request."""
    await wire.deliver(request)
    wire.note("goes down with the others")
    for server in wire.stage.servers:
        server.always = Fault.REFUSED
    raise ExchangeBrokenError("crashed")


async def nothing(stage: Stage, entry: str, send: Send) -> None:
    await send()


def _at_servers(step: Step) -> Failure:
    async def hit(stage: Stage, entry: str, send: Send) -> None:
        with _always(stage.servers, step):
            await send()

    return hit


def _at_nodes(step: Step) -> Failure:
    """Hits the first message to any node; another attempt may pass."""

    async def hit(stage: Stage, entry: str, send: Send) -> None:
        async def once(wire: Wire, request: Request) -> Response:
            for each in stage.nodes:
                each.always = None
            wire.steps.insert(0, step)
            return await wire.handle(request)

        with _always(stage.nodes, once):
            await send()

    return hit


def _at_store(step: Step, only_paths: str = "") -> Failure:
    async def hit(stage: Stage, entry: str, send: Send) -> None:
        stage.store.only_paths = only_paths
        with _always([stage.store], step):
            await send()
        stage.store.only_paths = ""

    return hit


async def lost_write(stage: Stage, entry: str, send: Send) -> None:
    """The claim is written, and neither that nor a look is answered."""
    stage.store.only_paths = "/v3/kv"
    stage.store.steps = [Fault.RESPONSE_LOST, Fault.REFUSED]
    await send()
    stage.store.steps, stage.store.only_paths = [], ""


async def kill_entry(stage: Stage, entry: str, send: Send) -> None:
    """Kills the entry node while a server runs the request."""

    async def hang(wire: Wire, request: Request) -> Response:
        await wire.deliver(request)
        await anyio.sleep_forever()
        raise AssertionError

    with _always(stage.servers, hang):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await quiet()
            tasks.cancel_scope.cancel()
            stage.note(entry, "is killed, and started anew")
            stage.entries[entry].crash()
            await quiet()
    stage.start(entry)
    await quiet()


def _freeze(seconds: float, meanwhile: bool = False) -> Failure:
    """Freezes the entry node between its claim and its first attempt."""

    async def hit(stage: Stage, entry: str, send: Send) -> None:
        node = stage.entries[entry]
        resume = node.sender.resumed = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await quiet()
            stage.note(entry, "is frozen")
            stage.cluster.clock.advance(seconds)
            if meanwhile:
                other = "entry-b" if entry == "entry-a" else "entry-a"
                await stage.send(other, "k", b"tavola")
            stage.note(entry, "goes on")
            node.sender.resumed = None
            resume.set()

    return hit


async def crash(stage: Stage, entry: str, send: Send) -> None:
    """Crashes each server that runs it; they are started anew after."""
    with _always(stage.servers, _crash):
        await send()


#: After it a key may be used anew; so it comes first, and with a key only.
LAPSE = "the lease lapses and its holder goes on"

FAILURES: dict[str, Failure] = {
    "nothing fails": nothing,
    "the target's node is killed before": _at_nodes(Fault.REFUSED),
    "the connection is cut before it is handled": _at_nodes(Fault.REQUEST_LOST),
    "the connection is cut after it was handled": _at_nodes(
        Fault.RESPONSE_LOST
    ),
    "the server's connection is cut": _at_servers(Fault.RESPONSE_LOST),
    "the entry node is killed meanwhile": kill_entry,
    "the entry node freezes past the deadline": _freeze(LATE_S),
    "the server is a straggler": _at_servers(_straggle),
    "the server fails fast": _at_servers(FAILED),
    "the server drains": _at_servers(SHED),
    "the store is down": _at_store(Fault.REFUSED),
    "the store is slow": _at_store(_slow),
    "a write takes effect without an answer": lost_write,
    LAPSE: _freeze(LAPSED_S, True),
    "it crashes each server": crash,
    "its failure domain goes down": _at_servers(_domain_goes),
    "an answer to another arrives late": _at_nodes(_answer_another),
}
