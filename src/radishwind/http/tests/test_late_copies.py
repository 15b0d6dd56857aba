"""Late copies of earlier responses are never taken for the next response."""

import pytest

from radishwind.http import Address
from radishwind.http import HttpLibrary
from radishwind.http import Request
from radishwind.http.errors import ResponseMismatchError
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import ResponseMatch
from radishwind.http.response_sequence import CloseReason
from radishwind.http.response_sequence import MAX_SKIPPED_BYTES
from radishwind.http.tests.test_senders import raw_server
from radishwind.http.tests.test_senders import sending
from radishwind.http.types import get_header
from radishwind.http.types import read_body

pytestmark = pytest.mark.anyio

REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


def answer(name, body=b"ok"):
    """Returns the encoded response to the request `name`."""
    head = f"HTTP/1.1 200 OK\r\nId: {name}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def chunked(name):
    head = f"HTTP/1.1 200 OK\r\nId: {name}\r\nTransfer-Encoding: chunked"
    return head.encode() + b"\r\n\r\n2\r\nok\r\n0\r\n\r\n"


class NameCheck(ResponseCheck):
    """Recognizes the response to one request by its name."""

    def __init__(self, name):
        self._name = name

    def match(self, status, headers):
        name = get_header(headers, "id")
        if name is None:
            return ResponseMatch.UNIDENTIFIED
        return (
            ResponseMatch.OWN if name == self._name else ResponseMatch.FOREIGN
        )


async def ask(sender: object, address: Address, name: str):
    """Returns status, name and body of the response to the request `name`."""
    request = Request("POST", "/", (("Id", name),))
    response = await sender.send(address, request, 1.0, NameCheck(name))
    named = get_header(response.headers, "id")
    return response.status, named, await read_body(response.body)


@pytest.mark.parametrize("copy", [answer("a"), chunked("a")])
async def test_late_copy_of_the_response_before_is_skipped(copy):
    script = [answer("a"), copy + answer("b", b"of b"), answer("c")]
    async with (
        raw_server(script) as (server, address),
        sending(HttpLibrary.HTTPTOOLS) as sender,
    ):
        await ask(sender, address, "a")
        assert await ask(sender, address, "b") == (200, "b", b"of b")
        assert await ask(sender, address, "c") == (200, "c", b"ok")
        assert server.connections == 2
        assert sender.close_counts == {CloseReason.SURPLUS: 1}


@pytest.mark.parametrize("library", list(HttpLibrary))
async def test_response_to_another_request_fails_and_ends_its_connection(
    library,
):
    async with (
        raw_server([answer("z"), answer("b")]) as (server, address),
        sending(library) as sender,
    ):
        with pytest.raises(ResponseMismatchError):
            await ask(sender, address, "a")
        assert await ask(sender, address, "b") == (200, "b", b"ok")
        assert server.connections == 2


@pytest.mark.parametrize("library", list(HttpLibrary))
async def test_connection_of_a_response_without_a_name_is_not_used_again(
    library,
):
    async with (
        raw_server([REFUSAL, answer("b")]) as (server, address),
        sending(library) as sender,
    ):
        assert (await ask(sender, address, "a"))[0] == 503
        assert await ask(sender, address, "b") == (200, "b", b"ok")
        assert server.connections == 2


async def test_late_copy_of_a_response_with_a_name_hides_no_refusal():
    script = [answer("a"), answer("a") + REFUSAL, answer("c")]
    async with (
        raw_server(script) as (server, address),
        sending(HttpLibrary.HTTPTOOLS) as sender,
    ):
        await ask(sender, address, "a")
        assert (await ask(sender, address, "b"))[0] == 503
        assert await ask(sender, address, "c") == (200, "c", b"ok")
        assert server.connections == 2


@pytest.mark.parametrize(
    "surplus",
    [
        answer("a") + answer("a"),
        answer("a", b"x" * (MAX_SKIPPED_BYTES + 1)),
        b"HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
        b"HTTP/1.1 204 OK\r\nId: a\r\n\r\n",
    ],
    ids=["twice", "too large", "until the end", "without a body"],
)
async def test_late_copy_that_cannot_be_skipped_ends_the_exchange(surplus):
    async with (
        raw_server([answer("a"), surplus + answer("b")]) as (_, address),
        sending(HttpLibrary.HTTPTOOLS) as sender,
    ):
        await ask(sender, address, "a")
        with pytest.raises(ResponseMismatchError):
            await ask(sender, address, "b")
        assert sender.close_counts[CloseReason.FOREIGN] == 1


async def test_connection_carries_requests_as_long_as_each_response_names_its():
    names = "abcde"
    async with (
        raw_server([answer(n) for n in names]) as (server, address),
        sending(HttpLibrary.HTTPTOOLS) as sender,
    ):
        for name in names:
            assert (await ask(sender, address, name))[1] == name
        assert server.connections == 1
        assert sender.close_counts == {}
