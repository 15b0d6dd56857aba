"""Classified requests: the attributes that decide how a request is handled."""

import dataclasses
import math
import sys

from radishwind.config.index import ConfigIndex
from radishwind.config.index import path_is_under
from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.sanitization import NODE_FIELD_PREFIX
from radishwind.http.types import Request

#: Header fields that callers may send; described in `docs/callers.md`.
TIMEOUT_FIELD = "radishwind-timeout-ms"
DEPTH_FIELD = "radishwind-depth"
KEY_FIELD = "idempotency-key"
CALLER_FIELD = "radishwind-caller"

_REWRITTEN_FIELDS = frozenset({TIMEOUT_FIELD, DEPTH_FIELD})
_CLASSIFYING_FIELDS = frozenset(
    {"host", TIMEOUT_FIELD, DEPTH_FIELD, KEY_FIELD, CALLER_FIELD}
)

MAX_DEPTH = 25
MAX_KEY_CHARS = 255
MAX_CALLER_CHARS = 100

#: Default of `Call.max_server_attempts`: no limit.
NO_LIMIT = sys.maxsize


class CallRejectedError(RadishwindError):
    """The request cannot be classified.

    Attributes:
      call_id: identifies the request in the log; empty if the id could not be
        read.
      retry_after_s: time after which a retry is likely to be accepted (s);
        `None` if it is not known or a retry is of no use.
    """

    code = ResultCode.REQUEST_MALFORMED
    call_id = ""
    retry_after_s: float | None = None


