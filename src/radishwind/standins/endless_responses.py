"""Responses that never end, in each part of the grammar of HTTP/1.1."""

from collections.abc import Iterator
import enum
import itertools

#: Size of the pieces in which the endless part is sent (bytes).
PIECE_BYTES = 64 * 1024


class EndlessPart(enum.StrEnum):
    """The part of a response that has no end."""

    REASON = "reason"
    FIELD_NAME = "field-name"
    FIELD_VALUE = "field-value"
    FIELDS = "fields"
    INFORMATIONAL = "informational"
    LENGTH_DIGITS = "length-digits"
    LONG_LENGTH = "long-length"
    PLAIN_BODY = "plain-body"
    CHUNK_SIZE = "chunk-size"
    CHUNK_EXTENSION = "chunk-extension"
    LARGE_CHUNK = "large-chunk"
    CHUNKS = "chunks"
    TINY_CHUNKS = "tiny-chunks"
    TRAILER_NAME = "trailer-name"
    TRAILER_VALUE = "trailer-value"
    TRAILERS = "trailers"


_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LAST_CHUNK = b"0\r\n"


def generate(part: EndlessPart, fields: bytes = b"") -> Iterator[bytes]:
    """Yields the pieces of a response without end.

    Args:
      part: the part that has no end.
      fields: encoded field lines of its head.
    """
    head = _STATUS_LINE + fields
    prefix, unit = _SHAPES[part]
    if part in (EndlessPart.REASON, EndlessPart.INFORMATIONAL):
        yield prefix
    else:
        yield head + prefix
    piece = unit * max(1, PIECE_BYTES // len(unit))
    yield from itertools.repeat(piece)


#: What precedes the endless part, and what it repeats.
_SHAPES: dict[EndlessPart, tuple[bytes, bytes]] = {
    EndlessPart.REASON: (b"HTTP/1.1 200 ", b"r"),
    EndlessPart.FIELD_NAME: (b"", b"n"),
    EndlessPart.FIELD_VALUE: (b"Name: ", b"v"),
    EndlessPart.FIELDS: (b"", b"Name: v\r\n"),
    EndlessPart.INFORMATIONAL: (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    EndlessPart.LENGTH_DIGITS: (b"Content-Length: ", b"0"),
    EndlessPart.LONG_LENGTH: (b"Content-Length: 99999999999999\r\n\r\n", b"b"),
    EndlessPart.PLAIN_BODY: (b"\r\n", b"b"),
    EndlessPart.CHUNK_SIZE: (_CHUNKED, b"0"),
    EndlessPart.CHUNK_EXTENSION: (_CHUNKED + b"1;", b"e"),
    EndlessPart.LARGE_CHUNK: (_CHUNKED + b"fffffffffff\r\n", b"b"),
    EndlessPart.CHUNKS: (_CHUNKED, b"400\r\n" + 1024 * b"b" + b"\r\n"),
    EndlessPart.TINY_CHUNKS: (_CHUNKED, b"1\r\nb\r\n"),
    EndlessPart.TRAILER_NAME: (_CHUNKED + _LAST_CHUNK, b"n"),
    EndlessPart.TRAILER_VALUE: (_CHUNKED + _LAST_CHUNK + b"Name: ", b"v"),
    EndlessPart.TRAILERS: (_CHUNKED + _LAST_CHUNK, b"Name: v\r\n"),
}
