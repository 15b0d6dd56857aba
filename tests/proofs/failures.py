"""Failures that can be injected into one request, by their names in features.

Each failure is a function of the testbed, the name of the entry node and the
function that sends the request. It calls that function and injects the failure
while the request is in progress.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio

from radishwind.http import ExchangeBrokenError
from radishwind.http import Request
from radishwind.http import Response
from tests.proofs.session_testbed import AFTER_DEADLINE_S
from tests.proofs.session_testbed import AFTER_LEASE_S
from tests.proofs.session_testbed import FAILED
from tests.proofs.session_testbed import FaultyChannel
from tests.proofs.session_testbed import run_until_idle
from tests.proofs.session_testbed import SessionTestbed
from tests.proofs.session_testbed import SHED
from tests.proofs.session_testbed import Step
from tests.support.in_process_sender import Fault

Send = Callable[[], Awaitable[None]]
Failure = Callable[[SessionTestbed, str, Send], Awaitable[None]]


@contextlib.contextmanager
def _default_step(channels: list[FaultyChannel], step: Step):
    for channel in channels:
        channel.default_step = step
    yield
    for channel in channels:
        channel.default_step = None


async def _straggle(channel: FaultyChannel, request: Request) -> Response:
    """Runs the request, but responds only after its deadline."""
    await channel.forward(request)
    channel.testbed.cluster.clock.advance(AFTER_DEADLINE_S)
    channel.record("answers too late")
    raise TimeoutError


async def _answer_another(channel: FaultyChannel, request: Request) -> Response:
    """Returns the response to the previous request instead."""
    previous = channel.last_response
    response = await channel.forward(request)
    if previous is None:
        return response
    channel.record("an earlier answer arrives instead")
    return previous


async def _slow(channel: FaultyChannel, request: Request) -> Response:
    channel.testbed.cluster.clock.advance(0.5)
    return await channel.forward(request)


async def _crash(channel: FaultyChannel, request: Request) -> Response:
    """Crashes the server during the request; it refuses connections after."""
    await channel.forward(request)
    channel.record("crashes")
    channel.default_step = Fault.REFUSED
    raise ExchangeBrokenError("crashed")


async def _domain_goes(channel: FaultyChannel, request: Request) -> Response:
    """Crashes every server once one of them has run the request."""
    await channel.forward(request)
    channel.record("goes down with the others")
    for server in channel.testbed.servers:
        server.default_step = Fault.REFUSED
    raise ExchangeBrokenError("crashed")


async def no_failure(testbed: SessionTestbed, entry: str, send: Send) -> None:
    await send()


def _fail_servers(step: Step) -> Failure:
    async def hit(testbed: SessionTestbed, entry: str, send: Send) -> None:
        with _default_step(testbed.servers, step):
            await send()

    return hit


def _fail_first_node_message(step: Step) -> Failure:
    """Fails the first message to any node; later attempts pass."""

    async def hit(testbed: SessionTestbed, entry: str, send: Send) -> None:
        async def once(channel: FaultyChannel, request: Request) -> Response:
            for node in testbed.nodes:
                node.default_step = None
            channel.steps.insert(0, step)
            return await channel.handle(request)

        with _default_step(testbed.nodes, once):
            await send()

    return hit


def _fail_store(step: Step, path_filter: str = "") -> Failure:
    async def hit(testbed: SessionTestbed, entry: str, send: Send) -> None:
        testbed.store.path_filter = path_filter
        with _default_step([testbed.store], step):
            await send()
        testbed.store.path_filter = ""

    return hit


async def lost_write(testbed: SessionTestbed, entry: str, send: Send) -> None:
    """Writes the claim; loses its response and refuses the read after it."""
    testbed.store.path_filter = "/v3/kv"
    testbed.store.steps = [Fault.RESPONSE_LOST, Fault.REFUSED]
    await send()
    testbed.store.steps, testbed.store.path_filter = [], ""


async def kill_entry(testbed: SessionTestbed, entry: str, send: Send) -> None:
    """Kills the entry node while a server runs the request."""

    async def hang(channel: FaultyChannel, request: Request) -> Response:
        await channel.forward(request)
        await anyio.sleep_forever()
        raise AssertionError

    with _default_step(testbed.servers, hang):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await run_until_idle()
            tasks.cancel_scope.cancel()
            testbed.record(entry, "is killed, and started anew")
            testbed.entries[entry].crash()
            await run_until_idle()
    testbed.start(entry)
    await run_until_idle()


def _freeze_entry(seconds: float, meanwhile: bool = False) -> Failure:
    """Freezes the entry node between its claim and its first attempt."""

    async def hit(testbed: SessionTestbed, entry: str, send: Send) -> None:
        node = testbed.entries[entry]
        resume = node.sender.resumed = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await run_until_idle()
            testbed.record(entry, "is frozen")
            testbed.cluster.clock.advance(seconds)
            if meanwhile:
                other = "entry-b" if entry == "entry-a" else "entry-a"
                await testbed.send(other, "k", b"tavola")
            testbed.record(entry, "goes on")
            node.sender.resumed = None
            resume.set()

    return hit


async def crash_servers(
    testbed: SessionTestbed, entry: str, send: Send
) -> None:
    """Crashes each server that runs the request; all are restarted after."""
    with _default_step(testbed.servers, _crash):
        await send()


#: A key may be reused after its lease has expired, so this failure is only
#: injected first, and only into requests with a key.
LEASE_LAPSE = "the lease lapses and its holder goes on"

FAILURES: dict[str, Failure] = {
    "nothing fails": no_failure,
    "the target's node is killed before": _fail_first_node_message(
        Fault.REFUSED
    ),
    "the connection is cut before it is handled": _fail_first_node_message(
        Fault.REQUEST_LOST
    ),
    "the connection is cut after it was handled": _fail_first_node_message(
        Fault.RESPONSE_LOST
    ),
    "the server's connection is cut": _fail_servers(Fault.RESPONSE_LOST),
    "the entry node is killed meanwhile": kill_entry,
    "the entry node freezes past the deadline": _freeze_entry(AFTER_DEADLINE_S),
    "the server is a straggler": _fail_servers(_straggle),
    "the server fails fast": _fail_servers(FAILED),
    "the server drains": _fail_servers(SHED),
    "the store is down": _fail_store(Fault.REFUSED),
    "the store is slow": _fail_store(_slow),
    "a write takes effect without an answer": lost_write,
    LEASE_LAPSE: _freeze_entry(AFTER_LEASE_S, True),
    "it crashes each server": crash_servers,
    "its failure domain goes down": _fail_servers(_domain_goes),
    "an answer to another arrives late": _fail_first_node_message(
        _answer_another
    ),
}
