"""Sessions of callers under injected failures.

Guards against requests that run twice, not-run reports for requests that ran,
and responses that reach the caller of another request.
"""

import anyio
import pytest
from pytest_bdd import given
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import Request
from radishwind.http.types import Address
from tests.proofs.golden import golden_diff

scenarios("at_most_once.feature", "not_run.feature", "whole_answers.feature")


class LateServer:
    """Responds late to the first request and keeps its connection open."""

    def __init__(self) -> None:
        self.first_received = anyio.Event()
        self.release = anyio.Event()

    async def serve(self, stream) -> None:
        async with stream:
            while True:
                try:
                    request = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                path = request.split(b" ")[1]
                if path == b"/first":
                    self.first_received.set()
                    await self.release.wait()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                try:
                    await stream.send(head % len(path) + path)
                except anyio.BrokenResourceError:
                    return


class SharedConnection:
    """Weak: reuses a connection on which a response is still outstanding."""

    def __init__(self) -> None:
        self._stream = None

    async def fetch(self, address: Address, path: str) -> bytes:
        if self._stream is None:
            self._stream = await anyio.connect_tcp(*address)
        await self._stream.send(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        answer = await self._stream.receive()
        head, _, body = answer.partition(b"\r\n\r\n")
        return body[: int(head.rpartition(b" ")[2])]

    async def close(self) -> None:
        await self._stream.aclose()


class PooledSender:
    """The real sender, limited to one connection at a time."""

    def __init__(self) -> None:
        self._sender = make_sender(HttpLibrary.AIOHTTP, 1)

    async def fetch(self, address: Address, path: str) -> bytes:
        request = Request("GET", path)
        response = await self._sender.send(address, request, 5.0)
        assert isinstance(response.body, bytes)
        return response.body

    async def close(self) -> None:
        await self._sender.close()


@pytest.fixture
def sender():
    return {"make": PooledSender}


@given("a server that answers late, on a connection that is kept")
def late_server():
    """Does nothing: `two_callers` starts the server in its event loop."""


@given('the weak variant "connection reused after a late answer"')
def reusing(sender):
    sender["make"] = SharedConnection


@when("one caller gives up and another asks", target_fixture="answer")
def two_callers(sender):
    async def main() -> bytes:
        server, client = LateServer(), sender["make"]()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = Address("127.0.0.1", port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            async with anyio.create_task_group() as first:
                first.start_soon(client.fetch, address, "/first")
                await server.first_received.wait()
                first.cancel_scope.cancel()
            server.release.set()
            answer = await client.fetch(address, "/second")
            await client.close()
            tasks.cancel_scope.cancel()
        return answer

    return anyio.run(main)


@then("the other caller gets its own answer")
def own_answer(answer):
    assert answer == b"/second"


@then("the other caller gets the answer of the first")
def first_answer(answer):
    assert answer == b"/first"


def test_missing_golden_file_is_a_failure(tmp_path):
    assert "missing" in golden_diff("a", ["x"], False, tmp_path)
    assert not list(tmp_path.iterdir())
    assert not golden_diff("a", ["x"], True, tmp_path)
    assert not golden_diff("a", ["x"], False, tmp_path)
    assert "+y" in golden_diff("a", ["y"], False, tmp_path)
