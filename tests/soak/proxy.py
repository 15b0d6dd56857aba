"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

import asyncio
import contextlib
import enum
import random
import socket
import struct

from radishwind.http.types import Address

_CHUNK_BYTES = 65536
_NO_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to the bytes of a link."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_THERE = "cut-there"
    CUT_BACK = "cut-back"


#: Modes that swallow bytes on the way there, and back.
_SWALLOWS_THERE = frozenset((Mode.SILENT, Mode.CUT_THERE))
_SWALLOWS_BACK = frozenset((Mode.SILENT, Mode.CUT_BACK))


class LoopbackProxy:
    """Passes connections and datagrams on, as its mode says.

    Attributes:
      mode: of every connection, until set anew. A connection that lost bytes
        stays silent in that direction for good.
    """

    def __init__(
        self, listen: Address, upstream: Address, rng: random.Random
    ) -> None:
        self._listen = listen
        self._upstream = upstream
        self._rng = rng
        self._mode = Mode.OPEN
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def mode(self) -> Mode:
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset(writer)

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._serve, self._listen.host, self._listen.port
        )
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _Relay(self),
            local_addr=(self._listen.host, self._listen.port),
        )

    async def close(self) -> None:
        """Ends the listener and every connection."""
        if self._datagrams is not None:
            self._datagrams.close()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    def relay(self, data: bytes) -> None:
        """Passes a datagram on, if the mode lets it through."""
        passes = self._mode in (Mode.OPEN, Mode.CUT_BACK)
        if passes and self._datagrams is not None:
            upstream = (self._upstream.host, self._upstream.port)
            self._datagrams.sendto(data, upstream)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._mode is Mode.RESET:
                return
            await self._pass_on(reader, writer)
        except OSError:
            # The upstream takes no connection: neither does the proxy.
            return
        finally:
            self._writers.discard(writer)
            _reset(writer)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        there_reader, there = await asyncio.open_connection(
            self._upstream.host, self._upstream.port
        )
        self._writers.add(there)
        tasks = [
            asyncio.create_task(self._pipe(reader, there, _SWALLOWS_THERE)),
            asyncio.create_task(
                self._pipe(there_reader, writer, _SWALLOWS_BACK)
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._writers.discard(there)
            there.close()

    async def _pipe(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        swallows: frozenset[Mode],
    ) -> None:
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(0.3 * self._rng.random())
                lost = lost or self._mode in swallows
                if lost:
                    continue
                writer.write(data)
                await writer.drain()
            if lost:
                await asyncio.Event().wait()
            writer.write_eof()


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, proxy: LoopbackProxy) -> None:
        self._proxy = proxy

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._proxy.relay(data)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None and not writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()
