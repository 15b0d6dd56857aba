"""Validation of requests and removal of fields that are not forwarded."""

import pytest

from radishwind.http import Request
from radishwind.http.errors import RequestRejectedError
from radishwind.http.sanitization import strip_hop_by_hop_fields
from radishwind.http.sanitization import to_origin_form
from radishwind.http.sanitization import validate_request
from radishwind.node.caller_listener import sanitize_request


def test_hop_by_hop_fields_and_those_listed_are_removed():
    headers = (
        ("Host", "a"),
        ("Connection", "close, X-Mine, Host"),
        ("X-Mine", "1"),
        ("Keep-Alive", "5"),
        ("X-Yours", "2"),
    )

    assert strip_hop_by_hop_fields(headers) == (("Host", "a"), ("X-Yours", "2"))


def test_all_connection_fields_are_evaluated():
    headers = (("Connection", "A"), ("connection", "B"), ("A", ""), ("B", ""))

    assert strip_hop_by_hop_fields(headers) == ()


@pytest.mark.parametrize(
    "path",
    ["/a/../b", "/a/%2e%2E/b", "/..", "/a/.", "*", "a", "/a b", "/\xe9", ""],
)
def test_ambiguous_paths_are_rejected(path):
    with pytest.raises(RequestRejectedError):
        to_origin_form(path)


def test_absolute_form_becomes_origin_form():
    assert to_origin_form("http://other:80/a/b?c=%20d") == "/a/b?c=%20d"
    assert to_origin_form("/a/..b/c?x=/../") == "/a/..b/c?x=/../"


@pytest.mark.parametrize(
    "request_",
    [
        Request("CONNECT", "/"),
        Request("GET", "/", (("Host", "a"), ("host", "b"))),
        Request("GET", "/", (("Idempotency-Key", "1"),) * 2),
        Request("GET", "/", (("X", "\udce9"),)),
    ],
)
def test_ambiguous_requests_are_rejected(request_):
    with pytest.raises(RequestRejectedError):
        validate_request(request_)


def test_callers_cannot_forge_fields_that_only_nodes_send():
    request = Request(
        "GET", "/a", (("RADISHWIND-Node-Attempt", "x"), ("Accept", "*/*"))
    )

    assert sanitize_request(request).headers == (("Accept", "*/*"),)
