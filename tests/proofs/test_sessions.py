"""Sessions of callers: at most once, the truth of "not run", whole answers."""

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
from tests.proofs.golden import difference

scenarios("at_most_once.feature", "not_run.feature", "whole_answers.feature")


class LateServer:
    """Answers the first request late, on a connection that it keeps."""

    def __init__(self) -> None:
        self.first_asked = anyio.Event()
        self.late = anyio.Event()

    async def serve(self, stream) -> None:
        async with stream:
            while True:
                try:
                    asked = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                path = asked.split(b" ")[1]
                if path == b"/first":
                    self.first_asked.set()
                    await self.late.wait()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                try:
                    await stream.send(head % len(path) + path)
                except anyio.BrokenResourceError:
                    return


class OneConnection:
    """Weak: sends on one connection, whatever is still to come on it."""

    def __init__(self) -> None:
        self._stream = None

    async def ask(self, address: Address, path: str) -> bytes:
        if self._stream is None:
            self._stream = await anyio.connect_tcp(*address)
        await self._stream.send(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        answer = await self._stream.receive()
        head, _, body = answer.partition(b"\r\n\r\n")
        return body[: int(head.rpartition(b" ")[2])]

    async def close(self) -> None:
        await self._stream.aclose()


class Kept:
    """The real sender, of one connection at a time."""

    def __init__(self) -> None:
        self._sender = make_sender(HttpLibrary.AIOHTTP, 1)

    async def ask(self, address: Address, path: str) -> bytes:
        request = Request("GET", path)
        response = await self._sender.send(address, request, 5.0)
        assert isinstance(response.body, bytes)
        return response.body

    async def close(self) -> None:
        await self._sender.close()


@pytest.fixture
def sender():
    return {"make": Kept}


@given("a server that answers late, on a connection that is kept")
def late_server():
    """The server is made where it runs."""


@given('the weak variant "connection reused after a late answer"')
def reusing(sender):
    sender["make"] = OneConnection


@when("one caller gives up and another asks", target_fixture="answer")
def two_callers(sender):
    async def main() -> bytes:
        server, made = LateServer(), sender["make"]()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = Address("127.0.0.1", port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            async with anyio.create_task_group() as first:
                first.start_soon(made.ask, address, "/first")
                await server.first_asked.wait()
                first.cancel_scope.cancel()
            server.late.set()
            answer = await made.ask(address, "/second")
            await made.close()
            tasks.cancel_scope.cancel()
        return answer

    return anyio.run(main)


@then("the other caller gets its own answer")
def own_answer(answer):
    assert answer == b"/second"


@then("the other caller gets the answer of the first")
def answer_of_first(answer):
    assert answer == b"/first"


def test_missing_golden_file_is_a_failure(tmp_path):
    assert "missing" in difference("a", ["x"], False, tmp_path)
    assert not list(tmp_path.iterdir())
    assert not difference("a", ["x"], True, tmp_path)
    assert not difference("a", ["x"], False, tmp_path)
    assert "+y" in difference("a", ["y"], False, tmp_path)
