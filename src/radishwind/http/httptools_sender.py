"""`Sender` based on httptools, with a connection pool per address."""

import asyncio
import collections

from radishwind.core.time_limit import TimeLimit
from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.client_connection import ClientConnection
from radishwind.http.client_connection import CloseCounts
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.heads import encode_request_head
from radishwind.http.response_check import ResponseCheck
from radishwind.http.sender import Sender
from radishwind.http.tcp_keepalive import enable_dead_peer_detection
from radishwind.http.tcp_keepalive import KEEPALIVE_S
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response

#: A reused connection that breaks this soon after a request was sent, without
#: any response, was already dropped by the server (s); one that breaks later
#: may have carried the request.
STALE_DETECTION_S = 0.015

#: Smallest limit of the idle time of reusable connections (s).
MIN_IDLE_LIMIT_S = 0.05

#: How long a reduced limit of the idle time applies (s).
IDLE_LIMIT_DURATION_S = 20.0


class _Pool:
    """The connections to one address."""

    def __init__(self) -> None:
        self.idle: list[ClientConnection] = []
        self.open = 0
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        # Until `idle_limit_until` (s, time of the loop), connections that were
        # idle longer than this are not reused (s).
        self.idle_limit_s = float("inf")
        self.idle_limit_until = 0.0

    def max_idle_s(self, now: float) -> float:
        """Returns how long a reusable connection may have been idle (s)."""
        return (
            self.idle_limit_s if now < self.idle_limit_until else float("inf")
        )

    def record_stale(self, idle_s: float, now: float) -> None:
        """Lowers the limit after a stale connection, idle for `idle_s`."""
        current_s = self.max_idle_s(now)
        self.idle_limit_s = max(MIN_IDLE_LIMIT_S, min(current_s, idle_s / 2))
        self.idle_limit_until = now + IDLE_LIMIT_DURATION_S


class HttptoolsSender(Sender):
    """Sends requests with httptools; see `Sender`.

    Some servers drop idle connections without closing them and reset the next
    request on such a connection; whether that request was executed is then
    unknown. After such a reset, connections that were idle for half as long
    are not reused for a while.

    Attributes:
      close_counts: how many connections were closed, by reason.
      opened_count: how many connections were opened.
    """

    def __init__(
        self,
        connections: int,
        keepalive_s: float = KEEPALIVE_S,
        meter: ByteMeter = NO_METER,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Creates a sender.

        Args:
          connections: maximum number of connections to one address.
          keepalive_s: time after which idle connections are closed (s).
          meter: counts the bytes of all connections.
          memory: bounds what all connections hold; by default only those of
            this sender are counted.
        """
        self._memory = memory or ConnectionMemory()
        self._meter = meter
        self._connections = connections
        self._keepalive_s = keepalive_s
        self._pools: dict[Address, _Pool] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._closed = False
        self.close_counts = CloseCounts()
        self.opened_count = 0

    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
    ) -> Response:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _Pool()
        try:
            head = encode_request_head(request, address)
        except UnicodeError as exc:
            raise ConnectFailedError(f"{address!r}: {exc}") from exc
        conn, idle_s = await self._acquire(pool, address, connect_timeout_s)
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            return await conn.exchange(head, request, check)
        except ExchangeBrokenError:
            now = loop.time()
            is_immediate = (
                not conn.has_received and now - started < STALE_DETECTION_S
            )
            if idle_s and is_immediate:
                pool.record_stale(idle_s, now)
            raise

    async def close(self) -> None:
        self._closed = True
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for pool in self._pools.values():
            for conn in pool.idle:
                conn.abort()
            pool.idle.clear()
        self._pools.clear()
        # Lets the loop call `connection_lost` of the connections.
        await asyncio.sleep(0)

    async def _acquire(
        self, pool: _Pool, address: Address, connect_timeout_s: float
    ) -> tuple[ClientConnection, float]:
        """Returns a connection and its idle time (s); 0 for a new connection.

        Raises:
          ConnectFailedError: no connection could be opened.
        """
        while True:
            now = asyncio.get_running_loop().time()
            limit_s = min(self._keepalive_s, pool.max_idle_s(now))
            while pool.idle:
                conn = pool.idle.pop()
                idle_s = now - conn.idle_since
                if conn.is_usable and idle_s < limit_s:
                    return conn, idle_s
                conn.abort()
            if pool.open < self._connections:
                return await self._connect(
                    pool, address, connect_timeout_s
                ), 0.0
            available = asyncio.get_running_loop().create_future()
            pool.waiting.append(available)
            try:
                await available
            except BaseException:
                if available.done() and not available.cancelled():
                    self._wake_next(pool)
                raise

    async def _connect(
        self, pool: _Pool, address: Address, timeout_s: float
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        pool.open += 1
        is_counted = [True]

        def on_released(conn: ClientConnection) -> None:
            if conn.is_usable and not self._closed:
                pool.idle.append(conn)
                self._schedule_sweep()
            elif is_counted:
                is_counted.clear()
                pool.open -= 1
                if conn in pool.idle:
                    pool.idle.remove(conn)
            self._wake_next(pool)

        try:
            with TimeLimit(timeout_s):
                transport, conn = await loop.create_connection(
                    lambda: ClientConnection(
                        on_released,
                        self._meter,
                        self.close_counts,
                        self._memory,
                    ),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError) as exc:
            # A host that can't be encoded for the lookup is a `ValueError`.
            is_counted.clear()
            pool.open -= 1
            self._wake_next(pool)
            raise ConnectFailedError(f"{address}: {exc!r}") from exc
        except BaseException:
            is_counted.clear()
            pool.open -= 1
            self._wake_next(pool)
            raise
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        self.opened_count += 1
        return conn

    def _wake_next(self, pool: _Pool) -> None:
        """Wakes the next task that waits for a connection."""
        while pool.waiting:
            available = pool.waiting.popleft()
            if not available.done():
                available.set_result(None)
                return

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(self._keepalive_s, self._sweep)

    def _sweep(self) -> None:
        """Closes connections that have been idle for `keepalive_s`."""
        self._sweep_timer = None
        now = asyncio.get_running_loop().time()
        has_idle = False
        for pool in self._pools.values():
            for conn in list(pool.idle):
                if now - conn.idle_since >= self._keepalive_s:
                    pool.idle.remove(conn)
                    conn.abort()
            has_idle = has_idle or bool(pool.idle)
        if has_idle:
            self._schedule_sweep()
