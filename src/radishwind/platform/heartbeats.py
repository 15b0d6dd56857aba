"""Decodes the calls of backend servers to the control address."""

import enum
from typing import Annotated

import msgspec

from radishwind.decoding import JsonDecoder
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.numbers import PositiveInt
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.platform.errors import PlatformMalformedError
from radishwind.platform.header_fields import DEREGISTER_PATH
from radishwind.platform.header_fields import HEARTBEAT_PATH

#: The maximum number of slots that a server may report; more is malformed.
#: Servers of the known deployments have 6 and 9.
MAX_SLOTS = 100_000

#: The longest warm-up time that a server may report (ms): a day.
MAX_WARMUP_MS = 86_400_000

#: The maximum length of an incarnation (characters). It is part of a store key,
#: which is limited to 200 bytes.
MAX_INCARNATION_CHARS = 128

#: The maximum length of a service's name (characters), as in the messages
#: between nodes.
MAX_NAME_CHARS = 63

#: The largest body of a heartbeat (bytes).
MAX_BODY_BYTES = 64 * 1024


class Heartbeat(msgspec.Struct, frozen=True):
    """State of a backend server as it reports it, or its deregistration.

    Attributes:
      incarnation: id of the server's process, new at each start.
      service: service that the server provides.
      address: address that receives requests.
      slots: number of requests that the server runs concurrently.
      is_draining: whether the server accepts no new requests.
      is_deregistered: whether the server has ended its registration.
      warmup_left_s: time for which the server is still slow after its
        start (s).
      sequence: number that increases with each heartbeat of a process.
      started_ms: start of the process (ms since the epoch, UTC); 0 if not
        reported.
    """

    incarnation: str
    service: str = ""
    address: Address | None = None
    slots: int = 0
    is_draining: bool = False
    is_deregistered: bool = False
    warmup_left_s: float = 0.0
    sequence: int = 0
    started_ms: int = 0


class _State(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _HeartbeatBody(msgspec.Struct, frozen=True, rename="kebab"):
    service: Annotated[
        str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)
    ]
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _State
    # Despite the name, the time for which the server is still slow.
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)]
    seq: NonNegativeInt
    born: PositiveInt | None = None


class _Deregistration(msgspec.Struct, frozen=True):
    born: PositiveInt | None = None


_heartbeat_decoder = JsonDecoder[_HeartbeatBody](
    _HeartbeatBody, "a heartbeat", MAX_BODY_BYTES, PlatformMalformedError
)
_deregistration_decoder = JsonDecoder[_Deregistration](
    _Deregistration, "a deregistration", MAX_BODY_BYTES, PlatformMalformedError
)


def decode_heartbeat(request: Request, body: bytes) -> Heartbeat | None:
    """Decodes a heartbeat or a deregistration.

    Args:
      request: request to the control address.
      body: body of the request.

    Returns:
      The heartbeat; `None` if the request is neither of the two.

    Raises:
      PlatformMalformedError: the path or the body is malformed.
    """
    path = request.path.partition("?")[0]
    if request.method != "POST":
        return None
    if path.startswith(DEREGISTER_PATH):
        return _decode_deregistration(
            _parse_incarnation(path, DEREGISTER_PATH), body
        )
    if not path.startswith(HEARTBEAT_PATH):
        return None
    incarnation = _parse_incarnation(path, HEARTBEAT_PATH)
    message = _heartbeat_decoder.decode(body)
    try:
        address = Address.parse(message.address)
    except ValueError as exc:
        raise PlatformMalformedError(f"heartbeat: {exc}") from exc
    if not address.port:
        raise PlatformMalformedError("heartbeat: expected a port, got 0")
    return Heartbeat(
        incarnation=incarnation,
        service=message.service,
        address=address,
        slots=message.slots,
        is_draining=message.state is _State.DRAINING,
        warmup_left_s=message.warmup_left_ms / 1000,
        sequence=message.seq,
        started_ms=message.born or 0,
    )


def is_incarnation(text: str) -> bool:
    """Returns whether `text` can be the incarnation of a server."""
    is_plain = text.isascii() and text.isprintable() and "/" not in text
    return is_plain and 1 <= len(text) <= MAX_INCARNATION_CHARS


def _decode_deregistration(incarnation: str, body: bytes) -> Heartbeat:
    """Decodes a deregistration, the body of which is optional."""
    if not body.strip():
        return Heartbeat(incarnation, is_deregistered=True)
    message = _deregistration_decoder.decode(body)
    return Heartbeat(
        incarnation, is_deregistered=True, started_ms=message.born or 0
    )


def _parse_incarnation(path: str, prefix: str) -> str:
    name = path.removeprefix(prefix)
    if not is_incarnation(name):
        raise PlatformMalformedError(
            "heartbeat: expected an incarnation of 1 to "
            f"{MAX_INCARNATION_CHARS} plain characters in the path, "
            f"got {len(name)}"
        )
    return name
