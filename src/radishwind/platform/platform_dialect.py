"""How a request and its answer look between a node and the server beside."""

from radishwind.entry.call import Call
from radishwind.http.types import get_header
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.header_fields import EXPECTED_INCARNATION
from radishwind.platform.header_fields import LOAD
from radishwind.platform.header_fields import NODE_ONLY_FIELDS
from radishwind.platform.header_fields import NOT_EXECUTED
from radishwind.platform.header_fields import REQUEST_ID
from radishwind.platform.header_fields import SERVER_INCARNATION
from radishwind.platform.header_fields import SIGNATURE
from radishwind.platform.header_fields import TIMEOUT
from radishwind.platform.header_fields import WARMUP
from radishwind.platform.heartbeats import MAX_WARMUP_MS
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import ServerDialect
from radishwind.target.dialect import ServerLoad

_ANOTHER_INCARNATION = 421
_USUAL_PERCENT = 100.0

#: A load figure beyond this is an error of its writer.
_MOST_FIGURE = 1e6


class PlatformDialect(ServerDialect):
    """The platform's fields towards a backend server."""

    def build_request(
        self, call: Call, incarnation: str, left_s: float
    ) -> Request:
        told = [(TIMEOUT, str(max(1, int(left_s * 1000))))]
        if incarnation:
            told.append((EXPECTED_INCARNATION, incarnation))
        request = call.request
        return Request(
            request.method,
            request.path,
            (*request.headers, *told),
            request.body,
            request.body_bytes,
        )

    def build_health_request(self, path: str) -> Request:
        return Request("GET", path, (("Host", "server"),))

    def parse_response(
        self, call: Call, response: Response
    ) -> ResponseMetadata:
        found: dict[str, str] = {}
        kept = []
        for item in response.headers:
            name = item[0].lower()
            found[name] = item[1]
            if name not in NODE_ONLY_FIELDS:
                kept.append(item)
        success = 200 <= response.status < 300
        encoded = "content-encoding" in found
        unsigned = success and SIGNATURE.lower() not in found
        # A refusal of ours and one of the server differ by this field.
        not_run = NOT_EXECUTED.lower() in found or _is_another(response)
        return ResponseMetadata(
            matches_request=_names(call, found, not_run),
            incarnation=found.get(SERVER_INCARNATION.lower(), ""),
            is_not_run=not_run,
            is_other_incarnation=_is_another(response),
            is_authentic=not encoded and not unsigned,
            load=_load(found.get(LOAD.lower())),
            headers=tuple(kept),
        )

    def parse_health_response(self, response: Response) -> ResponseMetadata:
        return ResponseMetadata(
            incarnation=get_header(response.headers, SERVER_INCARNATION.lower())
            or "",
            load=_load(get_header(response.headers, LOAD.lower())),
            warmup_left_s=_cold_s(get_header(response.headers, WARMUP.lower())),
        )


def _names(call: Call, found: dict[str, str], not_run: bool) -> bool:
    """Returns whether an answer names the request of `call`.

    A server that refuses may leave the name out; any other answer has it.
    """
    told = found.get(REQUEST_ID.lower())
    if told is None:
        return not_run
    return told == get_header(call.request.headers, REQUEST_ID.lower())


def _is_another(response: Response) -> bool:
    return response.status == _ANOTHER_INCARNATION


def _cold_s(text: str | None) -> float | None:
    """Returns the time in `text` (s); `None` where it is none or malformed."""
    if not text:
        return None
    try:
        left_ms = float(text)
    except ValueError:
        return None
    return left_ms / 1000 if 0 <= left_ms <= MAX_WARMUP_MS else None


def _load(text: str | None) -> ServerLoad | None:
    """Returns the load in `text`; `None` where it is none or malformed."""
    if not text:
        return None
    try:
        figures = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    sound = all(0 <= figure <= _MOST_FIGURE for figure in figures)
    if len(figures) < 3 or not sound:
        return None
    pace = figures[3] / _USUAL_PERCENT if len(figures) > 3 else 1.0
    return ServerLoad(
        int(figures[0]), int(figures[1]), int(figures[2]), max(0.01, pace)
    )
