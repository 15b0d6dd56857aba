"""The platform's header fields between a node and its backend server."""

from radishwind.entry.call import Call
from radishwind.http.types import get_header
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.header_fields import EXPECTED_INCARNATION
from radishwind.platform.header_fields import LEAVING
from radishwind.platform.header_fields import LIMIT
from radishwind.platform.header_fields import LOAD
from radishwind.platform.header_fields import NODE_ONLY_FIELDS
from radishwind.platform.header_fields import NOT_EXECUTED
from radishwind.platform.header_fields import REQUEST_ID
from radishwind.platform.header_fields import SERVER_INCARNATION
from radishwind.platform.header_fields import SIGNATURE
from radishwind.platform.header_fields import TIMEOUT
from radishwind.platform.header_fields import WARMUP
from radishwind.platform.heartbeats import is_incarnation
from radishwind.platform.heartbeats import MAX_WARMUP_MS
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import ServerDialect
from radishwind.target.dialect import ServerLoad

#: The status by which a server refuses requests for another incarnation.
_OTHER_INCARNATION_STATUS = 421
_NORMAL_PACE_PERCENT = 100.0

#: Larger values in a load report are treated as malformed.
_MAX_LOAD_VALUE = 1e6

#: Larger request limits (requests/s) are treated as malformed.
_MAX_LIMIT_PER_S = 1e6

#: The value of the field by which a server states that it is leaving.
_IS_LEAVING = "1"


class PlatformDialect(ServerDialect):
    """Encodes requests to backend servers and parses their responses."""

    def build_request(
        self, call: Call, incarnation: str, left_s: float
    ) -> Request:
        added = [(TIMEOUT, str(max(1, int(left_s * 1000))))]
        if incarnation:
            added.append((EXPECTED_INCARNATION, incarnation))
        request = call.request
        return Request(
            request.method,
            request.path,
            (*request.headers, *added),
            request.body,
            request.body_bytes,
        )

    def build_health_request(self, path: str) -> Request:
        return Request("GET", path, (("Host", "server"),))

    def parse_response(
        self, call: Call, response: Response
    ) -> ResponseMetadata:
        fields: dict[str, str] = {}
        forwarded = []
        for item in response.headers:
            name = item[0].lower()
            fields[name] = item[1]
            if name not in NODE_ONLY_FIELDS:
                forwarded.append(item)
        is_success = 200 <= response.status < 300
        is_encoded = "content-encoding" in fields
        is_unsigned = is_success and SIGNATURE.lower() not in fields
        # This field distinguishes a server's refusal from one by a node.
        is_not_run = NOT_EXECUTED.lower() in fields or _is_other_incarnation(
            response
        )
        request_id = fields.get(REQUEST_ID.lower())
        names_request = request_id is not None and request_id == get_header(
            call.request.headers, REQUEST_ID.lower()
        )
        return ResponseMetadata(
            # A refusal may omit the request id.
            matches_request=names_request
            or (request_id is None and is_not_run),
            names_request=names_request,
            incarnation=_parse_incarnation(
                fields.get(SERVER_INCARNATION.lower())
            ),
            is_not_run=is_not_run,
            is_other_incarnation=_is_other_incarnation(response),
            is_authentic=not is_encoded and not is_unsigned,
            load=_parse_load(fields.get(LOAD.lower())),
            states_limit=LIMIT.lower() in fields,
            limit_per_s=_parse_limit(fields.get(LIMIT.lower())),
            is_leaving=fields.get(LEAVING.lower()) == _IS_LEAVING,
            headers=tuple(forwarded),
        )

    def parse_health_response(self, response: Response) -> ResponseMetadata:
        limit = get_header(response.headers, LIMIT.lower())
        request_id = get_header(response.headers, REQUEST_ID.lower())
        return ResponseMetadata(
            matches_request=request_id is None,
            names_request=False,
            incarnation=_parse_incarnation(
                get_header(response.headers, SERVER_INCARNATION.lower())
            ),
            load=_parse_load(get_header(response.headers, LOAD.lower())),
            warmup_left_s=_parse_warmup_left(
                get_header(response.headers, WARMUP.lower())
            ),
            states_limit=limit is not None,
            limit_per_s=_parse_limit(limit),
            is_leaving=states_leaving(response.headers),
        )


def get_stated_limit(headers: Headers) -> float | None:
    """Returns the request limit in a response (1/s); `None` if none is."""
    return _parse_limit(get_header(headers, LIMIT.lower()))


def states_leaving(headers: Headers) -> bool:
    """Returns whether a response states that its server is leaving."""
    return get_header(headers, LEAVING.lower()) == _IS_LEAVING


def _is_other_incarnation(response: Response) -> bool:
    return response.status == _OTHER_INCARNATION_STATUS


def _parse_incarnation(text: str | None) -> str:
    """Returns the incarnation; empty if missing or malformed."""
    return text if text is not None and is_incarnation(text) else ""


def _parse_warmup_left(text: str | None) -> float | None:
    """Returns the warm-up time left (s); `None` if missing or malformed."""
    if not text:
        return None
    try:
        left_ms = float(text)
    except ValueError:
        return None
    return left_ms / 1000 if 0 <= left_ms <= MAX_WARMUP_MS else None


def _parse_limit(text: str | None) -> float | None:
    """Returns the request limit (1/s); `None` if missing or malformed."""
    if not text:
        return None
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if 0 <= limit_per_s <= _MAX_LIMIT_PER_S else None


def _parse_load(text: str | None) -> ServerLoad | None:
    """Returns the load report in `text`; `None` if missing or malformed."""
    if not text:
        return None
    try:
        values = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    is_valid = all(0 <= value <= _MAX_LOAD_VALUE for value in values)
    if len(values) < 3 or not is_valid:
        return None
    pace = values[3] / _NORMAL_PACE_PERCENT if len(values) > 3 else 1.0
    return ServerLoad(
        int(values[0]), int(values[1]), int(values[2]), max(0.01, pace)
    )
