"""Writes the heads of messages, and reads the fields that frame them.

A head is written once, as one piece with a small body, so that a message is one
write. Nothing in it may end a line early: a field with a line break would let
its sender write fields or whole messages of its own.
"""

import http
from typing import NamedTuple

from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response

#: Told in answers that do not name their server.
SERVER_NAME = "radishwind"

#: Fields that frame a body; written anew, by what is known of the body.
_FRAMING = frozenset({"content-length", "transfer-encoding"})

_BODILESS_STATUS = frozenset({204, 304})
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class MalformedHeadError(ValueError):
    """A head would hold a line break of its sender's."""


class Framing(NamedTuple):
    """How the body of a received message is bounded.

    Attributes:
      length: its length (bytes); `None` where not told.
      chunked: whether it comes in chunks.
      closes: whether the message asks to close the connection.
      continues: whether the sender waits to be told to go on.
      clean: whether it is framed in a way that all receivers read alike.
      hosts: how often it names the host that is meant.
    """

    length: int | None
    chunked: bool
    closes: bool
    continues: bool
    clean: bool
    hosts: int


def decode_fields(raw: list[tuple[bytes, bytes]]) -> Headers:
    """Returns field lines as text; what is no UTF-8 stays as it came."""
    return tuple(
        (name.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for name, value in raw
    )


def parse_framing(headers: Headers) -> Framing:
    """Returns what `headers` say of the body and of the connection."""
    length: int | None = None
    chunked = closes = continues = False
    clean = True
    hosts = 0
    for name, value in headers:
        lowered = name.lower()
        if lowered == "content-length":
            length = int(value)
        elif lowered == "transfer-encoding":
            clean = clean and not chunked and value.lower() == "chunked"
            chunked = True
        elif lowered == "connection":
            tokens = (token.strip() for token in value.lower().split(","))
            closes = closes or "close" in tokens
        elif lowered == "host":
            hosts += 1
        elif lowered == "expect":
            continues = value.lower() == "100-continue"
    return Framing(length, chunked, closes, continues, clean, hosts)


def encode_request_head(request: Request, address: Address) -> bytes:
    """Returns the head of `request` with the length of its body.

    Args:
      request: what is sent.
      address: where to; told as its host where it names none.

    Raises:
      MalformedHeadError: a field holds a line break.
    """
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    names_host = False
    for name, value in request.headers:
        lowered = name.lower()
        if lowered not in _FRAMING:
            names_host = names_host or lowered == "host"
            lines.append(f"{name}: {value}")
    if not names_host:
        lines.append(f"Host: {address}")
    body = request.body
    if not isinstance(body, bytes):
        lines.append(_streamed(request.body_bytes))
    elif body or request.method not in _BODILESS_METHODS:
        lines.append(f"Content-Length: {len(body)}")
    return _encoded(lines)


def encode_response_head(
    response: Response, *, to_head: bool, chunks: bool
) -> tuple[bytes, bool]:
    """Returns the head of `response`, and whether its body goes in chunks.

    Args:
      response: the answer.
      to_head: whether it answers a HEAD, whose length is that of another body.
      chunks: whether the receiver reads chunks.

    Raises:
      MalformedHeadError: a field holds a line break.
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, '')}"]
    told_length = None
    names_server = False
    for name, value in response.headers:
        lowered = name.lower()
        if lowered == "content-length":
            told_length = value
        elif lowered != "transfer-encoding":
            names_server = names_server or lowered == "server"
            lines.append(f"{name}: {value}")
    if not names_server:
        lines.append(f"Server: {SERVER_NAME}")
    in_chunks = False
    if to_head or status in _BODILESS_STATUS:
        if told_length is not None and status != 204:
            lines.append(f"Content-Length: {told_length}")
    elif isinstance(response.body, bytes):
        lines.append(f"Content-Length: {len(response.body)}")
    elif told_length is not None:
        lines.append(f"Content-Length: {told_length}")
    elif chunks:
        lines.append("Transfer-Encoding: chunked")
        in_chunks = True
    return _encoded(lines), in_chunks


def encode_chunk(piece: bytes) -> bytes:
    """Returns `piece` as one encode_chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


#: What ends a body in chunks.
LAST_CHUNK = b"0\r\n\r\n"


def has_body(status: int) -> bool:
    """Returns whether an answer of `status` may have a body."""
    return status >= 200 and status not in _BODILESS_STATUS


def is_buffered(body: Body) -> bool:
    """Returns whether `body` is at hand and not streamed."""
    return isinstance(body, bytes)


def _streamed(length: int | None) -> str:
    if length is None:
        return "Transfer-Encoding: chunked"
    return f"Content-Length: {length}"


def _encoded(lines: list[str]) -> bytes:
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise MalformedHeadError("expected fields without line breaks, got one")
    return f"{head}\r\n\r\n".encode("utf-8", "surrogateescape")
