"""A server that sends only the beginning of its response."""

import asyncio
from collections.abc import Iterator
import contextlib

from radishwind.http import Address
from tests.support.cutting_proxy import CutEnd
from tests.support.cutting_proxy import reset


class CuttingServer:
    """Answers each request by the first bytes of one response.

    Attributes:
      address: where it listens.
      end: how the connection ends after them.
      size: how many bytes it sends.
    """

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        self.size = len(raw)
        self.end = CutEnd.CLOSE
        self.address = Address("", 0)

    async def __aenter__(self) -> "CuttingServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.raw[: self.size])
            await writer.drain()
            if self.end is CutEnd.RESET:
                reset(writer)
        writer.close()

    def cuts(self) -> Iterator[None]:
        """Sets each size below that of the response, with each end."""
        for size in range(len(self.raw)):
            for end in (CutEnd.CLOSE, CutEnd.RESET):
                self.size, self.end = size, end
                yield


def encode(fields: bytes, body: bytes, *, is_chunked: bool = False) -> bytes:
    """Returns a response of status 200, with a length or in chunks."""
    if is_chunked:
        half = len(body) // 2
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(part), part)
            for part in (body[:half], body[half:])
        )
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        return b"HTTP/1.1 200 OK\r\n" + fields + framing + chunks + b"0\r\n\r\n"
    framing = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 200 OK\r\n" + fields + framing + body
