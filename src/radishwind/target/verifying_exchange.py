"""Exchanges with a server whose answers have to be confirmed as its own.

The server may break its answers off, add others, or hand out bytes that are
none. So an answer is held until it is whole and names the request it is to;
what is not plainly that is `Unknown`, and its connection is closed.
"""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.timelimit import TimeLimit
from radishwind.entry.call import Call
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.hygiene import end_to_end
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import Body
from radishwind.http.types import header
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.target.backend_server import ServerView
from radishwind.target.buffered_body import BufferBudget
from radishwind.target.buffered_body import BufferedBody
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import ServerDialect
from radishwind.target.exchange_base import Exchange
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.server_exchange import SlotHoldingStream

#: How long a new connection to the server may take (s): it stands on the same
#: instance, so one that takes longer meets a full accept queue.
CONNECT_TIMEOUT_S = 0.5

#: Answers up to this size (bytes) are held until they are whole, while there is
#: room.
HELD_BYTES = 1 << 20

#: When to come back after the server shed a request (s): about a run time.
_SHED_RETRY_S = 0.1

#: When to come back after another incarnation answered (s).
_REPLACED_RETRY_S = 0.05


class VerifyingExchange(Exchange):
    """Holds each answer until it is known to be whole and the right one.

    Attributes:
      buffer_budget: what the answers that are held may take in all.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sender: Sender,
        dialect: ServerDialect,
        watch: ExchangeRecorder,
        pulse: LoadMonitor,
        replaced: Callable[[str, str], None],
    ) -> None:
        """Wires an exchange.

        Args:
          clock: the clock.
          sender: sends to the server.
          dialect: makes requests and reads answers.
          watch: learns from each exchange.
          pulse: learns the load that answers tell.
          replaced: takes the incarnation meant and the one that answered.
        """
        self._clock = clock
        self._sender = sender
        self._dialect = dialect
        self._watch = watch
        self._pulse = pulse
        self._replaced = replaced
        self.buffer_budget = BufferBudget()

    async def send(self, call: Call, view: ServerView, alone: bool) -> Outcome:
        self._pulse.record_request()
        left_s = call.deadline - self._clock.monotonic()
        request = self._dialect.build_request(call, view.instance, left_s)
        try:
            with TimeLimit(left_s):
                response = await self._sender.send(
                    view.address, request, CONNECT_TIMEOUT_S
                )
                body = await self._held(response)
        except ConnectFailedError:
            self._watch.record_connect_failure()
            return NotRun(
                ResultCode.CONNECT_FAILED, "The server takes no connection."
            )
        except ExchangeBrokenError as exc:
            self._watch.record_broken_exchange(call)
            return Unknown(ResultCode.EXCHANGE_BROKEN, str(exc.args[0])[:160])
        except TimeoutError:
            self._watch.record_timeout()
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server did not answer in time.",
            )
        return self._confirmed(call, view, response, body, alone)

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

        assert not isinstance(response.body, bytes)
        body = SlotHoldingStream(response.body, whole, broke, ended)
        return Response(
            response.status, response.headers, body, response.body_bytes
        )

    def _confirmed(
        self,
        call: Call,
        view: ServerView,
        response: Response,
        body: Body,
        alone: bool,
    ) -> Outcome:
        answer = self._dialect.parse_response(call, response)
        if not answer.matches_request or not answer.is_authentic:
            abort_body(body)
            self._watch.record_broken_exchange(call)
            return Unknown(
                ResultCode.ANSWER_MISMATCH,
                "The answer was not the server's own to this request.",
            )
        if answer.load is not None:
            self._pulse.record_load(answer.load)
        if answer.is_not_run:
            abort_body(body)
            return self._refused(answer, view)
        headers = end_to_end(answer.headers)
        if not isinstance(body, bytes):
            return Done(
                Response(response.status, headers, body, response.body_bytes)
            )
        self._watch.record_answer(call, response.status, alone)
        size = len(body)
        if size <= SMALL_BODY_BYTES:
            return Done(Response(response.status, headers, body, size))
        if header(headers, "content-length") is None:
            headers += (("Content-Length", str(size)),)
        held = BufferedBody(body, self.buffer_budget)
        return Done(Response(response.status, headers, held, size))

    def _refused(self, answer: ResponseMetadata, view: ServerView) -> NotRun:
        if answer.is_other_incarnation:
            self._replaced(view.instance, answer.incarnation)
            return NotRun(
                ResultCode.SERVER_REPLACED,
                "Another incarnation of the server answers.",
                _REPLACED_RETRY_S,
            )
        self._watch.record_shed()
        return NotRun(
            ResultCode.SERVER_SHED,
            "The server shed the request.",
            _SHED_RETRY_S,
        )

    async def _held(self, response: Response) -> Body:
        """Returns the whole body, or the stream of one that is too large."""
        body = response.body
        if isinstance(body, bytes):
            return body
        length = response.body_bytes
        if length is not None and (
            length > HELD_BYTES or not self.buffer_budget.fits(length)
        ):
            return body
        pieces = []
        size = 0
        async for piece in body:
            pieces.append(piece)
            size += len(piece)
            if size > HELD_BYTES:
                body.abort()
                raise ExchangeBrokenError(
                    f"expected an answer of at most {HELD_BYTES} bytes without "
                    "a length, got more"
                )
        return b"".join(pieces)
