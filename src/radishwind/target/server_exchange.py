"""One exchange with the server beside, and the outcome it means."""

from collections.abc import AsyncIterator
from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.timelimit import TimeLimit
from radishwind.entry.call import Call
from radishwind.entry.call import server_request
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.streams import NotifyingStream
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.http.types import header
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.target.backend_server import ServerView
from radishwind.target.exchange_base import Exchange
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.node_fields import without_node_fields

#: How long a new connection to the server may take (s).
CONNECT_TIMEOUT_S = 1.0

#: How long the server may pause within an answer (s).
STALL_S = 30.0

#: The field by which a server says that it shed a request without running it.
SHED_FIELD = "radishwind-shed"

_SHED_STATUS = 503

#: When a caller may come back after such a refusal (s).
_RETRY_S = 1.0


class ServerExchange(Exchange):
    """Sends calls to the server and tells the watch what became of them."""

    def __init__(
        self, clock: Clock, sender: Sender, watch: ExchangeRecorder
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._watch = watch

    async def send(self, call: Call, view: ServerView, alone: bool) -> Outcome:
        now = self._clock.monotonic()
        try:
            with TimeLimit(call.deadline - now):
                response = await self._sender.send(
                    view.address, server_request(call, now), CONNECT_TIMEOUT_S
                )
        except ConnectFailedError:
            self._watch.record_connect_failure()
            return NotRun(
                ResultCode.CONNECT_FAILED,
                "The server takes no connection.",
                _RETRY_S,
            )
        except ExchangeBrokenError:
            self._watch.record_broken_exchange(call)
            return Unknown(
                ResultCode.EXCHANGE_BROKEN, "The server's answer broke off."
            )
        except TimeoutError:
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server did not answer in time.",
            )
        return self._received(call, response, alone)

    def _received(self, call: Call, response: Response, alone: bool) -> Outcome:
        if _was_shed(response):
            abort_body(response.body)
            return NotRun(
                ResultCode.SERVER_SHED,
                "The server shed the request.",
                _RETRY_S,
            )
        if not isinstance(response.body, BodyStream):
            self._watch.record_answer(call, response.status, alone)
        return Done(without_node_fields(response))

    def wrap_stream(
        self,
        call: Call,
        response: Response,
        alone: bool,
        ended: Callable[[], None],
    ) -> Response:
        def whole() -> None:
            self._watch.record_answer(call, response.status, alone)

        def broke() -> None:
            self._watch.record_broken_exchange(call)

        assert isinstance(response.body, BodyStream)
        body = SlotHoldingStream(response.body, whole, broke, ended)
        return Response(
            response.status, response.headers, body, response.body_bytes
        )


def _was_shed(response: Response) -> bool:
    if response.status != _SHED_STATUS:
        return False
    return header(response.headers, SHED_FIELD) is not None


class SlotHoldingStream(NotifyingStream):
    """The body of an answer that holds its slot until it ended.

    Args:
      body: the stream of the answer.
      whole: called if the answer was read to its end.
      broke: called if the server broke it off or paused too long in it.
      ended: called once, whatever happened, also if it is aborted.
    """

    def __init__(
        self,
        body: BodyStream,
        whole: Callable[[], None],
        broke: Callable[[], None],
        ended: Callable[[], None],
    ) -> None:
        super().__init__(body, ended)
        self._whole = whole
        self._broke = broke

    async def __aiter__(self) -> AsyncIterator[bytes]:
        pieces = aiter(self._body)
        try:
            while (piece := await self._next(pieces)) is not None:
                yield piece
            self._whole()
        except ExchangeBrokenError:
            self._broke()
            raise
        finally:
            self._finish()

    async def _next(self, pieces: AsyncIterator[bytes]) -> bytes | None:
        try:
            with TimeLimit(STALL_S):
                return await anext(pieces, None)
        except TimeoutError:
            self._body.abort()
            raise ExchangeBrokenError(
                f"expected a piece of the answer in {STALL_S} s, got none"
            ) from None
