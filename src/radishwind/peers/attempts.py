"""How an attempt and its answer look on the wire between two nodes.

A forwarded attempt is the caller's request plus fields that only nodes send;
the answer echoes the attempt's id and says which of the three outcomes it is.
"""

import math

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.http.hygiene import NODE_FIELD_PREFIX
from radishwind.http.types import abort_body
from radishwind.http.types import header
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import outcome_response
from radishwind.outcomes import Unknown
from radishwind.peers.signing import AUTH_FIELD
from radishwind.peers.signing import RequestSigner
from radishwind.routing.chooser import LoadReport

ATTEMPT_FIELD = "Radishwind-Node-Attempt"
ANSWER_FIELD = "Radishwind-Node-Answer"

#: The values of `AnswerInfo.outcome`.
_DONE = "done"
_NOT_RUN = "not-run"
_UNKNOWN = "unknown"


class PeerMalformedError(RadishwindError):
    """What a peer sent cannot be read."""

    code = ResultCode.PEER_MALFORMED


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
      aim_ms: time left until it is worth less (ms); `None` for never.
      priority: its rank; 0 is the highest.
      normal_run_ms: its run time at the usual pace (ms); 0 where not known.
      group_rank: drawn with those that it belongs to; 0 for none.
      route: the route that took it; empty where services have none.
      account: the client account that asks; empty for none.
      is_retry: whether an attempt before came to a server, or may still.
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
    aim_ms: int | None = None
    priority: int = 0
    normal_run_ms: int = 0
    group_rank: float = 0.0
    route: str = ""
    account: str = ""
    is_retry: bool = False


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


def is_forwarded_attempt(request: Request) -> bool:
    """Returns whether a peer's request is a forwarded attempt."""
    return header(request.headers, ATTEMPT_FIELD.lower()) is not None


def split_node_fields(headers: Headers) -> tuple[dict[str, str], Headers]:
    """Returns the fields of nodes, by name in lower case, and the others."""
    told: dict[str, str] = {}
    others = []
    for item in headers:
        name = item[0].lower()
        if name.startswith(NODE_FIELD_PREFIX):
            told.setdefault(name, item[1])
        else:
            others.append(item)
    return told, tuple(others)


def build_attempt_request(
    call: Call,
    member: Member,
    attempt_id: str,
    remaining_s: float,
    signer: RequestSigner | None,
) -> Request:
    """Returns the request of an attempt, signed where there is a key.

    Args:
      call: the caller's request, classified.
      member: the target's node.
      attempt_id: unique over nodes and restarts.
      remaining_s: time left to the deadline (s).
      signer: signs it; `None` where there is no key.
    """
    request = call.request
    field = _encoder.encode(
        _attempt_info(call, member.name, attempt_id, remaining_s)
    )
    headers: Headers = (
        *request.headers,
        (ATTEMPT_FIELD, field.decode()),
    )
    if signer is not None:
        auth = signer.sign(member.address, request.method, request.path, field)
        if auth is not None:
            headers += ((AUTH_FIELD, auth),)
    return Request(
        request.method,
        request.path,
        headers,
        request.body,
        request.body_bytes,
    )


def _attempt_info(
    call: Call, target: str, attempt_id: str, remaining_s: float
) -> AttemptInfo:
    return AttemptInfo(
        attempt_id,
        target,
        call.service,
        call.idempotent,
        max(1, int(remaining_s * 1000)),
        call.expires_ms,
        call.caller,
        call.depth,
        call.suspect,
        _aim_ms(call, remaining_s),
        call.priority,
        round(call.normal_run_s * 1000),
        round(call.group_rank, 3),
        call.route,
        call.account,
        call.is_retry,
    )


def _aim_ms(call: Call, remaining_s: float) -> int | None:
    if math.isinf(call.aim):
        return None
    return int((call.aim - call.deadline + remaining_s) * 1000)


def build_attempt_response(
    attempt_id: str, outcome: Outcome, load: LoadReport | None
) -> Response:
    """Returns the answer to an attempt, with what only nodes read of it."""
    response = outcome_response(outcome)
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
        return AnswerInfo(attempt_id, _DONE, 0, "", None, load)
    code = int(outcome.code)
    if isinstance(outcome, NotRun):
        return AnswerInfo(
            attempt_id,
            _NOT_RUN,
            code,
            outcome.detail,
            outcome.retry_after_s,
            load,
        )
    return AnswerInfo(attempt_id, _UNKNOWN, code, outcome.detail, None, load)


def parse_attempt_result(response: Response, attempt_id: str) -> AttemptResult:
    """Reads the outcome that the target's node tells.

    Anything that is not plainly the answer to this attempt is `Unknown`, and
    so is an outcome of another name.
    """
    info = _decode_answer(response, attempt_id)
    if info is None:
        abort_body(response.body)
        return AttemptResult(
            Unknown(
                ResultCode.ANSWER_MISMATCH,
                "The answer was not to this attempt.",
            )
        )
    if info.outcome == _DONE:
        clean = Response(
            response.status,
            split_node_fields(response.headers)[1],
            response.body,
            response.body_bytes,
        )
        return AttemptResult(Done(clean), info.load)
    abort_body(response.body)
    try:
        code = ResultCode(info.code)
    except ValueError:
        code = ResultCode.ANSWER_MISMATCH
    if info.outcome == _NOT_RUN:
        outcome: Outcome = NotRun(code, info.detail, info.retry_after_s)
    else:
        outcome = Unknown(code, info.detail)
    return AttemptResult(outcome, info.load)


def reports_not_run(response: Response, attempt_id: str) -> bool:
    """Returns whether this attempt plainly has not run."""
    info = _decode_answer(response, attempt_id)
    return info is not None and info.outcome == _NOT_RUN


def decode_attempt(field: str) -> AttemptInfo:
    """Returns what `ATTEMPT_FIELD` tells.

    Raises:
      PeerMalformedError: it cannot be read.
    """
    try:
        return _attempt_decoder.decode(field)
    except (msgspec.MsgspecError, UnicodeEncodeError) as exc:
        raise PeerMalformedError(str(exc)) from exc


def _decode_answer(response: Response, attempt_id: str) -> AnswerInfo | None:
    field = header(response.headers, ANSWER_FIELD.lower())
    if field is None:
        return None
    try:
        info = _answer_decoder.decode(field)
    except (msgspec.MsgspecError, UnicodeEncodeError):
        return None
    if info.attempt_id != attempt_id:
        return None
    return info
