"""Messages of callers and backend servers, for simulations of them.

Nodes decode and encode the same header fields in `caller_fields` and
`platform_dialect`.
"""

import dataclasses

from radishwind.http.types import get_header
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.header_fields import LEAVING
from radishwind.platform.header_fields import LIMIT
from radishwind.platform.header_fields import LOAD
from radishwind.platform.header_fields import NOT_EXECUTED
from radishwind.platform.header_fields import REQUEST_ID
from radishwind.platform.header_fields import SERVER_INCARNATION
from radishwind.platform.header_fields import SIGNATURE
from radishwind.platform.header_fields import TIMEOUT
from radishwind.platform.header_fields import WARMUP
from radishwind.target.dialect import ServerLoad

#: The timeout of requests that carry none (s).
_DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedRequest:
    """A request as its caller sends it.

    Attributes:
      request_id: unique id.
      timeout_s: time that the caller waits for the response (s).
    """

    request_id: str
    timeout_s: float


def build_simulated_request(
    method: str, host: str, path: str, request: SimulatedRequest
) -> Request:
    """Returns a caller's request."""
    timeout_ms = max(1, int(request.timeout_s * 1000))
    fields = (
        ("Host", host),
        (REQUEST_ID, request.request_id),
        (TIMEOUT, str(timeout_ms)),
    )
    return Request(method, path, fields)


def decode_simulated_request(request: Request) -> SimulatedRequest:
    """Decodes the fields of a request that a backend server reads."""
    timeout_ms = get_header(request.headers, TIMEOUT.lower())
    timeout_s = float(timeout_ms) / 1000 if timeout_ms else _DEFAULT_TIMEOUT_S
    return SimulatedRequest(
        get_header(request.headers, REQUEST_ID.lower()) or "", timeout_s
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedNotices:
    """What a backend server states in each of its responses.

    Attributes:
      limit_per_s: its request limit (requests/s); `None` for none.
      is_leaving: whether it is leaving.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False

    def fields(self) -> Headers:
        """Returns the header fields."""
        fields: Headers = ()
        if self.limit_per_s is not None:
            fields += ((LIMIT, f"{self.limit_per_s:g}"),)
        if self.is_leaving:
            fields += ((LEAVING, "1"),)
        return fields


#: The notices of a server that is not limited and not leaving.
NO_NOTICES = SimulatedNotices()


def build_simulated_response(
    request: SimulatedRequest,
    status: int,
    incarnation: str,
    load: ServerLoad,
    notices: SimulatedNotices = NO_NOTICES,
) -> Response:
    """Returns a backend server's response to a request that it ran."""
    fields = [
        (REQUEST_ID, request.request_id),
        _load_field(load),
        *notices.fields(),
    ]
    if status == 200:
        fields.append((SIGNATURE, f"{incarnation}.{request.request_id}"))
    return Response(status, tuple(fields), b"done", 4)


def build_refusal(
    load: ServerLoad, notices: SimulatedNotices = NO_NOTICES
) -> Response:
    """Returns a backend server's refusal of a request that it did not run."""
    fields = ((NOT_EXECUTED, "1"), _load_field(load), *notices.fields())
    return Response(503, fields, b"", 0)


def build_health_response(
    incarnation: str,
    load: ServerLoad,
    warmup_left_s: float = 0.0,
    notices: SimulatedNotices = NO_NOTICES,
) -> Response:
    """Returns a backend server's response to a health check."""
    fields = (
        (SERVER_INCARNATION, incarnation),
        (WARMUP, str(round(warmup_left_s * 1000))),
        _load_field(load),
        *notices.fields(),
    )
    return Response(200, fields, b"", 0)


def _load_field(load: ServerLoad) -> tuple[str, str]:
    values = (load.in_flight, load.queued, load.slots, round(load.pace * 100))
    return LOAD, ",".join(map(str, values))
