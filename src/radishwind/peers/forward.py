"""Forwards attempts to the node beside the chosen target.

A forwarded attempt is the caller's request plus fields that only nodes send;
the answer echoes the attempt's id and says which of the three outcomes it is.
"""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

import anyio
import msgspec

from radishwind.config.index import ConfigIndex
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.entry.pipeline import AttemptRunner
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import header
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
from radishwind.membership.directory import Member
from radishwind.outcomes import answer
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import problem
from radishwind.outcomes import Unknown
from radishwind.peers.client import CONNECT_TIMEOUT_S
from radishwind.peers.client import CONTROL_PREFIX
from radishwind.peers.security import AUTH_FIELD
from radishwind.peers.security import PeerRefusedError
from radishwind.peers.security import PeerReplayedError
from radishwind.peers.security import PeerSigner
from radishwind.peers.security import PeerVerifier
from radishwind.routing.chooser import LoadReport
from radishwind.target.pipeline import TargetPipeline

#: Fields that start so are removed from callers' requests.
NODE_FIELD_PREFIX = "radishwind-node-"
ATTEMPT_FIELD = "Radishwind-Node-Attempt"
ANSWER_FIELD = "Radishwind-Node-Answer"

#: Control messages up to this size (bytes) are read where a slice asks for
#: no other limit.
MAX_CONTROL_BYTES = 64 * 1024

ControlHandler: TypeAlias = Callable[[Request], Awaitable[Response]]
#: Takes the name of a target whose node takes no connection.
UnreachableHint: TypeAlias = Callable[[str], None]


class AttemptInfo(msgspec.Struct, frozen=True, array_like=True):
    """What the entry node tells the target's node of an attempt.

    Attributes:
      attempt_id: unique over nodes and restarts.
      target: the name of the target meant.
      service: the service of the call.
      idempotent: whether the call may run more than once.
      remaining_ms: time left to its deadline when it was sent (ms).
      expires_ms: its deadline as wall-clock time (ms since the epoch, UTC).
      caller: who asks.
      depth: how many calls it is nested in.
      suspect: whether an attempt before broke off.
    """

    attempt_id: str
    target: str
    service: str
    idempotent: bool
    remaining_ms: int
    expires_ms: int
    caller: str
    depth: int
    suspect: bool = False


class AnswerInfo(msgspec.Struct, frozen=True, array_like=True):
    """What the target's node tells the entry node with an answer.

    Attributes:
      attempt_id: the attempt it answers.
      outcome: `done`, `not-run` or `unknown`.
      code: the result code; 0 for `done`.
      detail: a sentence for the caller; empty for `done`.
      retry_after_s: when to come back (s).
      load: the target's load; `None` to a peer that isn't authentic.
    """

    attempt_id: str
    outcome: str
    code: int
    detail: str
    retry_after_s: float | None
    load: LoadReport | None


_attempt_decoder = msgspec.json.Decoder(AttemptInfo)
_answer_decoder = msgspec.json.Decoder(AnswerInfo)
_encoder = msgspec.json.Encoder()


