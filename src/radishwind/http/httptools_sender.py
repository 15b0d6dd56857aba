"""`Sender` over httptools: connections kept warm, an exchange on each."""

import asyncio
import collections

from radishwind.core.time_limit import TimeLimit
from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.client_connection import ClientConnection
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.heads import encode_request_head
from radishwind.http.sender import Sender
from radishwind.http.tcp_keepalive import enable_dead_peer_detection
from radishwind.http.tcp_keepalive import KEEPALIVE_S
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response

#: A connection that breaks so soon after a request was sent was forgotten (s);
#: one that breaks later may have carried it.
STALE_DETECTION_S = 0.015

#: The least rest after which a connection may still be used again (s).
MIN_IDLE_LIMIT_S = 0.05

#: How long the limit of the idle time applies after a stale connection (s).
IDLE_LIMIT_DURATION_S = 20.0


class _Pool:
    """The connections to one address."""

    def __init__(self) -> None:
        self.idle: list[ClientConnection] = []
        self.open = 0
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        # Connections that rested longer are not used before `idle_limit_until`
        # (monotonic s).
        self.idle_limit_s = float("inf")
        self.idle_limit_until = 0.0

    def max_idle_s(self, now: float) -> float:
        """Returns how long a connection may have rested to be used again."""
        return (
            self.idle_limit_s if now < self.idle_limit_until else float("inf")
        )

    def record_stale(self, idle_s: float, now: float) -> None:
        """Takes that a connection which rested was gone unsaid."""
        known_s = self.max_idle_s(now)
        self.idle_limit_s = max(MIN_IDLE_LIMIT_S, min(known_s, idle_s / 2))
        self.idle_limit_until = now + IDLE_LIMIT_DURATION_S


class HttptoolsSender(Sender):
    """Sends by httptools; see `Sender` for what it promises.

    A server that forgets connections which rested resets the next request on
    one of them, and whether that ran is not known. So where one did, those that
    rested half as long are not used again for a while.
    """

    def __init__(
        self,
        connections: int,
        keepalive_s: float = KEEPALIVE_S,
        meter: ByteMeter = NO_METER,
    ) -> None:
        """Makes a sender.

        Args:
          connections: connections to one address at most.
          keepalive_s: idle connections are closed after this time (s).
          meter: counts the bytes of all connections.
        """
        self._meter = meter
        self._connections = connections
        self._keepalive_s = keepalive_s
        self._pools: dict[Address, _Pool] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._closed = False

    async def send(
        self, address: Address, request: Request, connect_timeout_s: float
    ) -> Response:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _Pool()
        head = encode_request_head(request, address)
        conn, idle_s = await self._take(pool, address, connect_timeout_s)
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            return await conn.exchange(head, request)
        except ExchangeBrokenError:
            now = loop.time()
            at_once = not conn.answered and now - began < STALE_DETECTION_S
            if idle_s and at_once:
                pool.record_stale(idle_s, now)
            raise

    async def close(self) -> None:
        self._closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
        for pool in self._pools.values():
            for conn in pool.idle:
                conn.abort()
            pool.idle.clear()
        self._pools.clear()
        # Lets the loop tell the connections that they are closed.
        await asyncio.sleep(0)

    async def _take(
        self, pool: _Pool, address: Address, connect_timeout_s: float
    ) -> tuple[ClientConnection, float]:
        """Returns a connection and how long it rested; a new one did not (s).

        Raises:
          ConnectFailedError: none could be made.
        """
        while True:
            now = asyncio.get_running_loop().time()
            most_s = min(self._keepalive_s, pool.max_idle_s(now))
            while pool.idle:
                conn = pool.idle.pop()
                idle_s = now - conn.idle_since
                if conn.usable and idle_s < most_s:
                    return conn, idle_s
                conn.abort()
            if pool.open < self._connections:
                return await self._connect(
                    pool, address, connect_timeout_s
                ), 0.0
            turn = asyncio.get_running_loop().create_future()
            pool.waiting.append(turn)
            try:
                await turn
            except BaseException:
                if turn.done() and not turn.cancelled():
                    self._let_next(pool)
                raise

    async def _connect(
        self, pool: _Pool, address: Address, timeout_s: float
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        pool.open += 1
        counted = [True]

        def released(conn: ClientConnection) -> None:
            if conn.usable and not self._closed:
                pool.idle.append(conn)
                self._sweep_later()
            elif counted:
                counted.clear()
                pool.open -= 1
                if conn in pool.idle:
                    pool.idle.remove(conn)
            self._let_next(pool)

        try:
            with TimeLimit(timeout_s):
                transport, conn = await loop.create_connection(
                    lambda: ClientConnection(released, self._meter),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as exc:
            counted.clear()
            pool.open -= 1
            self._let_next(pool)
            raise ConnectFailedError(f"{address}: {exc!r}") from exc
        except BaseException:
            counted.clear()
            pool.open -= 1
            self._let_next(pool)
            raise
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        return conn

    def _let_next(self, pool: _Pool) -> None:
        """Lets the next one that waits for a connection look again."""
        while pool.waiting:
            turn = pool.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def _sweep_later(self) -> None:
        if self._sweeper is None:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(self._keepalive_s, self._sweep)

    def _sweep(self) -> None:
        """Closes connections that rested long enough."""
        self._sweeper = None
        now = asyncio.get_running_loop().time()
        kept = False
        for pool in self._pools.values():
            for conn in list(pool.idle):
                if now - conn.idle_since >= self._keepalive_s:
                    pool.idle.remove(conn)
                    conn.abort()
            kept = kept or bool(pool.idle)
        if kept:
            self._sweep_later()
