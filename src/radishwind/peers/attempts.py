"""Encoding of forwarded attempts and their responses between two nodes.

A forwarded attempt is the caller's request with additional header fields that
only nodes may send. The response echoes the attempt id and states which of the
three outcomes it is.
"""

import math

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import Float
from radishwind.decoding.numbers import Int
from radishwind.decoding.sizes import MAX_LINE_BYTES
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.http.sanitization import NODE_FIELD_PREFIX
from radishwind.http.types import abort_body
from radishwind.http.types import get_header
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


class PeerMalformedError(MalformedInputError):
    """A message of a peer is malformed."""

    code = ResultCode.PEER_MALFORMED


class AttemptInfo(msgspec.Struct, frozen=True, array_like=True):
    """Metadata of an attempt, sent by the entry node to the target's node.

    Attributes:
      attempt_id: unique across nodes and restarts.
      target: name of the target that it is addressed to.
      service: service of the call.
      idempotent: whether the call may run more than once.
      remaining_ms: time left until its deadline when it was sent (ms).
      expires_ms: its deadline as wall-clock time (ms since the epoch, UTC).
      caller: who sent the call; used for fair queueing between callers.
      depth: nesting depth; 0 for a request of an external caller.
      suspect: whether an earlier attempt broke off, so that it must run alone.
      aim_ms: time left until its soft deadline (ms); `None` if it has none.
      priority: priority among queued requests; 0 is the highest.
      normal_run_ms: run time at a server of normal speed (ms); 0 if unknown.
      group_rank: random rank shared by the calls of one fan-out; 0 for a call
        that is not part of a fan-out.
      route: route that the call matched; empty for services without routes.
      account: client account that the call belongs to; empty for none.
      is_retry: whether an earlier attempt reached a server, or may have.
    """

    attempt_id: str
    target: str
    service: str
    idempotent: bool
    remaining_ms: Int
    expires_ms: Int
    caller: str
    depth: Int
    suspect: bool = False
    aim_ms: Int | None = None
    priority: Int = 0
    normal_run_ms: Int = 0
    group_rank: Float = 0.0
    route: str = ""
    account: str = ""
    is_retry: bool = False


class AnswerInfo(msgspec.Struct, frozen=True, array_like=True):
    """Metadata of a response, sent by the target's node to the entry node.

    Attributes:
      attempt_id: the attempt that it responds to.
      outcome: `done`, `not-run` or `unknown`.
      code: the result code; 0 for `done`.
      detail: a sentence for the caller; empty for `done`.
      retry_after_s: time after which a retry is useful (s), if known.
      load: load report of the target; `None` if the peer that sent the
        attempt is not authenticated.
    """

    attempt_id: str
    outcome: str
    code: Int
    detail: str
    retry_after_s: Float | None
    load: LoadReport | None


_attempt_decoder = JsonDecoder[AttemptInfo](
    AttemptInfo, "an attempt", MAX_LINE_BYTES, PeerMalformedError
)
_answer_decoder = JsonDecoder[AnswerInfo](
    AnswerInfo, "an answer", MAX_LINE_BYTES, PeerMalformedError
)
_encoder = msgspec.json.Encoder()


def is_forwarded_attempt(request: Request) -> bool:
    """Returns whether a peer's request is a forwarded attempt."""
    return get_header(request.headers, ATTEMPT_FIELD.lower()) is not None


def split_node_fields(headers: Headers) -> tuple[dict[str, str], Headers]:
    """Splits header fields into those that only nodes send and all others.

    Returns:
      The values of the node fields by lower-case name, the first value where a
      field is repeated; and the other header fields.
    """
    node_fields: dict[str, str] = {}
    others = []
    for item in headers:
        name = item[0].lower()
        if name.startswith(NODE_FIELD_PREFIX):
            node_fields.setdefault(name, item[1])
        else:
            others.append(item)
    return node_fields, tuple(others)


def build_attempt_request(
    call: Call,
    member: Member,
    attempt_id: str,
    remaining_s: float,
    signer: RequestSigner | None,
) -> Request:
    """Returns the request that forwards an attempt to a target's node.

    Args:
      call: the classified request of the caller.
      member: the node of the target.
      attempt_id: unique across nodes and restarts.
      remaining_s: time left until the deadline (s).
      signer: signs the request; `None` if no key is configured.
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
    """Returns the response to an attempt, with metadata for the entry node."""
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
    """Returns the outcome that the target's node reports.

    The outcome is `Unknown` if the response cannot be matched to this attempt,
    or if it states an outcome that this version does not know.
    """
    info = _decode_answer(response, attempt_id)
    if info is None:
        abort_body(response.body)
        return AttemptResult(
            Unknown(
                ResultCode.ANSWER_MISMATCH,
                "The response does not belong to this attempt.",
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
    """Returns whether the response states that this attempt did not run."""
    info = _decode_answer(response, attempt_id)
    return info is not None and info.outcome == _NOT_RUN


def decode_attempt(field: str) -> AttemptInfo:
    """Decodes the value of `ATTEMPT_FIELD`.

    Raises:
      PeerMalformedError: it cannot be decoded.
    """
    return _attempt_decoder.decode(field)


def _decode_answer(response: Response, attempt_id: str) -> AnswerInfo | None:
    """Decodes `ANSWER_FIELD`; `None` if malformed or for another attempt."""
    field = get_header(response.headers, ANSWER_FIELD.lower())
    if field is None:
        return None
    try:
        info = _answer_decoder.decode(field)
    except MalformedInputError:
        return None
    if info.attempt_id != attempt_id:
        return None
    return info
