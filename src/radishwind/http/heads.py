"""Encodes the heads of messages and parses the fields that frame bodies.

A head is encoded in one piece and sent together with a small body, so that a
message takes one write. Field values must not contain line breaks: they would
let a sender inject fields or complete messages.
"""

import http
import re
from typing import NamedTuple

from radishwind.http.errors import InvalidResponseError
from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response

#: `Server` field of responses that have none.
SERVER_NAME = "radishwind"

#: Fields that frame a body; they are regenerated from the body itself.
_FRAMING = frozenset({"content-length", "transfer-encoding"})

_BODILESS_STATUS = frozenset({204, 304})
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})

#: A length that fits into 64 bits.
_LENGTH = re.compile("[0-9]{1,18}")

#: The statuses of final responses. Others have no meaning in HTTP, and
#: receivers differ in what they take them for.
_FINAL_STATUS = range(200, 600)

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class MalformedHeadError(ValueError):
    """A field contains a line break."""


class Framing(NamedTuple):
    """How the body of a received message is delimited.

    Attributes:
      length: length of the body (bytes); `None` if not stated.
      is_chunked: whether the body is sent in chunks.
      closes_connection: whether the message says `Connection: close`.
      expects_continue: whether the sender waits for 100 (Continue).
      is_unambiguous: whether all receivers interpret the framing alike.
      host_count: number of `Host` fields.
    """

    length: int | None
    is_chunked: bool
    closes_connection: bool
    expects_continue: bool
    is_unambiguous: bool
    host_count: int


def decode_fields(raw: list[tuple[bytes, bytes]]) -> Headers:
    """Decodes field lines; bytes that are not UTF-8 are preserved."""
    return tuple(
        (name.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for name, value in raw
    )


def parse_framing(headers: Headers) -> Framing:
    """Parses what `headers` state about the body and the connection."""
    length: int | None = None
    is_chunked = closes_connection = expects_continue = False
    is_unambiguous = True
    host_count = 0
    for name, value in headers:
        lowered = name.lower()
        if lowered == "content-length":
            is_valid = length is None and _LENGTH.fullmatch(value) is not None
            is_unambiguous = is_unambiguous and is_valid
            length = int(value) if is_valid else 0
        elif lowered == "transfer-encoding":
            is_unambiguous = (
                is_unambiguous and not is_chunked and value.lower() == "chunked"
            )
            is_chunked = True
        elif lowered == "connection":
            tokens = (token.strip() for token in value.lower().split(","))
            closes_connection = closes_connection or "close" in tokens
        elif lowered == "host":
            host_count += 1
        elif lowered == "expect":
            expects_continue = value.lower() == "100-continue"
    return Framing(
        length,
        is_chunked,
        closes_connection,
        expects_continue,
        is_unambiguous and not (is_chunked and length is not None),
        host_count,
    )


def verify_response_head(status: int, headers: Headers) -> Framing:
    """Returns the framing of a final response.

    Raises:
      InvalidResponseError: receivers may differ on where its body ends, or it
        has no status of a final response.
    """
    if status not in _FINAL_STATUS:
        raise InvalidResponseError(
            f"expected the status of a final response, got {status}"
        )
    framing = parse_framing(headers)
    if not framing.is_unambiguous:
        raise InvalidResponseError(
            "expected a chunked body or one with Content-Length"
        )
    return framing


def encode_request_head(request: Request, address: Address) -> bytes:
    """Returns the encoded head of `request`, which frames its body.

    Args:
      request: what is sent.
      address: where to; the `Host` field of a request that has none.

    Raises:
      MalformedHeadError: a field contains a line break.
    """
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    has_host = False
    for name, value in request.headers:
        lowered = name.lower()
        if lowered not in _FRAMING:
            has_host = has_host or lowered == "host"
            lines.append(f"{name}: {value}")
    if not has_host:
        lines.append(f"Host: {address}")
    body = request.body
    if not isinstance(body, bytes):
        lines.append(_framing_line(request.body_bytes))
    elif body or request.method not in _BODILESS_METHODS:
        lines.append(f"Content-Length: {len(body)}")
    return _encode(lines)


def encode_response_head(
    response: Response, *, to_head: bool, accepts_chunks: bool
) -> tuple[bytes, bool]:
    """Returns the encoded head of `response` and whether its body is chunked.

    Args:
      response: what is sent.
      to_head: whether it answers a HEAD request; its `Content-Length` is then
        that of the body which GET would return.
      accepts_chunks: whether the receiver supports chunked encoding.

    Raises:
      MalformedHeadError: a field contains a line break.
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, '')}"]
    stated_length = None
    has_server = False
    for name, value in response.headers:
        lowered = name.lower()
        if lowered == "content-length":
            stated_length = value
        elif lowered != "transfer-encoding":
            has_server = has_server or lowered == "server"
            lines.append(f"{name}: {value}")
    if not has_server:
        lines.append(f"Server: {SERVER_NAME}")
    is_chunked = False
    if to_head or status in _BODILESS_STATUS:
        if stated_length is not None and status != 204:
            lines.append(f"Content-Length: {stated_length}")
    elif isinstance(response.body, bytes):
        lines.append(f"Content-Length: {len(response.body)}")
    elif stated_length is not None:
        lines.append(f"Content-Length: {stated_length}")
    elif accepts_chunks:
        lines.append("Transfer-Encoding: chunked")
        is_chunked = True
    return _encode(lines), is_chunked


def encode_chunk(piece: bytes) -> bytes:
    """Returns `piece` encoded as one chunk."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


#: Ends a chunked body.
LAST_CHUNK = b"0\r\n\r\n"


def has_body(status: int) -> bool:
    """Returns whether a response with `status` may have a body."""
    return status >= 200 and status not in _BODILESS_STATUS


def is_buffered(body: Body) -> bool:
    """Returns whether `body` is held in memory, not streamed."""
    return isinstance(body, bytes)


def _framing_line(length: int | None) -> str:
    if length is None:
        return "Transfer-Encoding: chunked"
    return f"Content-Length: {length}"


def _encode(lines: list[str]) -> bytes:
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise MalformedHeadError("expected fields without line breaks, got one")
    return f"{head}\r\n\r\n".encode("utf-8", "surrogateescape")
