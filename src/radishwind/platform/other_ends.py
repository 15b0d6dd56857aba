"""The other ends of the wire, callers and backend servers, for models of them.

Nodes read and make the same fields in `caller` and `dialect`.
"""

import dataclasses

from radishwind.http.types import get_header
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.fields import ANSWERING_INCARNATION
from radishwind.platform.fields import LOAD
from radishwind.platform.fields import NOT_EXECUTED
from radishwind.platform.fields import SENDING_ID
from radishwind.platform.fields import SIGNATURE
from radishwind.platform.fields import TIMEOUT
from radishwind.platform.fields import WARMUP
from radishwind.target.dialect import ServerLoad

#: Taken where a request tells no time (s).
_NO_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """One request as its caller sends it.

    Attributes:
      request_id: names it, unique.
      timeout_s: how long the caller waits (s).
    """

    request_id: str
    timeout_s: float


def sent(method: str, host: str, path: str, sending: Sending) -> Request:
    """Returns a caller's request."""
    timeout_ms = max(1, int(sending.timeout_s * 1000))
    fields = (
        ("Host", host),
        (SENDING_ID, sending.request_id),
        (TIMEOUT, str(timeout_ms)),
    )
    return Request(method, path, fields)


def read_sending(request: Request) -> Sending:
    """Returns what a backend server reads of a request."""
    timeout_ms = get_header(request.headers, TIMEOUT.lower())
    timeout_s = float(timeout_ms) / 1000 if timeout_ms else _NO_TIMEOUT_S
    return Sending(
        get_header(request.headers, SENDING_ID.lower()) or "", timeout_s
    )


def answer(
    sending: Sending, status: int, incarnation: str, load: ServerLoad
) -> Response:
    """Returns a backend server's answer to what it ran."""
    fields = [(SENDING_ID, sending.request_id), _load(load)]
    if status == 200:
        fields.append((SIGNATURE, f"{incarnation}.{sending.request_id}"))
    return Response(status, tuple(fields), b"done", 4)


def refusal(load: ServerLoad) -> Response:
    """Returns a backend server's refusal of what it did not run."""
    return Response(503, ((NOT_EXECUTED, "1"), _load(load)), b"", 0)


def health(incarnation: str, load: ServerLoad, cold_s: float = 0.0) -> Response:
    """Returns a backend server's answer to a health check."""
    fields = (
        (ANSWERING_INCARNATION, incarnation),
        (WARMUP, str(round(cold_s * 1000))),
        _load(load),
    )
    return Response(200, fields, b"", 0)


def _load(load: ServerLoad) -> tuple[str, str]:
    figures = (load.in_flight, load.queued, load.slots, round(load.pace * 100))
    return LOAD, ",".join(map(str, figures))
