"""`Server` based on httptools."""

import asyncio

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.close_watcher import CloseWatcher
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.early_closes import EarlyCloseReason
from radishwind.http.server import Handler
from radishwind.http.server import Server
from radishwind.http.server_connection import MayRunInParallel
from radishwind.http.server_connection import ServerConnection
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Address
from radishwind.http.types import Request

_BACKLOG = 1024

#: How often `close` checks for requests in progress (s).
_CLOSE_CHECK_INTERVAL_S = 0.02


class HttptoolsServer(Server):
    """Receives requests with httptools; see `Server`."""

    def __init__(
        self,
        limits: ServerLimits,
        may_run_in_parallel: MayRunInParallel | None = None,
        meter: ByteMeter = NO_METER,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Creates a listener.

        Args:
          limits: limits of connections and requests.
          may_run_in_parallel: whether a pipelined request may run before the
            ones ahead of it are answered; by default none may.
          meter: counts the bytes of all connections.
          memory: bounds what the connections of all listeners hold; by default
            only those of this one are counted.
        """
        self._meter = meter
        self._memory = memory or ConnectionMemory()
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel or _never
        self._connections: set[ServerConnection] = set()
        self._close_watcher = CloseWatcher()
        self._server: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, handler: Handler, listen: Address) -> Address:
        def make_connection() -> ServerConnection:
            return ServerConnection(
                handler=handler,
                limits=self._limits,
                may_run_in_parallel=self._may_run_in_parallel,
                on_open=self._on_open,
                on_closed=self._connections.discard,
                is_crowded=self._is_crowded,
                close_watcher=self._close_watcher,
                meter=self._meter,
                memory=self._memory,
            )

        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            make_connection, listen.host, listen.port, backlog=_BACKLOG
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def close(self, grace_s: float) -> None:
        await self.stop_listening()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        for conn in [c for c in self._connections if not _is_in_use(c)]:
            conn.abort()
        while self._is_busy() and loop.time() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(_CLOSE_CHECK_INTERVAL_S)
        for conn in list(self._connections):
            conn.abort()
        # Lets the loop call `connection_lost` of the connections.
        await asyncio.sleep(0)

    def _is_busy(self) -> bool:
        return any(_is_in_use(conn) for conn in self._connections)

    def _on_open(self, conn: ServerConnection) -> bool:
        """Accepts a connection unless all of the limit have requests.

        Otherwise the connection that has waited longest for a request makes
        room, at first of those that began one and don't end it.
        """
        if len(self._connections) >= self._limits.max_connections:
            waiting = [c for c in self._connections if not c.is_busy]
            if not waiting:
                return False
            longest = min(
                waiting,
                key=lambda c: (not c.has_unfinished_head, c.waiting_since),
            )
            self._memory.closes.record(
                EarlyCloseReason.REPLACED, longest.remote
            )
            longest.abort()
            self._connections.discard(longest)
        self._connections.add(conn)
        return True

    def _is_crowded(self) -> bool:
        threshold = self._limits.max_connections * self._limits.crowded_fraction
        return len(self._connections) > threshold


def _is_in_use(conn: ServerConnection) -> bool:
    """Returns whether closing `conn` may cost its sender a response.

    A sender that still sends its body may not have read the response yet.
    """
    return conn.is_busy or conn.is_discarding_body


def _never(request: Request) -> bool:
    return False
