"""One connection of a listener: receives requests and responds in order.

A caller may pipeline requests, that is, send further ones before the first is
answered. Requests that may safely run more than once start at once; the
responses are written in the order of the requests. A response with
`Connection: close` is the last one: requests behind it are not processed, and
their sender has to send them again.
"""

import asyncio
import collections
from collections.abc import Callable
import functools
import math
from typing import cast
from typing import TypeAlias

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.close_watcher import CloseWatcher
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.connection_memory import MemoryHolder
from radishwind.http.connection_memory import REPORT_STEP_BYTES
from radishwind.http.connection_memory import STALLED_RESPONSE_BYTES
from radishwind.http.early_closes import EarlyCloseReason
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import RequestRejectedError
from radishwind.http.exchange import Exchange
from radishwind.http.incoming_body import IncomingBody
from radishwind.http.read_gate import PauseReason
from radishwind.http.read_gate import ReadGate
from radishwind.http.rejections import internal_error_response
from radishwind.http.rejections import out_of_memory_response
from radishwind.http.rejections import rejection_response
from radishwind.http.rejections import sender_too_slow_error
from radishwind.http.request_reader import RequestReader
from radishwind.http.request_reader import UpgradeRequestedError
from radishwind.http.response_writer import ResponseWriter
from radishwind.http.server import Handler
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Request
from radishwind.http.types import Response

#: Returns whether a request may run before the ones ahead of it are answered.
MayRunInParallel: TypeAlias = Callable[[Request], bool]

_BODILESS_METHODS = frozenset({"GET", "HEAD"})


