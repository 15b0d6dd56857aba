"""A classified request: what the decisions need to know of it."""

import dataclasses
import math
import sys

from radishwind.config.index import ConfigIndex
from radishwind.config.index import path_is_under
from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.hygiene import NODE_FIELD_PREFIX
from radishwind.http.types import Request

#: Fields that callers may send; `docs/callers.md` describes them.
TIMEOUT_FIELD = "radishwind-timeout-ms"
DEPTH_FIELD = "radishwind-depth"
KEY_FIELD = "idempotency-key"
CALLER_FIELD = "radishwind-caller"

_TOLD_ANEW = frozenset({TIMEOUT_FIELD, DEPTH_FIELD})
_DECIDING = frozenset(
    {"host", TIMEOUT_FIELD, DEPTH_FIELD, KEY_FIELD, CALLER_FIELD}
)

MAX_DEPTH = 25
MAX_KEY_CHARS = 255
MAX_CALLER_CHARS = 100

#: Servers that a call may reach where nothing bounds them.
NO_LIMIT = sys.maxsize


class CallRejectedError(RadishwindError):
    """The request cannot be classified.

    Attributes:
      call_id: names the request, for the log; empty where that was not read.
      retry_after_s: when the cause is likely to be over (s), if it passes.
    """

    code = ResultCode.REQUEST_MALFORMED
    call_id = ""
    retry_after_s: float | None = None


class ServiceUnknownError(CallRejectedError):
    """No service of the configuration takes the request."""

    code = ResultCode.SERVICE_UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request with what the configuration says of it.

    Attributes:
      call_id: unique; attempts are numbered below it.
      service: the service it is for.
      request: the request, free of fields that only nodes may send.
      rules: the rules of its service.
      idempotent: whether it may run more than once.
      deadline: monotonic time (s) by which it must be answered.
      expires_ms: the same as wall-clock time (ms since the epoch, UTC), so
        that a node that was paused can tell that it is too late.
      caller: who asks, for the shares between callers.
      key: the caller's idempotency key, if any.
      depth: how many calls it is nested in; 0 for a caller outside.
      suspect: whether an attempt before broke off, so that it runs alone.
      aim: monotonic time (s) by which an answer earns its full worth.
      priority: its rank among others that wait; 0 is the highest.
      max_server_attempts: servers that its attempts may reach at most.
      route: the route that took it; empty where services have none.
      regions: where it may run; empty for anywhere.
      work_s: its run time at the usual pace (s); 0 where not known.
      group_rank: drawn with those that it belongs to, -0.5 to 0.5; the lower go
        first where not all can be served. 0 where it belongs to no others.
      account: the client account that asks; empty for none.
      is_external: whether a caller surely sent it, and no server that runs
        something.
      is_retry: whether an attempt before came to a server, or may still.
      steps: what was tried and what came of it, for the log; grows.
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
    work_s: float = 0.0
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
      request: as received.
      index: the configuration in force.
      call_id: a new unique id.
      now: monotonic time (s).
      wall_ms: wall-clock time (ms since the epoch, UTC).

    Raises:
      ServiceUnknownError: no service takes it.
      CallRejectedError: a field that it carries is malformed.
    """
    told = _told(request)
    service = _service(request, told, index)
    rules = index.cfg.rules.for_service(service)
    timeout_ms = _timeout_ms(told, rules)
    caller = _text(told, CALLER_FIELD, MAX_CALLER_CHARS)
    return Call(
        call_id=call_id,
        service=service,
        request=request,
        rules=rules,
        idempotent=_idempotent(request, rules),
        deadline=now + timeout_ms / 1000,
        expires_ms=wall_ms + timeout_ms,
        caller=caller or request.remote,
        key=_text(told, KEY_FIELD, MAX_KEY_CHARS),
        depth=_whole_number(told, DEPTH_FIELD, 0, MAX_DEPTH) or 0,
    )


def server_request(call: Call, now: float) -> Request:
    """Returns the request as the server gets it.

    It tells the time left and the depth of the calls that the server makes
    for it, so that a server which passes both fields on carries the deadline
    down. No field of nodes among themselves is in it.
    """
    request = call.request
    left_ms = max(1, int((call.deadline - now) * 1000))
    kept = [item for item in request.headers if not _told_anew(item[0].lower())]
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


def _told_anew(name: str) -> bool:
    """Returns whether a server gets the field `name` from its node only."""
    if not name.startswith("radishwind-"):
        return False
    return name in _TOLD_ANEW or name.startswith(NODE_FIELD_PREFIX)


def _told(request: Request) -> dict[str, str]:
    """Returns the fields that decide on a call, by name in lower case."""
    told: dict[str, str] = {}
    for field, value in request.headers:
        name = field.lower()
        if name not in _DECIDING:
            continue
        if name in told:
            raise CallRejectedError(f"expected {name} at most once, got more")
        told[name] = value
    return told


def _service(request: Request, told: dict[str, str], index: ConfigIndex) -> str:
    host = told.get("host", "")
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
    """Returns whether a server reads `path` as it is written.

    Dot segments and escapes could name another resource than the prefix that
    the rules call idempotent.
    """
    if "%" in path or "\\" in path or "//" in path:
        return False
    return not any(part in (".", "..") for part in path.split("/"))


def _timeout_ms(told: dict[str, str], rules: ServiceRules) -> int:
    asked = _whole_number(told, TIMEOUT_FIELD, 1, None)
    return min(asked or rules.deadline_ms, rules.max_deadline_ms)


def _text(told: dict[str, str], name: str, most: int) -> str | None:
    text = told.get(name)
    if text is None:
        return None
    if not 0 < len(text) <= most or not text.isprintable():
        raise CallRejectedError(
            f"expected {name} of 1 to {most} printable characters, got "
            f"{text[:40]!r} of {len(text)} characters"
        )
    return text


def _whole_number(
    told: dict[str, str], name: str, least: int, most: int | None
) -> int | None:
    text = told.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise CallRejectedError(
            f"expected {name} as a whole number, got {text[:40]!r}"
        )
    value = int(text)
    if value < least or (most is not None and value > most):
        limits = f">= {least}" if most is None else f"{least} to {most}"
        raise CallRejectedError(f"expected {name} {limits}, got {value}")
    return value