class ForwardRunner(AttemptRunner):
    """Runs attempts here if the target is ours, else at the target's node."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        target: TargetPipeline,
        sender: Sender,
        signer: PeerSigner | None = None,
        unreachable: UnreachableHint | None = None,
    ) -> None:
        self._node_name = node_name
        self._clock = clock
        self._target = target
        self._sender = sender
        self._signer = signer
        self._unreachable = unreachable

    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        if member.name == self._node_name:
            return await self._target.run(call)
        remaining_s = call.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return AttemptResult(
                NotRun(ResultCode.DEADLINE_PASSED, "The deadline had passed.")
            )
        request = _forwarded(
            call, member, attempt_id, remaining_s, self._signer
        )
        try:
            with anyio.fail_after(remaining_s):
                response = await self._sender.send(
                    member.address, request, CONNECT_TIMEOUT_S
                )
        except ConnectFailedError:
            if self._unreachable is not None:
                self._unreachable(member.name)
            return AttemptResult(
                NotRun(
                    ResultCode.CONNECT_FAILED,
                    "The target's node takes no connection.",
                    1.0,
                )
            )
        except ExchangeBrokenError:
            return AttemptResult(
                Unknown(
                    ResultCode.EXCHANGE_BROKEN,
                    "The answer of the target's node broke off.",
                )
            )
        except TimeoutError:
            return AttemptResult(
                Unknown(
                    ResultCode.EXCHANGE_TIMEOUT,
                    "The target did not answer in time.",
                )
            )
        return _result(response, attempt_id)


class PeerListener:
    """Serves the peer listener: forwarded attempts and control messages."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        index: Callable[[], ConfigIndex],
        target: TargetPipeline,
        verifier: PeerVerifier | None = None,
    ) -> None:
        self._node_name = node_name
        self._clock = clock
        self._index = index
        self._target = target
        self._verifier = verifier
        self._control: dict[str, tuple[ControlHandler, int]] = {}
        #: Requests refused, by result code.
        self.refused: dict[int, int] = {}

    def add_control(
        self,
        name: str,
        handler: ControlHandler,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> None:
        """Routes the control path `/radishwind/v1/NAME` to `handler`.

        The handler gets authentic requests only, with the whole body.

        Args:
          name: the last part of the path.
          handler: answers the messages.
          max_bytes: longer messages are refused unread (bytes).
        """
        self._control[CONTROL_PREFIX + name] = (handler, max_bytes)

    async def handle(self, request: Request) -> Response:
        """Answers one request of a peer."""
        field = header(request.headers, ATTEMPT_FIELD.lower())
        if field is None:
            return await self._handle_control(request)
        try:
            info = _attempt_decoder.decode(field)
        except (msgspec.MsgspecError, UnicodeEncodeError) as exc:
            return self._refuse(ResultCode.PEER_MALFORMED, str(exc))
        try:
            self._verify(request, field.encode("utf-8", "surrogateescape"))
        except PeerRefusedError as exc:
            return self._refuse_attempt(info, exc)
        if info.target != self._node_name:
            # The address has passed to another target since the peer heard.
            outcome: Outcome = NotRun(
                ResultCode.NO_TARGET,
                f"expected target {self._node_name}, got {info.target}",
            )
            return self._answered(info.attempt_id, outcome)
        result = await self._target.run(self._call(info, request))
        return self._answered(info.attempt_id, result.outcome)

    async def _handle_control(self, request: Request) -> Response:
        path = request.path.partition("?")[0]
        handler, max_bytes = self._control.get(path, (None, 0))
        if handler is None:
            return self._refuse(
                ResultCode.PEER_MALFORMED,
                f"expected a known path, got {request.path[:80]!r}",
            )
        size = request.body_bytes
        if size is None or size > max_bytes:
            abort_body(request.body)
            return self._refuse(
                ResultCode.PEER_TOO_LARGE,
                f"expected a body of at most {max_bytes} bytes, got {size}",
            )
        body = await whole_body(request.body)
        try:
            self._verify(request, body)
        except PeerRefusedError as exc:
            return self._refuse(exc.code, exc.args[0])
        return await handler(dataclasses.replace(request, body=body))

    def _verify(self, request: Request, covered: bytes) -> None:
        if self._verifier is None:
            return
        field = header(request.headers, AUTH_FIELD.lower())
        self._verifier.verify(field, request.method, request.path, covered)

    def _refuse(self, code: ResultCode, detail: str) -> Response:
        self.refused[code] = self.refused.get(code, 0) + 1
        return problem(code, detail, "not-run")

    def _refuse_attempt(
        self, info: AttemptInfo, exc: PeerRefusedError
    ) -> Response:
        self.refused[exc.code] = self.refused.get(exc.code, 0) + 1
        outcome: Outcome = NotRun(exc.code, exc.args[0], 1.0)
        if isinstance(exc, PeerReplayedError):
            # The first one may have run.
            outcome = Unknown(exc.code, exc.args[0])
        return _with_answer(info.attempt_id, outcome, None)

    def _call(self, info: AttemptInfo, request: Request) -> Call:
        return Call(
            call_id=info.attempt_id,
            service=info.service,
            request=Request(
                request.method,
                request.path,
                without_node_fields(request.headers),
                request.body,
                request.body_bytes,
            ),
            rules=self._index().cfg.rules.for_service(info.service),
            idempotent=info.idempotent,
            deadline=self._clock.monotonic() + info.remaining_ms / 1000,
            expires_ms=info.expires_ms,
            caller=info.caller,
            depth=info.depth,
            suspect=info.suspect,
        )

    def _answered(self, attempt_id: str, outcome: Outcome) -> Response:
        return _with_answer(attempt_id, outcome, self._target.load())


def without_node_fields(headers: Headers) -> Headers:
    """Returns `headers` without the fields that only nodes may send."""
    return tuple(
        item
        for item in headers
        if not item[0].lower().startswith(NODE_FIELD_PREFIX)
    )


def _forwarded(
    call: Call,
    member: Member,
    attempt_id: str,
    remaining_s: float,
    signer: PeerSigner | None,
) -> Request:
    info = AttemptInfo(
        attempt_id,
        member.name,
        call.service,
        call.idempotent,
        max(1, int(remaining_s * 1000)),
        call.expires_ms,
        call.caller,
        call.depth,
        call.suspect,
    )
    request = call.request
    field = _encoder.encode(info)
    headers: Headers = (
        *request.headers,
        (ATTEMPT_FIELD, field.decode()),
    )
    if signer is not None:
        auth = signer.sign(member.address, request.method, request.path, field)
        headers += ((AUTH_FIELD, auth),)
    return Request(
        request.method,
        request.path,
        headers,
        request.body,
        request.body_bytes,
    )


def _with_answer(
    attempt_id: str, outcome: Outcome, load: LoadReport | None
) -> Response:
    response = answer(outcome)
    field = _encoder.encode(_answer_info(attempt_id, outcome, load)).decode()
    return Response(
        response.status,
        (*response.headers, (ANSWER_FIELD, field)),
        response.body,
        response.body_bytes,
    )


def _answer_info(
    attempt_id: str, outcome: Outcome, load: LoadReport | None
) -> AnswerInfo:
    if isinstance(outcome, Done):
        return AnswerInfo(attempt_id, "done", 0, "", None, load)
    code = int(outcome.code)
    if isinstance(outcome, NotRun):
        return AnswerInfo(
            attempt_id,
            "not-run",
            code,
            outcome.detail,
            outcome.retry_after_s,
            load,
        )
    return AnswerInfo(attempt_id, "unknown", code, outcome.detail, None, load)


def _result(response: Response, attempt_id: str) -> AttemptResult:
    """Reads the outcome that the target's node tells.

    Anything that is not plainly the answer to this attempt is `Unknown`.
    """
    info = _read_answer(response, attempt_id)
    if info is None:
        abort_body(response.body)
        return AttemptResult(
            Unknown(
                ResultCode.ANSWER_MISMATCH,
                "The answer was not to this attempt.",
            )
        )
    if info.outcome == "done":
        clean = Response(
            response.status,
            without_node_fields(response.headers),
            response.body,
            response.body_bytes,
        )
        return AttemptResult(Done(clean), info.load)
    abort_body(response.body)
    try:
        code = ResultCode(info.code)
    except ValueError:
        code = ResultCode.ANSWER_MISMATCH
    if info.outcome == "not-run":
        outcome: Outcome = NotRun(code, info.detail, info.retry_after_s)
    else:
        outcome = Unknown(code, info.detail)
    return AttemptResult(outcome, info.load)


def _read_answer(response: Response, attempt_id: str) -> AnswerInfo | None:
    field = header(response.headers, ANSWER_FIELD.lower())
    if field is None:
        return None
    try:
        info = _answer_decoder.decode(field)
    except msgspec.MsgspecError:
        return None
    if info.attempt_id != attempt_id:
        return None
    return info