class ServerConnection(asyncio.BufferedProtocol, MemoryHolder):
    """Reads the requests of one connection and responds in order.

    Above the limit of unanswered requests, nothing is read, and what was read
    is not parsed, until enough responses have been accepted by the receiver.

    Attributes:
      has_announced_close: whether no further request is processed; the last
        response says `Connection: close`.
      remote: IP address of the peer.
      waiting_since: since when no request is in progress (s, time of the loop).
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits,
        may_run_in_parallel: MayRunInParallel,
        on_open: Callable[["ServerConnection"], bool],
        on_closed: Callable[["ServerConnection"], None],
        is_crowded: Callable[[], bool],
        meter: ByteMeter = NO_METER,
        memory: ConnectionMemory | None = None,
        close_watcher: CloseWatcher | None = None,
    ) -> None:
        """Creates the protocol of a connection that is not open yet.

        Args:
          handler: answers requests.
          limits: of the listener.
          may_run_in_parallel: whether a pipelined request may run before the
            ones ahead of it are answered.
          on_open: called when the connection opens; returns whether it is
            accepted.
          on_closed: called once the connection is lost.
          is_crowded: returns whether the listener has so many connections that
            each response closes its connection.
          meter: counts the bytes of the connection.
          memory: bounds what all connections hold; by default only this one is
            counted.
          close_watcher: notices that the peer closes while nothing is read; by
            default only this connection is watched.
        """
        self._meter = meter
        self._memory = memory or ConnectionMemory()
        self._handler = handler
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel
        self._on_open = on_open
        self._on_closed = on_closed
        self._is_crowded = is_crowded
        self._close_watcher = close_watcher or CloseWatcher()
        self._read_buffer = _shared_read_buffer(limits.max_read_bytes)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._reader: RequestReader
        self._writer: ResponseWriter
        self._gate: ReadGate
        self.remote = ""
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._accepts_requests = True
        self._is_lost = False
        self._is_parsing = False
        self._is_writing = False
        # What the memory of all connections knows of this one (bytes).
        self._reported_bytes = 0
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self.has_announced_close = False
        self.waiting_since = self._loop.time()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return bool(self._exchanges)

    @property
    def is_discarding_body(self) -> bool:
        """Whether the rest of a body is read after its response."""
        reader = self._reader
        return (
            not self._exchanges
            and reader.is_in_body
            and not reader.is_buffering_body
        )

    @property
    def has_unfinished_head(self) -> bool:
        """Whether a part of the head of a request was received."""
        return self._reader.has_unfinished_head

    def abort(self) -> None:
        """Closes the connection at once."""
        if not self._is_lost:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A stream transport; uvloop's class does not derive from
        # `asyncio.Transport`.
        self._transport = cast("asyncio.Transport", transport)
        peer = transport.get_extra_info("peername")
        self.remote = peer[0] if peer else ""
        self._gate = ReadGate(self._transport, self._on_reading_changed)
        self._reader = RequestReader(
            self._transport,
            self.remote,
            self._limits,
            self._on_request,
            self._gate,
        )
        self._writer = ResponseWriter(
            self._transport,
            self._limits.write_timeout_s,
            self._on_stalled,
            self._meter,
        )
        if not self._on_open(self):
            self._transport.abort()
            return
        self._set_timeout(self._limits.idle_timeout_s)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(self._read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, up to the limit of unanswered requests."""
        self._meter.record_received(len(data))
        self._reader.receive(data)
        self._parse()

    def _parse(self) -> None:
        """Parses what was received, up to the limit of unanswered requests."""
        if self._is_lost or self._is_parsing:
            return
        self._is_parsing = True
        reader = self._reader
        was_in_body = reader.is_in_body
        try:
            while reader.unparsed_bytes and self._may_parse():
                reader.parse()
        except RequestRejectedError as exc:
            self._reject(exc)
        except UpgradeRequestedError:
            # No other protocol is supported: the request is answered as HTTP.
            self._announce_close()
        finally:
            self._is_parsing = False
        if not self._accepts_requests and not reader.is_in_body:
            reader.discard_unparsed()
        if reader.is_in_body:
            self._set_timeout(self._limits.body_timeout_s)
        elif was_in_body and not self._exchanges:
            # The request was answered before its body ended; the next request
            # may follow.
            self._set_timeout(self._limits.idle_timeout_s)
        self._update_backlog()

    def _may_parse(self) -> bool:
        """Returns whether received bytes may be parsed now."""
        # After the last request, only the rest of its body is read.
        if not self._accepts_requests and not self._reader.is_in_body:
            return False
        if self._is_lost or self._transport.is_closing():
            return False
        # A body in progress belongs to a request that counts already.
        return (
            len(self._exchanges) < self._limits.max_unanswered
            or self._reader.is_in_body
        )

    def _update_backlog(self) -> None:
        """Pauses reading while requests wait; records the memory held."""
        if (
            self._reader.unparsed_bytes
            or len(self._exchanges) >= self._limits.max_unanswered
        ):
            self._gate.pause(PauseReason.BACKLOG)
        else:
            self._gate.resume(PauseReason.BACKLOG)
        self._update_memory()

    def _update_memory(self) -> None:
        if self._is_lost or self._transport.is_closing():
            return
        held = self._reader.held_bytes + self._transport.get_write_buffer_size()
        for position, exchange in enumerate(self._exchanges):
            held += exchange.held_bytes
            # Only the first response in order is passed on.
            is_stalled = position > 0 or not self._writer.is_writable
            if is_stalled and exchange.has_streamed_response:
                held += STALLED_RESPONSE_BYTES
        if abs(held - self._reported_bytes) >= REPORT_STEP_BYTES:
            self._reported_bytes = held
            self._memory.update(self, held)

    def _on_stalled(self) -> None:
        self._memory.closes.record(EarlyCloseReason.STALLED, self.remote)

    def close_to_free_memory(self) -> str:
        if self._drop_body():
            return self.remote
        self._transport.abort()
        # Other connections may receive more before this one counts as lost.
        self._reader.end_body(
            ExchangeBrokenError("closed to free the memory of the connection")
        )
        self._reader.close()
        return self.remote

    def _drop_body(self) -> bool:
        """Drops the body of the only request, so that it can be answered.

        Nothing was sent on of a body that nobody has begun to read, and its
        handler refuses the request as not run. Otherwise the outcome of the
        request is unknown.

        Returns:
          Whether there was such a body; the rest of it is discarded.
        """
        if len(self._exchanges) != 1:
            return False
        exchange = self._exchanges[0]
        body, task = exchange.body, exchange.task
        if body is None or body.is_dropped:
            return False
        if task is None or exchange.response is not None:
            return False
        is_unread = body.is_unread
        body.drop(ExchangeBrokenError("dropped to free memory"))
        self._stop_reading()
        self._reported_bytes = 0
        exchange.closes_connection = True
        if not is_unread:
            task.cancel()
            exchange.response = out_of_memory_response()
            exchange.task = self._loop.create_task(self._write_ready())
        return True

    def _on_reading_changed(self, is_paused: bool) -> None:
        """Watches for the end of the connection while nothing is read."""
        if is_paused:
            self._close_watcher.watch(self._transport, self.abort)
        else:
            self._close_watcher.unwatch(self._transport)

    def eof_received(self) -> None:
        """Lets the transport close itself once the caller has disconnected."""

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._accepts_requests = False
        self._close_watcher.unwatch(self._transport)
        self._memory.release(self)
        if self._timer is not None:
            self._timer.cancel()
        self._reader.end_body(
            ExchangeBrokenError(f"connection lost within the request: {exc!r}")
        )
        self._reader.close()
        self._writer.set_lost()
        for exchange in self._exchanges:
            exchange.cancel()
        self._exchanges.clear()
        self._on_closed(self)

    def pause_writing(self) -> None:
        self._writer.pause()
        self._update_memory()

    def resume_writing(self) -> None:
        self._writer.resume()
        self._update_memory()

    # Requests.

    def _on_request(
        self,
        request: Request,
        closes_connection: bool,
        body: IncomingBody | None,
    ) -> None:
        """Queues a request, and starts it if it need not wait."""
        exchange = Exchange(request, closes_connection, body)
        exchange.accepts_chunks = self._reader.accepts_chunks
        exchange.head_bytes = self._reader.head_bytes
        self._exchanges.append(exchange)
        if body is None:
            self._deadline = math.inf
        if closes_connection:
            self._stop_reading()
        self._start_eligible()

    def _start_eligible(self) -> None:
        """Starts the first request, and those that may run in parallel."""
        for position, exchange in enumerate(self._exchanges):
            if exchange.task is None and exchange.response is None:
                if position and not self._may_start(position, exchange):
                    return
                exchange.task = self._loop.create_task(self._run(exchange))
            if position >= self._limits.max_pipelined:
                return
            if len(self._exchanges) > 1 and not self._may_overlap(exchange):
                return

    def _may_start(self, position: int, exchange: Exchange) -> bool:
        if (
            position > self._limits.max_pipelined
            or self.has_announced_close
            or exchange.closes_connection
        ):
            return False
        return self._may_overlap(exchange)

    def _may_overlap(self, exchange: Exchange) -> bool:
        """Returns whether other requests may run at the same time."""
        if exchange.may_overlap is None:
            exchange.may_overlap = (
                exchange.request.method in _BODILESS_METHODS
                and exchange.response is None
                and self._may_run_in_parallel(exchange.request)
            )
        return exchange.may_overlap

    async def _run(self, exchange: Exchange) -> None:
        try:
            exchange.response = await self._handler(exchange.request)
        except RequestRejectedError as exc:
            exchange.response, exchange.closes_connection = (
                rejection_response(exc),
                True,
            )
        except Exception:  # Logged by the handler.
            exchange.response = internal_error_response()
            exchange.closes_connection = (
                exchange.closes_connection or len(self._exchanges) == 1
            )
        if self._exchanges and self._exchanges[0] is exchange:
            await self._write_ready()
        else:
            self._update_memory()

    # Responses.

    async def _write_ready(self) -> None:
        """Writes the responses that are next in order."""
        if self._is_writing:
            return
        self._is_writing = True
        try:
            while self._exchanges and self._exchanges[0].response is not None:
                exchange = self._exchanges[0]
                if not await self._write(exchange, exchange.response):
                    return
                self._exchanges.popleft()
                self._after_response(exchange)
                self._start_eligible()
                if self._reader.unparsed_bytes:
                    self._parse()
                else:
                    self._update_backlog()
        finally:
            self._is_writing = False

    async def _write(
        self, exchange: Exchange, response: Response | None
    ) -> bool:
        """Returns whether the response was written completely."""
        assert response is not None, "the response must be ready"
        return await self._writer.write(
            self._with_connection_field(exchange, response),
            to_head=exchange.request.method == "HEAD",
            accepts_chunks=exchange.accepts_chunks,
        )

    def _with_connection_field(
        self, exchange: Exchange, response: Response
    ) -> Response:
        """Returns the response; only the last one says `Connection: close`."""
        closes = any(_is_close(*item) for item in response.headers)
        closes = (
            closes or exchange.closes_connection or self.has_announced_close
        )
        if not closes and not self._is_crowded():
            return response
        kept = tuple(x for x in response.headers if not _is_close(*x))
        self._announce_close()
        started = [
            other
            for other in self._exchanges
            if other is not exchange and other.task is not None
        ]
        if not started:
            kept += (("Connection", "close"),)
        return Response(
            response.status, kept, response.body, response.body_bytes
        )

    def _announce_close(self) -> None:
        """Stops reading requests; drops queued ones that have not started."""
        self.has_announced_close = True
        self._stop_reading()
        while len(self._exchanges) > 1 and self._exchanges[-1].task is None:
            if self._exchanges[-1].response is not None:
                break
            self._exchanges.pop()

    def _after_response(self, exchange: Exchange) -> None:
        """Waits for the next request or closes the connection."""
        if self._exchanges:
            return
        if self._is_lost:
            return
        self.waiting_since = self._loop.time()
        if self.has_announced_close or exchange.closes_connection:
            self._close_gracefully(exchange)
            return
        if exchange.body is not None and not exchange.body.is_complete:
            # The rest of the body is read and discarded for a limited time.
            exchange.body.discard()
            self._set_timeout(self._limits.linger_s)
            return
        self._set_timeout(self._limits.idle_timeout_s)

    def _close_gracefully(self, exchange: Exchange) -> None:
        """Ends a connection whose last response was written.

        The caller closes first: closing here could reset the connection while
        the caller still reads the response.
        """
        self._stop_reading()
        self.has_announced_close = True
        self._reader.discard_body()
        if not exchange.accepts_chunks:
            # The end of the connection delimits the body of this response.
            self._transport.close()
            return
        self._set_timeout(self._limits.linger_s)

    def _reject(self, exc: RequestRejectedError) -> None:
        """Queues an error response and stops reading."""
        self._stop_reading()
        if self._reader.end_body(exc):
            # The handler gets the error from the body and responds.
            return
        exchange = Exchange(Request("GET", "/"), True, None)
        exchange.response = rejection_response(exc)
        self._exchanges.append(exchange)
        if self._exchanges[0] is exchange:
            exchange.task = self._loop.create_task(self._write_ready())

    def _stop_reading(self) -> None:
        self._accepts_requests = False
        self._reader.stop()

    # Timeouts.

    def _set_timeout(self, timeout_s: float) -> None:
        """Sets the time (s) after which the current wait ends.

        Each connection has one timer, which is re-armed when it fires:
        cancelling and creating a timer for each request would cost more than
        all other timeout handling here.
        """
        self._deadline = self._loop.time() + timeout_s
        if self._timer is None:
            self._timer = self._loop.call_later(timeout_s, self._on_timer)
        elif self._timer.when() > self._deadline + _TIMER_SLACK_S:
            self._timer.cancel()
            self._timer = self._loop.call_later(timeout_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        remaining_s = self._deadline - self._loop.time()
        if remaining_s <= 0 and self._gate.is_paused:
            # Nothing can arrive, so that the sender is not late.
            self._set_timeout(self._limits.body_timeout_s)
            return
        if remaining_s > 0:
            delay_s = min(remaining_s, self._limits.idle_timeout_s)
            self._timer = self._loop.call_later(delay_s, self._on_timer)
            return
        reader = self._reader
        if reader.is_buffering_body or (reader.is_in_body and self._exchanges):
            self._reject(sender_too_slow_error(self._limits))
        elif not self._exchanges:
            self._transport.abort()


#: A timer that fires at most this much after its deadline is not re-armed (s).
_TIMER_SLACK_S = 0.01


@functools.cache
def _shared_read_buffer(size: int) -> bytearray:
    """Returns the buffer of all connections, which copy what they read."""
    return bytearray(size)


def _is_close(name: str, value: str) -> bool:
    return name.lower() == "connection" and value.lower() == "close"
