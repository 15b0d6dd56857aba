"""One exchange with the backend server, and its outcome."""

from collections.abc import AsyncIterator
from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.time_limit import TimeLimit
from radishwind.entry.call import Call
from radishwind.entry.call import server_request
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.notifying_stream import NotifyingStream
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import ResponseMatch
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.http.types import get_header
from radishwind.http.types import Headers
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.target.backend_server import ServerView
from radishwind.target.exchange_base import Exchange
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.node_fields import strip_node_fields

#: Timeout of a new connection to the server (s).
CONNECT_TIMEOUT_S = 1.0

#: The longest pause of the server within a response (s).
STALL_TIMEOUT_S = 30.0

#: How long after the deadline of its call a response may still be received (s).
STREAM_GRACE_S = 0.5

#: The field by which a server states that it shed a request without running it.
SHED_FIELD = "radishwind-shed"

_SHED_STATUS = 503

#: Retry-After of such a refusal (s).
_RETRY_AFTER_S = 1.0


class _ShedCheck(ResponseCheck):
    """Closes the connection of a refusal.

    Responses don't name their requests. A late copy of a refusal could be taken
    for the refusal of the next request, which would then run all the same.
    """

    def match(self, status: int, headers: Headers) -> ResponseMatch:
        if _states_shed(status, headers):
            return ResponseMatch.UNIDENTIFIED
        return ResponseMatch.OWN


_SHED_CHECK = _ShedCheck()


class ServerExchange(Exchange):
    """Sends calls to the server and records their outcomes."""

    def __init__(
        self, clock: Clock, sender: Sender, recorder: ExchangeRecorder
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._recorder = recorder

    async def send(
        self, call: Call, view: ServerView, is_alone: bool
    ) -> Outcome:
        now = self._clock.monotonic()
        try:
            with TimeLimit(call.deadline - now):
                response = await self._sender.send(
                    view.address,
                    server_request(call, now),
                    CONNECT_TIMEOUT_S,
                    _SHED_CHECK,
                )
        except ConnectFailedError:
            self._recorder.record_connect_failure()
            return NotRun(
                ResultCode.CONNECT_FAILED,
                "The server accepts no connections.",
                _RETRY_AFTER_S,
            )
        except ExchangeBrokenError:
            self._recorder.record_broken_exchange(call)
            return Unknown(
                ResultCode.EXCHANGE_BROKEN,
                "The server's response was cut off.",
            )
        except TimeoutError:
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server did not respond in time.",
            )
        return self._received(call, response, is_alone)

    def _received(
        self, call: Call, response: Response, is_alone: bool
    ) -> Outcome:
        if _states_shed(response.status, response.headers):
            abort_body(response.body)
            return NotRun(
                ResultCode.SERVER_SHED,
                "The server shed the request.",
                _RETRY_AFTER_S,
            )
        if not isinstance(response.body, BodyStream):
            self._recorder.record_answer(call, response.status, is_alone)
        return Done(strip_node_fields(response))

    def wrap_stream(
        self,
        call: Call,
        response: Response,
        is_alone: bool,
        on_ended: Callable[[], None],
    ) -> Response:
        def on_complete() -> None:
            self._recorder.record_answer(call, response.status, is_alone)

        def on_broken() -> None:
            self._recorder.record_broken_exchange(call)

        assert isinstance(response.body, BodyStream)
        body = SlotHoldingStream(
            response.body,
            clock=self._clock,
            deadline=call.deadline,
            on_complete=on_complete,
            on_broken=on_broken,
            on_ended=on_ended,
        )
        return Response(
            response.status, response.headers, body, response.body_bytes
        )


def _states_shed(status: int, headers: Headers) -> bool:
    if status != _SHED_STATUS:
        return False
    return get_header(headers, SHED_FIELD) is not None


class SlotHoldingStream(NotifyingStream):
    """The body of a response that holds its slot until it has ended.

    Args:
      body: the stream of the response.
      clock: the clock.
      deadline: when its caller stops waiting (monotonic s).
      on_complete: called if the response was read to its end.
      on_broken: called if the server cut it off or paused too long.
      on_ended: called once when the stream ends for any reason, including
        abort.
    """

    def __init__(
        self,
        body: BodyStream,
        *,
        clock: Clock,
        deadline: float,
        on_complete: Callable[[], None],
        on_broken: Callable[[], None],
        on_ended: Callable[[], None],
    ) -> None:
        super().__init__(body, on_ended)
        self._clock = clock
        self._ends_at = deadline + STREAM_GRACE_S
        self._on_complete = on_complete
        self._on_broken = on_broken

    async def __aiter__(self) -> AsyncIterator[bytes]:
        chunks = aiter(self._body)
        try:
            while (chunk := await self._next(chunks)) is not None:
                yield chunk
            self._on_complete()
        except ExchangeBrokenError:
            self._on_broken()
            raise
        finally:
            self._finish()

    async def _next(self, chunks: AsyncIterator[bytes]) -> bytes | None:
        left_s = self._ends_at - self._clock.monotonic()
        try:
            # The limit of a response that is always ready never gets to act.
            if left_s <= 0:
                raise TimeoutError
            with TimeLimit(min(STALL_TIMEOUT_S, left_s)):
                return await anext(chunks, None)
        except TimeoutError:
            self._body.abort()
            raise ExchangeBrokenError(
                f"expected a chunk of the response within {STALL_TIMEOUT_S} s "
                "and its end by the deadline, got neither"
            ) from None
