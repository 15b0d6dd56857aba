"""A classified request: what the decisions need to know of it."""

import dataclasses

from radishwind.config.index import ConfigIndex
from radishwind.config.index import path_is_under
from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import header
from radishwind.http.types import Request

#: Fields that callers may send; `docs/callers.md` describes them.
TIMEOUT_FIELD = "radishwind-timeout-ms"
DEPTH_FIELD = "radishwind-depth"
KEY_FIELD = "idempotency-key"
CALLER_FIELD = "radishwind-caller"

MAX_DEPTH = 25
MAX_KEY_CHARS = 255
MAX_CALLER_CHARS = 100


class CallRejectedError(RadishwindError):
    """The request cannot be classified."""

    code = ResultCode.REQUEST_MALFORMED


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
    service = _service(request, index)
    rules = index.cfg.rules.for_service(service)
    timeout_ms = _timeout_ms(request, rules)
    caller = _text(request, CALLER_FIELD, MAX_CALLER_CHARS)
    return Call(
        call_id=call_id,
        service=service,
        request=request,
        rules=rules,
        idempotent=_idempotent(request, rules),
        deadline=now + timeout_ms / 1000,
        expires_ms=wall_ms + timeout_ms,
        caller=caller or request.remote,
        key=_text(request, KEY_FIELD, MAX_KEY_CHARS),
        depth=_whole_number(request, DEPTH_FIELD, 0, MAX_DEPTH) or 0,
    )


def nested_request(call: Call, now: float) -> Request:
    """Returns the request as the server gets it.

    It tells the time left and the depth of the calls that the server makes
    for it, so that a server which passes both fields on carries the deadline
    down.
    """
    request = call.request
    left_ms = max(1, int((call.deadline - now) * 1000))
    kept = tuple(
        item
        for item in request.headers
        if item[0].lower() not in (TIMEOUT_FIELD, DEPTH_FIELD)
    )
    told = (
        ("Radishwind-Timeout-Ms", str(left_ms)),
        ("Radishwind-Depth", str(call.depth + 1)),
    )
    return dataclasses.replace(request, headers=kept + told)


def _service(request: Request, index: ConfigIndex) -> str:
    host = header(request.headers, "host") or ""
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


def _timeout_ms(request: Request, rules: ServiceRules) -> int:
    asked = _whole_number(request, TIMEOUT_FIELD, 1, None)
    return min(asked or rules.deadline_ms, rules.max_deadline_ms)


def _single(request: Request, name: str) -> str | None:
    """Returns the value of a field that may stand only once."""
    values = [v for key, v in request.headers if key.lower() == name]
    if len(values) > 1:
        raise CallRejectedError(
            f"expected {name} at most once, got it {len(values)} times"
        )
    return values[0] if values else None


def _text(request: Request, name: str, most: int) -> str | None:
    text = _single(request, name)
    if text is None:
        return None
    if not 0 < len(text) <= most or not text.isprintable():
        raise CallRejectedError(
            f"expected {name} of 1 to {most} printable characters, got "
            f"{text[:40]!r} of {len(text)} characters"
        )
    return text


def _whole_number(
    request: Request, name: str, least: int, most: int | None
) -> int | None:
    text = _single(request, name)
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