class ServiceUnknownError(CallRejectedError):
    """No service of the configuration matches the request."""

    code = ResultCode.SERVICE_UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request with the treatment that the configuration gives it.

    Attributes:
      call_id: unique; the ids of its attempts are derived from it.
      service: the service that it is for.
      request: the request, without the fields that only nodes may send.
      rules: the rules of its service.
      idempotent: whether it may run more than once.
      deadline: monotonic time (s) by which it must be answered.
      expires_ms: the deadline as wall-clock time (ms since the epoch, UTC), so
        that a node that was paused detects that the deadline has passed.
      caller: who sent it; used for fair queueing between callers.
      key: the caller's idempotency key, if any.
      depth: nesting depth; 0 for a request of an external caller.
      suspect: whether an earlier attempt broke off, so that it must run alone.
      aim: soft deadline (monotonic s); a later response is worth less.
      priority: priority among queued requests; 0 is the highest.
      max_server_attempts: maximum number of attempts that may reach a server.
      route: the route that it matched; empty for services without routes.
      regions: regions where it may run; empty for anywhere.
      normal_run_s: its run time at a server of normal speed (s); 0 if unknown.
      group_rank: random rank, -0.5 to 0.5, shared by the calls of one fan-out;
        if not all calls can be served, lower ranks are served first. 0 for a
        call that is not part of a fan-out.
      account: the client account that it belongs to; empty for none.
      is_external: whether it is known to come from an external caller and not
        from a backend server that processes another request.
      is_retry: whether an earlier attempt or a hedge reached a server, or may
        have.
      steps: description of each attempt and its result, for the log; grows
        with each attempt.
    """

    call_id: str
    service: str
    request: Request
    rules: ServiceRules
    idempotent: bool
    deadline: float
    expires_ms: int
    caller: str
    key: str | None = None
    depth: int = 0
    suspect: bool = False
    aim: float = math.inf
    priority: int = 0
    max_server_attempts: int = NO_LIMIT
    route: str = ""
    regions: frozenset[str] = frozenset()
    normal_run_s: float = 0.0
    group_rank: float = 0.0
    account: str = ""
    is_external: bool = True
    is_retry: bool = False
    steps: list[str] = dataclasses.field(default_factory=list, compare=False)


def classify(
    request: Request,
    index: ConfigIndex,
    call_id: str,
    now: float,
    wall_ms: int,
) -> Call:
    """Classifies a caller's request.

    Args:
      request: the request as received.
      index: the configuration in force.
      call_id: a new unique id.
      now: monotonic time (s).
      wall_ms: wall-clock time (ms since the epoch, UTC).

    Raises:
      ServiceUnknownError: no service matches it.
      CallRejectedError: a header field is malformed.
    """
    fields = _classifying_fields(request)
    service = _service(request, fields, index)
    rules = index.cfg.rules.for_service(service)
    timeout_ms = _timeout_ms(fields, rules)
    caller = _text_field(fields, CALLER_FIELD, MAX_CALLER_CHARS)
    return Call(
        call_id=call_id,
        service=service,
        request=request,
        rules=rules,
        idempotent=_idempotent(request, rules),
        deadline=now + timeout_ms / 1000,
        expires_ms=wall_ms + timeout_ms,
        caller=caller or request.remote,
        key=_text_field(fields, KEY_FIELD, MAX_KEY_CHARS),
        depth=_int_field(fields, DEPTH_FIELD, 0, MAX_DEPTH) or 0,
    )


def server_request(call: Call, now: float) -> Request:
    """Returns the request as it is sent to the backend server.

    Its header fields state the time left and the nesting depth of the calls
    that the server makes to process it. A server that passes both fields on
    propagates the deadline. Fields exchanged between nodes are removed.
    """
    request = call.request
    left_ms = max(1, int((call.deadline - now) * 1000))
    kept = [
        item for item in request.headers if not _is_replaced(item[0].lower())
    ]
    kept.append(("Radishwind-Timeout-Ms", str(left_ms)))
    kept.append(("Radishwind-Depth", str(call.depth + 1)))
    return Request(
        request.method,
        request.path,
        tuple(kept),
        request.body,
        request.body_bytes,
        request.remote,
    )


def _is_replaced(name: str) -> bool:
    """Returns whether the node removes or replaces the received field."""
    if not name.startswith("radishwind-"):
        return False
    return name in _REWRITTEN_FIELDS or name.startswith(NODE_FIELD_PREFIX)


def _classifying_fields(request: Request) -> dict[str, str]:
    """Returns the fields used for classification, by lower-case name."""
    fields: dict[str, str] = {}
    for field, value in request.headers:
        name = field.lower()
        if name not in _CLASSIFYING_FIELDS:
            continue
        if name in fields:
            raise CallRejectedError(f"expected {name} at most once, got more")
        fields[name] = value
    return fields


def _service(
    request: Request, fields: dict[str, str], index: ConfigIndex
) -> str:
    host = fields.get("host", "")
    service = index.service_for(host, request.path)
    if service is None:
        raise ServiceUnknownError(
            "expected a path or host of a service in the inventory, got "
            f"host {host[:80]!r} and path {request.path[:80]!r}"
        )
    return service


def _idempotent(request: Request, rules: ServiceRules) -> bool:
    if request.method in rules.idempotent_methods:
        return True
    path = request.path.partition("?")[0]
    if not _is_plain(path):
        return False
    return any(path_is_under(path, p) for p in rules.idempotent_paths)


def _is_plain(path: str) -> bool:
    """Returns whether `path` is in normal form.

    A path with dot segments or escapes could denote a resource outside of the
    prefix that the rules declare idempotent.
    """
    if "%" in path or "\\" in path or "//" in path:
        return False
    return not any(part in (".", "..") for part in path.split("/"))


def _timeout_ms(fields: dict[str, str], rules: ServiceRules) -> int:
    requested = _int_field(fields, TIMEOUT_FIELD, 1, None)
    return min(requested or rules.deadline_ms, rules.max_deadline_ms)


def _text_field(
    fields: dict[str, str], name: str, max_chars: int
) -> str | None:
    text = fields.get(name)
    if text is None:
        return None
    if not 0 < len(text) <= max_chars or not text.isprintable():
        raise CallRejectedError(
            f"expected {name} of 1 to {max_chars} printable characters, got "
            f"{text[:40]!r} of {len(text)} characters"
        )
    return text


def _int_field(
    fields: dict[str, str], name: str, min_value: int, max_value: int | None
) -> int | None:
    text = fields.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise CallRejectedError(
            f"expected {name} as a whole number, got {text[:40]!r}"
        )
    value = int(text)
    if value < min_value or (max_value is not None and value > max_value):
        limits = (
            f">= {min_value}"
            if max_value is None
            else f"{min_value} to {max_value}"
        )
        raise CallRejectedError(f"expected {name} {limits}, got {value}")
    return value
