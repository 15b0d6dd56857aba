"""Hosts that can't be looked up are refused, and end no connect otherwise."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import Request

#: All of them fail before any lookup.
ODD_HOSTS = ["", "a..b", "x" * 300, "\u00fc" * 80, "a\0b", "[::1", "\ud800"]


@pytest.mark.anyio
@pytest.mark.parametrize("library", list(HttpLibrary))
@pytest.mark.parametrize("host", ODD_HOSTS, ids=ascii)
async def test_host_that_cannot_be_encoded_is_a_failed_connect(library, host):
    sender = make_sender(library, 1)
    try:
        # Twice, since a failed connect must give back its place in the pool.
        for _ in range(2):
            with pytest.raises(ConnectFailedError):
                await sender.send(Address(host, 9), Request("GET", "/"), 1.0)
    finally:
        await sender.close()


@pytest.mark.parametrize(
    "text",
    [
        "127.0.0.1:7600",
        "[::1]:7600",
        "::1:7600",
        "h:0",
        "a-b.example:65535",
        "a_b.example.:9",
        "x" * 63 + ":9",
        ".".join(["x" * 63] * 3 + ["x" * 61]) + ":9",
    ],
)
def test_address_is_written_as_it_was_read(text):
    assert str(Address.parse(text)) == text


@pytest.mark.parametrize(
    "text",
    [
        *(f"{host}:9" for host in ODD_HOSTS),
        "9",
        "h:",
        "h:-1",
        "h:+1",
        "h:65536",
        "h:000001",
        "h:9\n",
        "h:\u0669",
        "h:\u00b2",
        "h h:9",
        "h/:9",
        "u@h:9",
        ".h:9",
        "::9",
        "x" * 64 + ":9",
        ".".join(["x" * 63] * 3 + ["x" * 62]) + ":9",
    ],
    ids=ascii,
)
def test_address_that_cannot_be_looked_up_is_refused(text):
    with pytest.raises(ValueError, match="expected HOST:PORT"):
        Address.parse(text)


@given(
    st.text(max_size=20)
    | st.text(alphabet="ab.-_:[]\u00fc0", max_size=80).map("{}:9".format)
)
def test_host_of_any_parsed_address_can_be_encoded(text):
    with contextlib.suppress(ValueError):
        address = Address.parse(text)
        assert 0 <= address.port <= 65535
        assert address.host.encode("idna")
        return
