"""Exchanges with a server whose responses have to be verified.

The server may cut off responses, send surplus ones, or send malformed bytes.
Therefore a response is buffered until it is complete, and it must name the
request that it answers. Anything else has the outcome `Unknown`, and its
connection is closed. A refusal may name no request; its connection is closed
too, since a late copy of it could be taken for the refusal of the next request.
"""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.time_limit import TimeLimit
from radishwind.entry.call import Call
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import ResponseMismatchError
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import ResponseMatch
from radishwind.http.sanitization import strip_hop_by_hop_fields
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import Body
from radishwind.http.types import get_header
from radishwind.http.types import Headers
from radishwind.http.types import read_body
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
from radishwind.target.dialect import VerifiedResponse
from radishwind.target.exchange_base import Exchange
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.server_exchange import SlotHoldingStream
from radishwind.telemetry.part_logger import PartLogger

#: Timeout of a new connection to the server (s). The server runs on the same
#: instance, so a connection that takes longer met a full accept queue.
CONNECT_TIMEOUT_S = 0.5

#: The largest response that is buffered until it is complete (bytes), as far as
#: the buffer budget allows.
MAX_BUFFERED_BYTES = 1 << 20

#: Retry-After of a request that the server shed (s): about one run time.
_SHED_RETRY_AFTER_S = 0.1

#: Retry-After of a request that another incarnation answered (s).
_REPLACED_RETRY_AFTER_S = 0.05


class _CallCheck(ResponseCheck):
    """Checks which response is the one to a call.

    Attributes:
      metadata: what the first response to the call states; `None` before it.
    """

    def __init__(self, dialect: ServerDialect, call: Call) -> None:
        self._dialect = dialect
        self._call = call
        self.metadata: ResponseMetadata | None = None

    def match(self, status: int, headers: Headers) -> ResponseMatch:
        metadata = self._dialect.parse_response(
            self._call, Response(status, headers)
        )
        if not metadata.matches_request or not metadata.is_authentic:
            return ResponseMatch.FOREIGN
        if self.metadata is None:
            self.metadata = metadata
        if metadata.names_request:
            return ResponseMatch.OWN
        return ResponseMatch.UNIDENTIFIED


class VerifyingExchange(Exchange):
    """Buffers each response until it is complete, and verifies it.

    Attributes:
      buffer_budget: memory budget of all buffered responses.
      sent_count: requests sent so far.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sender: Sender,
        dialect: ServerDialect,
        recorder: ExchangeRecorder,
        monitor: LoadMonitor,
        on_replaced: Callable[[str, str], None],
        on_response: Callable[[VerifiedResponse], None] | None = None,
    ) -> None:
        """Creates an exchange.

        Args:
          clock: the clock.
          sender: sends to the server.
          dialect: builds requests and parses responses.
          recorder: records the outcome of each exchange.
          monitor: receives the load that responses report.
          on_replaced: called with the incarnation addressed and the one that
            answered.
          on_response: called with each verified response.
        """
        self._clock = clock
        self._sender = sender
        self._dialect = dialect
        self._recorder = recorder
        self._monitor = monitor
        self._on_replaced = on_replaced
        self._on_response = on_response or _ignore_response
        self._log = PartLogger("target", clock)
        self.sent_count = 0
        self.buffer_budget = BufferBudget()

    async def send(
        self, call: Call, view: ServerView, is_alone: bool
    ) -> Outcome:
        self._monitor.record_request()
        self.sent_count += 1
        sent_at = self._clock.monotonic()
        left_s = call.deadline - sent_at
        request = self._dialect.build_request(call, view.instance, left_s)
        check = _CallCheck(self._dialect, call)
        try:
            with TimeLimit(left_s):
                response = await self._sender.send(
                    view.address, request, CONNECT_TIMEOUT_S, check
                )
                body = await self._buffer(response)
        except ConnectFailedError:
            self._recorder.record_connect_failure()
            return NotRun(
                ResultCode.CONNECT_FAILED, "The server accepts no connections."
            )
        except ResponseMismatchError:
            self._recorder.record_broken_exchange(call)
            return self._mismatch(call, view)
        except ExchangeBrokenError as exc:
            self._recorder.record_broken_exchange(call)
            return Unknown(ResultCode.EXCHANGE_BROKEN, str(exc.args[0])[:160])
        except TimeoutError:
            self._recorder.record_timeout()
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The server did not respond in time.",
            )
        metadata = check.metadata or self._dialect.parse_response(
            call, response
        )
        if not metadata.matches_request or not metadata.is_authentic:
            abort_body(body)
            self._recorder.record_broken_exchange(call)
            return self._mismatch(call, view)
        return self._finish(
            call, view, metadata, response, body, is_alone, sent_at
        )

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

        assert not isinstance(response.body, bytes)
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

    def _mismatch(self, call: Call, view: ServerView) -> Unknown:
        self._log.info(
            "A response was not the server's own to its request; the "
            "connection is closed.",
            call=call.call_id,
            incarnation=view.instance,
        )
        return Unknown(
            ResultCode.ANSWER_MISMATCH,
            "The response was not the server's own to this request.",
        )

    def _finish(
        self,
        call: Call,
        view: ServerView,
        metadata: ResponseMetadata,
        response: Response,
        body: Body,
        is_alone: bool,
        sent_at: float,
    ) -> Outcome:
        if metadata.load is not None:
            self._monitor.record_load(metadata.load)
        is_success = not metadata.is_not_run and 200 <= response.status < 300
        self._on_response(
            VerifiedResponse(metadata, view.instance, sent_at, is_success)
        )
        if metadata.is_not_run:
            abort_body(body)
            return self._not_run(metadata, view)
        headers = strip_hop_by_hop_fields(metadata.headers)
        if not isinstance(body, bytes):
            return Done(
                Response(response.status, headers, body, response.body_bytes)
            )
        self._recorder.record_answer(call, response.status, is_alone)
        size = len(body)
        if size <= SMALL_BODY_BYTES:
            return Done(Response(response.status, headers, body, size))
        if get_header(headers, "content-length") is None:
            headers += (("Content-Length", str(size)),)
        buffered = BufferedBody(body, self.buffer_budget)
        return Done(Response(response.status, headers, buffered, size))

    def _not_run(self, metadata: ResponseMetadata, view: ServerView) -> NotRun:
        if metadata.is_other_incarnation:
            self._on_replaced(view.instance, metadata.incarnation)
            return NotRun(
                ResultCode.SERVER_REPLACED,
                "Another incarnation of the server answered.",
                _REPLACED_RETRY_AFTER_S,
            )
        self._recorder.record_shed()
        return NotRun(
            ResultCode.SERVER_SHED,
            "The server shed the request.",
            _SHED_RETRY_AFTER_S,
        )

    async def _buffer(self, response: Response) -> Body:
        """Returns the whole body, or the stream if it is too large."""
        body = response.body
        if isinstance(body, bytes):
            return body
        length = response.body_bytes
        if length is not None and (
            length > MAX_BUFFERED_BYTES or not self.buffer_budget.fits(length)
        ):
            return body
        return await read_body(body, MAX_BUFFERED_BYTES)


def _ignore_response(response: VerifiedResponse) -> None:
    """The default for `on_response`."""
