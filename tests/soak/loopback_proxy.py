"""A loopback proxy that can delay, reset, or drop the traffic of a link."""

import asyncio
import contextlib
import enum
import random
import socket
import struct

from radishwind.http.types import Address

_CHUNK_BYTES = 65536
_NO_LINGER = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """How a proxy treats the traffic of its link.

    `SILENT` drops the bytes of both directions, `CUT_*` those of one.
    """

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_TO_UPSTREAM = "cut-there"
    CUT_FROM_UPSTREAM = "cut-back"


#: Modes that drop the bytes sent to the upstream, and those sent back.
_MODES_DROPPING_TO_UPSTREAM = frozenset(
    (LinkMode.SILENT, LinkMode.CUT_TO_UPSTREAM)
)
_MODES_DROPPING_FROM_UPSTREAM = frozenset(
    (LinkMode.SILENT, LinkMode.CUT_FROM_UPSTREAM)
)


class LoopbackProxy:
    """Forwards connections and datagrams, subject to its mode.

    Attributes:
      mode: treatment of all connections, open ones too. Once bytes of a
        connection were dropped, nothing more is forwarded in that direction,
        since later bytes would corrupt the stream.
    """

    def __init__(
        self, listen: Address, upstream: Address, rng: random.Random
    ) -> None:
        self._listen = listen
        self._upstream = upstream
        self._rng = rng
        self._mode = LinkMode.OPEN
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def mode(self) -> LinkMode:
        return self._mode

    @mode.setter
    def mode(self, mode: LinkMode) -> None:
        self._mode = mode
        if mode is LinkMode.RESET:
            for writer in list(self._writers):
                _reset_connection(writer)

    async def start(self) -> None:
        """Starts listening for connections and datagrams."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._listen.host, self._listen.port
        )
        loop = asyncio.get_running_loop()
        self._datagram_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramRelay(self),
            local_addr=(self._listen.host, self._listen.port),
        )

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._datagram_transport is not None:
            self._datagram_transport.close()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset_connection(writer)

    def forward_datagram(self, data: bytes) -> None:
        """Forwards a datagram to the upstream, or drops it, by the mode."""
        is_forwarded = self._mode in (LinkMode.OPEN, LinkMode.CUT_FROM_UPSTREAM)
        if is_forwarded and self._datagram_transport is not None:
            upstream = (self._upstream.host, self._upstream.port)
            self._datagram_transport.sendto(data, upstream)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._mode is LinkMode.RESET:
                return
            await self._forward_connection(reader, writer)
        except OSError:
            # The upstream refused the connection: reset that of the client.
            return
        finally:
            self._writers.discard(writer)
            _reset_connection(writer)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self._upstream.host, self._upstream.port
        )
        self._writers.add(upstream_writer)
        tasks = [
            asyncio.create_task(
                self._forward_stream(
                    reader, upstream_writer, _MODES_DROPPING_TO_UPSTREAM
                )
            ),
            asyncio.create_task(
                self._forward_stream(
                    upstream_reader, writer, _MODES_DROPPING_FROM_UPSTREAM
                )
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._writers.discard(upstream_writer)
            upstream_writer.close()

    async def _forward_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_modes: frozenset[LinkMode],
    ) -> None:
        has_dropped = False
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self._mode is LinkMode.DELAY:
                    await asyncio.sleep(0.3 * self._rng.random())
                has_dropped = has_dropped or self._mode in dropping_modes
                if has_dropped:
                    continue
                writer.write(data)
                await writer.drain()
            if has_dropped:
                await asyncio.Event().wait()
            writer.write_eof()


class _DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, proxy: LoopbackProxy) -> None:
        self._proxy = proxy

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._proxy.forward_datagram(data)


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None and not writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()
