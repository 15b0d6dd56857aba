"""A classified request: what the decisions need to know of it."""

import dataclasses

from radishwind.config.index import ConfigIndex
from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import header
from radishwind.http.types import Request

#: Fields that callers may send; `docs/callers.md` describes them.
TIMEOUT_FIELD = "radishwind-timeout-ms"
DEPTH_FIELD = "radishwind-depth"
KEY_FIELD = "idempotency-key"

MAX_DEPTH = 25
MAX_KEY_CHARS = 255


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
    host = header(request.headers, "host") or ""
    service = index.service_for(host, request.path)
    if service is None:
        raise ServiceUnknownError(
            "expected a path or host of a service in the inventory, got "
            f"host {host[:80]!r} and path {request.path[:80]!r}"
        )
    rules = index.cfg.rules.for_service(service)
    timeout_ms = _timeout_ms(request, rules)
    return Call(
        call_id=call_id,
        service=service,
        request=request,
        rules=rules,
        idempotent=_idempotent(request, rules),
        deadline=now + timeout_ms / 1000,
        expires_ms=wall_ms + timeout_ms,
        caller=header(request.headers, "radishwind-caller") or request.remote,
        key=_key(request),
        depth=_bounded_int(request, DEPTH_FIELD, 0, MAX_DEPTH),
    )


def _idempotent(request: Request, rules: ServiceRules) -> bool:
    if request.method in rules.idempotent_methods:
        return True
    path = request.path.partition("?")[0]
    return any(path.startswith(prefix) for prefix in rules.idempotent_paths)


def _timeout_ms(request: Request, rules: ServiceRules) -> int:
    asked = _bounded_int(request, TIMEOUT_FIELD, rules.deadline_ms, None)
    return min(asked, rules.max_deadline_ms)


def _key(request: Request) -> str | None:
    key = header(request.headers, KEY_FIELD)
    if key is None:
        return None
    if not 0 < len(key) <= MAX_KEY_CHARS or not key.isprintable():
        raise CallRejectedError(
            f"expected Idempotency-Key of 1 to {MAX_KEY_CHARS} printable "
            f"characters, got {len(key)} characters"
        )
    return key


def _bounded_int(
    request: Request, name: str, default: int, most: int | None
) -> int:
    text = header(request.headers, name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise CallRejectedError(
            f"expected {name} as a whole number, got {text[:40]!r}"
        )
    value = int(text)
    if most is not None and value > most:
        raise CallRejectedError(f"expected {name} <= {most}, got {value}")
    return value
