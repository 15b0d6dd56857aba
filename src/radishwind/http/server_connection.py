"""One connection of a listener: requests in, answers out, in order.

A caller may send further requests before the first one is answered. Those that
may run more than once begin at once; each answer waits for its turn. An answer
that closes the connection is the last one: what stands behind it is not read,
and its sender sends it again.
"""

import asyncio
import collections
from collections.abc import Callable
import math
from typing import cast
from typing import TypeAlias

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import RequestRejectedError
from radishwind.http.incoming_body import IncomingBody
from radishwind.http.rejections import failed
from radishwind.http.rejections import rejected
from radishwind.http.rejections import sender_too_slow_error
from radishwind.http.request_reader import RequestReader
from radishwind.http.request_reader import UpgradeRequestedError
from radishwind.http.response_writer import ResponseWriter
from radishwind.http.server import Handler
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import abort_body
from radishwind.http.types import Request
from radishwind.http.types import Response

#: Returns whether a request may run before the ones ahead of it are answered.
MayRunInParallel: TypeAlias = Callable[[Request], bool]

_BODILESS_METHODS = frozenset({"GET", "HEAD"})

#: Requests read of one connection that wait; more are read later.
_MOST_WAITING = 16


class _Turn:
    """A request and the answer that it will get, in the order of arrival."""

    __slots__ = (
        "body",
        "chunks",
        "closes",
        "is_read",
        "request",
        "response",
        "task",
    )

    def __init__(
        self, request: Request, closes: bool, body: IncomingBody | None
    ) -> None:
        self.request = request
        # Whether its sender asks for no more on this connection.
        self.closes = closes
        # Its body, where that is still arriving.
        self.body = body
        # Whether its sender reads an answer in chunks.
        self.chunks = True
        # Whether others may run beside it; asked for when that matters.
        self.is_read: bool | None = None
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class ServerConnection(asyncio.Protocol):
    """Reads requests of one connection and answers them in order.

    Attributes:
      has_announced_close: whether its last answer said that it closes.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits,
        may_run_in_parallel: MayRunInParallel,
        opened: Callable[["ServerConnection"], bool],
        closed: Callable[["ServerConnection"], None],
        is_crowded: Callable[[], bool],
        meter: ByteMeter = NO_METER,
    ) -> None:
        """Makes a connection that is not made yet.

        Args:
          handler: answers requests.
          limits: of the listener.
          may_run_in_parallel: decides which requests need not wait.
          opened: takes the connection; returns whether it may stay.
          closed: called once it is lost.
          is_crowded: returns whether the listener has connections enough, so
            that each answer is the last one on its connection.
          meter: counts its bytes.
        """
        self._meter = meter
        self._handler = handler
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel
        self._opened = opened
        self._closed = closed
        self._is_crowded = is_crowded
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._reader: RequestReader
        self._writer: ResponseWriter
        self._turns: collections.deque[_Turn] = collections.deque()
        self._reads = True
        self._reading = True
        self._lost = False
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self.has_announced_close = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return bool(self._turns)

    def abort(self) -> None:
        """Closes the connection at once."""
        if not self._lost:
            self._transport.abort()

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A stream's; uvloop's own type is not derived from it.
        self._transport = cast("asyncio.Transport", transport)
        peer = transport.get_extra_info("peername")
        remote = peer[0] if peer else ""
        self._reader = RequestReader(
            self._transport, remote, self._limits, self._deliver
        )
        self._writer = ResponseWriter(self._transport, self._meter)
        if not self._opened(self):
            self._transport.abort()
            return
        self._expire_in(self._limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        self._meter.record_received(len(data))
        reader = self._reader
        # The body of the last request is read, and nothing behind it.
        if not self._reads and not reader.is_in_body:
            return
        was_in_body = reader.is_in_body
        try:
            reader.feed(data)
        except RequestRejectedError as exc:
            self._reject(exc)
        except UpgradeRequestedError:
            # Nothing else is spoken here: the request is answered as it is.
            self._stop_reading()
        if reader.is_in_body:
            self._expire_in(self._limits.body_timeout_s)
        elif was_in_body and not self._turns:
            # It was answered before its end; the next one may come.
            self._expire_in(self._limits.idle_timeout_s)

    def eof_received(self) -> None:
        """Takes that the caller has left; the transport closes by itself."""

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._reads = False
        if self._timer is not None:
            self._timer.cancel()
        self._reader.end_body(ExchangeBrokenError(f"request cut: {exc!r}"))
        self._writer.lose()
        for turn in self._turns:
            _give_up(turn)
        self._turns.clear()
        self._closed(self)

    def pause_writing(self) -> None:
        self._writer.pause()

    def resume_writing(self) -> None:
        self._writer.resume()

    # Requests.

    def _deliver(
        self, request: Request, closes: bool, body: IncomingBody | None
    ) -> None:
        """Gives a request its turn; begins it where it need not wait."""
        turn = _Turn(request, closes, body)
        turn.chunks = self._reader.takes_chunks
        self._turns.append(turn)
        if body is None:
            self._deadline = math.inf
        if closes:
            self._read_no_more()
        if len(self._turns) > _MOST_WAITING and self._reading:
            self._reading = False
            self._transport.pause_reading()
        self._advance()

    def _advance(self) -> None:
        """Begins those that may begin: the first, and reads behind reads."""
        for place, turn in enumerate(self._turns):
            if turn.task is None and turn.response is None:
                if place and not self._may_begin(place, turn):
                    return
                turn.task = self._loop.create_task(self._run(turn))
            if place >= self._limits.max_pipelined:
                return
            if len(self._turns) > 1 and not self._is_read(turn):
                return

    def _may_begin(self, place: int, turn: _Turn) -> bool:
        if (
            place > self._limits.max_pipelined
            or self.has_announced_close
            or turn.closes
        ):
            return False
        return self._is_read(turn)

    def _is_read(self, turn: _Turn) -> bool:
        """Returns whether others may run beside the request of `turn`."""
        if turn.is_read is None:
            turn.is_read = (
                turn.request.method in _BODILESS_METHODS
                and turn.response is None
                and self._may_run_in_parallel(turn.request)
            )
        return turn.is_read

    async def _run(self, turn: _Turn) -> None:
        try:
            turn.response = await self._handler(turn.request)
        except RequestRejectedError as exc:
            turn.response, turn.closes = rejected(exc), True
        except Exception:  # The handler has logged it.
            turn.response = failed()
            turn.closes = turn.closes or len(self._turns) == 1
        if self._turns and self._turns[0] is turn:
            await self._write_due()

    # Answers.

    async def _write_due(self) -> None:
        """Writes the answers whose turn it is."""
        while self._turns and self._turns[0].response is not None:
            turn = self._turns[0]
            if not await self._write(turn, turn.response):
                return
            self._turns.popleft()
            self._after(turn)
            if self._reads and not self._reading:
                self._reading = True
                self._transport.resume_reading()
            self._advance()

    async def _write(self, turn: _Turn, response: Response | None) -> bool:
        """Returns whether the answer was written to its end."""
        assert response is not None, "an answer that is due"
        return await self._writer.write(
            self._in_order(turn, response),
            to_head=turn.request.method == "HEAD",
            chunks=turn.chunks,
        )

    def _in_order(self, turn: _Turn, response: Response) -> Response:
        """Returns the answer whose turn it is; only the last one closes."""
        closes = any(_closes(*item) for item in response.headers)
        closes = closes or turn.closes or self.has_announced_close
        if not closes and not self._is_crowded():
            return response
        kept = tuple(x for x in response.headers if not _closes(*x))
        self._stop_reading()
        begun = [t for t in self._turns if t is not turn and t.task is not None]
        if not begun:
            kept += (("Connection", "close"),)
        return Response(
            response.status, kept, response.body, response.body_bytes
        )

    def _stop_reading(self) -> None:
        """Reads no further request; what waits and has not begun is dropped."""
        self.has_announced_close = True
        self._read_no_more()
        while len(self._turns) > 1 and self._turns[-1].task is None:
            if self._turns[-1].response is not None:
                break
            self._turns.pop()

    def _after(self, turn: _Turn) -> None:
        """Looks what comes after an answer: the next request, or the end."""
        if self._turns:
            return
        if self._lost:
            return
        if self.has_announced_close or turn.closes:
            self._finish(turn)
            return
        if turn.body is not None and not turn.body.complete:
            # What is still sent of it is read and thrown away for a while.
            turn.body.discard()
            self._expire_in(self._limits.linger_s)
            return
        self._expire_in(self._limits.idle_timeout_s)

    def _finish(self, turn: _Turn) -> None:
        """Ends a connection whose last answer is written.

        The caller closes; closing first could reset what it still reads.
        """
        self._read_no_more()
        self.has_announced_close = True
        self._reader.discard_body()
        if not turn.chunks:
            # Nothing but the end of the connection ends such an answer.
            self._transport.close()
            return
        self._expire_in(self._limits.linger_s)

    def _reject(self, exc: RequestRejectedError) -> None:
        """Tells what cannot be taken in its place, and reads no more."""
        self._read_no_more()
        if self._reader.end_body(exc):
            # Its handler gets the error and answers.
            return
        turn = _Turn(Request("GET", "/"), True, None)
        turn.response = rejected(exc)
        self._turns.append(turn)
        if self._turns[0] is turn:
            turn.task = self._loop.create_task(self._write_due())

    def _read_no_more(self) -> None:
        self._reads = False
        self._reader.stop()

    # Time.

    def _expire_in(self, for_s: float) -> None:
        """Ends what is waited for in `for_s` (s).

        One timer a connection that is set anew when it fires: to cancel and
        make one each request costs more than all else that times do here.
        """
        self._deadline = self._loop.time() + for_s
        if self._timer is None:
            self._timer = self._loop.call_later(for_s, self._expire)
        elif self._timer.when() > self._deadline + _TIMER_SLACK_S:
            self._timer.cancel()
            self._timer = self._loop.call_later(for_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        left_s = self._deadline - self._loop.time()
        if left_s > 0:
            later_s = min(left_s, self._limits.idle_timeout_s)
            self._timer = self._loop.call_later(later_s, self._expire)
            return
        reader = self._reader
        if reader.is_buffering_body or (reader.is_in_body and self._turns):
            self._reject(sender_too_slow_error(self._limits))
        elif not self._turns:
            self._transport.abort()


#: A timer that fires this much later than wanted is left as it is (s).
_TIMER_SLACK_S = 0.01


def _give_up(turn: _Turn) -> None:
    """Cancels a request; an answer nobody will read gives its slot back."""
    if turn.task is not None:
        turn.task.cancel()
    if turn.response is not None:
        abort_body(turn.response.body)


def _closes(name: str, value: str) -> bool:
    return name.lower() == "connection" and value.lower() == "close"
