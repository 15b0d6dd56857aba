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

import httptools

from radishwind.core.codes import ResultCode
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import RequestRejectedError
from radishwind.http.errors import RequestTooLargeError
from radishwind.http.errors import SenderTooSlowError
from radishwind.http.heads import chunk
from radishwind.http.heads import decode_fields
from radishwind.http.heads import Framing
from radishwind.http.heads import framing_of
from radishwind.http.heads import LAST_CHUNK
from radishwind.http.heads import response_head
from radishwind.http.incoming import IncomingBody
from radishwind.http.limits import ServerLimits
from radishwind.http.problems import problem_body
from radishwind.http.server import Handler
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

#: Returns whether a request may run before the ones ahead of it are answered.
MayRunAhead: TypeAlias = Callable[[Request], bool]

_VERSIONS = frozenset({"1.0", "1.1"})
_BODILESS_METHODS = frozenset({"GET", "HEAD"})

#: The parser takes it for a protocol that is none of ours.
_FOREIGN_METHODS = frozenset({"SOURCE"})

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

#: Requests read of one connection that wait; more are read later.
_MOST_WAITING = 16


class _Turn:
    """A request and the answer that it will get, in the order of arrival."""

    __slots__ = ("body", "closes", "is_read", "request", "response", "task")

    def __init__(self, request: Request, closes: bool) -> None:
        self.request = request
        # Whether its sender asks for no more on this connection.
        self.closes = closes
        self.body: IncomingBody | None = None
        # Whether others may run beside it; asked for when that matters.
        self.is_read: bool | None = None
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class ServerConnection(asyncio.Protocol):
    """Reads requests of one connection and answers them in order.

    Attributes:
      told_to_close: whether its last answer said that it closes.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits,
        may_run_ahead: MayRunAhead,
        opened: Callable[["ServerConnection"], bool],
        closed: Callable[["ServerConnection"], None],
        is_crowded: Callable[[], bool],
    ) -> None:
        """Makes a connection that is not made yet.

        Args:
          handler: answers requests.
          limits: of the listener.
          may_run_ahead: decides which requests need not wait.
          opened: takes the connection; returns whether it may stay.
          closed: called once it is lost.
          is_crowded: returns whether the listener has connections enough, so
            that each answer is the last one on its connection.
        """
        self._handler = handler
        self._limits = limits
        self._may_run_ahead = may_run_ahead
        self._opened = opened
        self._closed = closed
        self._is_crowded = is_crowded
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._turns: collections.deque[_Turn] = collections.deque()
        self._remote = ""
        self._url = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._in_head = True
        self._head_bytes = 0
        # The request whose body is arriving, and its body.
        self._arriving: _Turn | None = None
        self._body: IncomingBody | None = None
        self._body_bytes = 0
        self._delivered = False
        self._reads = True
        self._reading = True
        self._lost = False
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._writes = True
        self.told_to_close = False

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
        self._remote = peer[0] if peer else ""
        if not self._opened(self):
            self._transport.abort()
            return
        self._expire_in(self._limits.idle_s)

    def data_received(self, data: bytes) -> None:
        # The body of the last request is read, and nothing behind it.
        if not self._reads and self._body is None:
            return
        if self._in_head:
            self._head_bytes += len(data)
        elif self._arriving is not None:
            self._expire_in(self._limits.body_pause_s)
        try:
            self._parser.feed_data(data)
            if self._in_head and self._head_bytes > self._most_head_bytes:
                raise _long_head(self._limits)
        except RequestRejectedError as exc:
            self._reject(exc)
        except httptools.HttpParserUpgrade:
            # Nothing else is spoken here: the request is answered as it is.
            self._stop_reading()
        except httptools.HttpParserError as exc:
            self._unparsed(exc)

    def _unparsed(self, exc: httptools.HttpParserError) -> None:
        """Refuses what the parser, or a callback within it, did not take."""
        cause = exc.__context__
        if isinstance(cause, RequestRejectedError):
            self._reject(cause)
        elif self._reads:
            self._reject(RequestRejectedError(str(exc)))

    def eof_received(self) -> None:
        """Takes that the caller has left; the transport closes by itself."""

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._reads = False
        if self._timer is not None:
            self._timer.cancel()
        if self._body is not None:
            self._body.fail(ExchangeBrokenError(f"request cut: {exc!r}"))
        self._wake_writer()
        for turn in self._turns:
            _give_up(turn)
        self._turns.clear()
        self._closed(self)

    def pause_writing(self) -> None:
        self._writes = False

    def resume_writing(self) -> None:
        self._writes = True
        self._wake_writer()

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._url = b""
        self._fields = []
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > self._limits.field_bytes:
            raise _long_head(self._limits)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return
        self._fields.append((name, value))
        if len(name) + len(value) > self._limits.field_bytes:
            raise _long_head(self._limits)
        if len(self._fields) > self._limits.fields:
            raise RequestRejectedError(
                f"expected {self._limits.fields} fields at most, got more"
            )

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._head_bytes = 0
        if not self._reads:
            return
        headers = decode_fields(self._fields)
        framing = framing_of(headers)
        method = self._parser.get_method().decode("ascii")
        self._check(method, framing)
        closes = framing.closes or not self._parser.should_keep_alive()
        if framing.length is None and not framing.chunked:
            request = self._request(method, headers, b"", 0)
            self._arriving, self._delivered = None, True
            self._deliver(_Turn(request, closes))
            return
        self._begin_body(method, headers, framing, closes)

    def on_body(self, piece: bytes) -> None:
        body = self._body
        if body is None:
            return
        self._body_bytes += len(piece)
        if self._body_bytes > self._limits.body_bytes:
            raise _too_large(self._limits)
        body.feed(piece)
        if not self._delivered and self._body_bytes > SMALL_BODY_BYTES:
            self._deliver_stream(None)

    def on_message_complete(self) -> None:
        turn, body = self._arriving, self._body
        self._arriving = self._body = None
        if turn is None or body is None:
            return
        body.end()
        if not self._delivered:
            whole = body.taken()
            request = turn.request
            turn.request = self._request(
                request.method, request.headers, whole, len(whole), request.path
            )
            self._deliver(turn)
        elif not self._turns:
            # It was answered before its end; the next one may come.
            self._expire_in(self._limits.idle_s)

    # Requests.

    @property
    def _most_head_bytes(self) -> int:
        return 8 * self._limits.field_bytes

    def _check(self, method: str, framing: Framing) -> None:
        """Refuses what two receivers could read differently.

        Raises:
          RequestRejectedError: it may be.
        """
        version = self._parser.get_http_version()
        if version not in _VERSIONS or method in _FOREIGN_METHODS:
            raise RequestRejectedError(
                f"expected HTTP/1.0 or HTTP/1.1, got {method} {version}"
            )
        if framing.hosts != 1 and (framing.hosts or version == "1.1"):
            raise RequestRejectedError(
                f"expected one field host, got {framing.hosts}"
            )
        if not framing.clean or (framing.chunked and version == "1.0"):
            raise RequestRejectedError(
                "expected a body in chunks or of a told length, got another"
            )
        if (framing.length or 0) > self._limits.body_bytes:
            raise _too_large(self._limits)

    def _request(
        self,
        method: str,
        headers: Headers,
        body: bytes | BodyStream,
        length: int | None,
        path: str | None = None,
    ) -> Request:
        if path is None:
            path = self._url.decode("ascii")
        return Request(method, path, headers, body, length, self._remote)

    def _begin_body(
        self, method: str, headers: Headers, framing: Framing, closes: bool
    ) -> None:
        """Waits for a small body; a larger one streams at once."""
        request = self._request(method, headers, b"", 0)
        self._arriving = _Turn(request, closes)
        self._body = IncomingBody(self._transport)
        self._body_bytes = 0
        self._delivered = False
        if framing.continues:
            self._transport.write(_CONTINUE)
        self._expire_in(self._limits.body_pause_s)
        length = framing.length
        if length is not None and length > SMALL_BODY_BYTES:
            self._deliver_stream(length)

    def _deliver_stream(self, length: int | None) -> None:
        """Hands on the request whose body is still arriving."""
        turn, body = self._arriving, self._body
        assert turn is not None, "a request arrives"
        assert body is not None, "its body arrives"
        request = turn.request
        turn.request = self._request(
            request.method, request.headers, body, length, request.path
        )
        turn.body = body
        self._delivered = True
        self._deliver(turn)

    def _deliver(self, turn: _Turn) -> None:
        """Gives a request its turn; begins it where it need not wait."""
        self._turns.append(turn)
        if self._body is None:
            self._deadline = math.inf
        if turn.closes:
            self._reads = False
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
            if place >= self._limits.ahead:
                return
            if len(self._turns) > 1 and not self._is_read(turn):
                return

    def _may_begin(self, place: int, turn: _Turn) -> bool:
        if place > self._limits.ahead or self.told_to_close or turn.closes:
            return False
        return self._is_read(turn)

    def _is_read(self, turn: _Turn) -> bool:
        """Returns whether others may run beside the request of `turn`."""
        if turn.is_read is None:
            turn.is_read = (
                turn.request.method in _BODILESS_METHODS
                and turn.response is None
                and self._may_run_ahead(turn.request)
            )
        return turn.is_read

    async def _run(self, turn: _Turn) -> None:
        try:
            turn.response = await self._handler(turn.request)
        except RequestRejectedError as exc:
            turn.response, turn.closes = _rejected(exc), True
        except Exception:  # The handler has logged it.
            turn.response = problem_body(
                ResultCode.INTERNAL_ERROR, 500, "The node failed.", "unknown"
            )
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
        response = self._in_order(turn, response)
        to_head = turn.request.method == "HEAD"
        try:
            head, in_chunks = response_head(
                response, to_head=to_head, chunks=True
            )
        except ValueError:
            abort_body(response.body)
            self.abort()
            return False
        body = response.body
        if isinstance(body, bytes):
            bodiless = to_head or response.status in (204, 304)
            self._transport.write(head if bodiless else head + body)
        elif not await self._stream(head, body, in_chunks):
            return False
        if not self._writes:
            await self._until_writable()
        return not self._lost

    async def _stream(
        self, head: bytes, body: BodyStream, in_chunks: bool
    ) -> bool:
        """Returns whether the body came and was sent to its end.

        A cut answer cuts the caller's connection: it must not end neatly.
        """
        try:
            self._transport.write(head)
            async for piece in body:
                if self._lost:
                    raise ExchangeBrokenError("the caller has left")
                if piece:
                    self._transport.write(chunk(piece) if in_chunks else piece)
                if not self._writes:
                    await self._until_writable()
            if in_chunks:
                self._transport.write(LAST_CHUNK)
        except BaseException as exc:
            body.abort()
            self.abort()
            if not isinstance(exc, ExchangeBrokenError | OSError):
                raise
            return False
        return True

    def _in_order(self, turn: _Turn, response: Response) -> Response:
        """Returns the answer whose turn it is; only the last one closes."""
        closes = any(_closes(*item) for item in response.headers)
        closes = closes or turn.closes or self.told_to_close
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
        self.told_to_close = True
        self._reads = False
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
        if self.told_to_close or turn.closes:
            self._finish(turn)
            return
        if turn.body is not None and not turn.body.complete:
            # What is still sent of it is read and thrown away for a while.
            turn.body.discard()
            self._expire_in(self._limits.linger_s)
            return
        self._expire_in(self._limits.idle_s)

    def _finish(self, turn: _Turn) -> None:
        """Ends a connection whose last answer is written.

        The caller closes; closing first could reset what it still reads.
        """
        self._reads = False
        self.told_to_close = True
        if self._body is not None:
            self._body.discard()
        self._expire_in(self._limits.linger_s)

    def _reject(self, exc: RequestRejectedError) -> None:
        """Tells what cannot be taken in its place, and reads no more."""
        turn = _Turn(Request("GET", "/"), True)
        turn.response = _rejected(exc)
        self._reads = False
        body, self._body = self._body, None
        self._arriving = None
        if body is not None:
            body.fail(exc)
            body.discard()
            if self._delivered:
                # Its handler gets the error and answers.
                return
        self._turns.append(turn)
        if self._turns[0] is turn:
            turn.task = self._loop.create_task(self._write_due())

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
            later_s = min(left_s, self._limits.idle_s)
            self._timer = self._loop.call_later(later_s, self._expire)
            return
        is_due = self._body is not None and not self._delivered
        if is_due or (self._body is not None and self._turns):
            self._reject(_too_slow(self._limits))
        elif not self._turns:
            self._transport.abort()

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def _until_writable(self) -> None:
        """Waits until a slow reader has read enough."""
        if self._lost:
            return
        self._writable = self._loop.create_future()
        await self._writable


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


def _rejected(exc: RequestRejectedError) -> Response:
    status = {
        ResultCode.REQUEST_TOO_LARGE: 413,
        ResultCode.SENDER_TOO_SLOW: 408,
    }.get(exc.code, 400)
    return problem_body(exc.code, status, str(exc.args[0]), "not-run")


def _too_slow(limits: ServerLimits) -> SenderTooSlowError:
    return SenderTooSlowError(
        f"expected more of the body within {limits.body_pause_s:g} s"
    )


def _too_large(limits: ServerLimits) -> RequestTooLargeError:
    return RequestTooLargeError(
        f"expected a body of at most {limits.body_bytes} bytes, got more"
    )


def _long_head(limits: ServerLimits) -> RequestRejectedError:
    return RequestRejectedError(
        f"expected lines of at most {limits.field_bytes} bytes, got more"
    )
