"""Decodes what a backend server sends to the control address."""

import enum
from typing import Annotated

import msgspec

from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.platform.errors import PlatformMalformedError
from radishwind.platform.header_fields import DEREGISTER_PATH
from radishwind.platform.header_fields import HEARTBEAT_PATH

#: The most slots that a server may say it has; more is taken for an error.
#: Those of the deployments have 6 and 9.
MAX_SLOTS = 100_000

#: The longest that a server may say it stays slow (ms): a day.
MAX_WARMUP_MS = 86_400_000

#: The longest name of an incarnation (characters); it is part of a key of the
#: store, which holds 200 bytes.
MAX_INCARNATION_CHARS = 128


class Heartbeat(msgspec.Struct, frozen=True):
    """What a backend server says of itself.

    Attributes:
      incarnation: unique for each start of the server.
      service: the service it gives.
      address: where it receives requests.
      slots: requests it runs at once.
      draining: whether it takes no new work.
      gone: whether it has ended its registration.
      cold_s: how long it is still slow after its start (s).
      order: grows with each heartbeat of one life.
      started_ms: when it started (ms since the epoch, UTC); 0 where not told.
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


_Born = Annotated[int, msgspec.Meta(gt=0)]


class _Body(msgspec.Struct, frozen=True, rename="kebab"):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _State
    # How much longer the server is slow, though the name speaks of warmth.
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)]
    seq: Annotated[int, msgspec.Meta(ge=0)]
    born: _Born | None = None


class _Gone(msgspec.Struct, frozen=True):
    born: _Born | None = None


_decoder = msgspec.json.Decoder(_Body)
_gone_decoder = msgspec.json.Decoder(_Gone)


def decode_heartbeat(request: Request, body: bytes) -> Heartbeat | None:
    """Returns the heartbeat in a call; `None` if it is another call.

    Raises:
      PlatformMalformedError: it cannot be read.
    """
    path = request.path.partition("?")[0]
    if request.method != "POST":
        return None
    if path.startswith(DEREGISTER_PATH):
        return _read_gone(_incarnation(path, DEREGISTER_PATH), body)
    if not path.startswith(HEARTBEAT_PATH):
        return None
    incarnation = _incarnation(path, HEARTBEAT_PATH)
    try:
        told = _decoder.decode(body)
        address = Address.parse(told.address)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise PlatformMalformedError(f"heartbeat: {exc}") from exc
    return Heartbeat(
        incarnation=incarnation,
        service=told.service,
        address=address,
        slots=told.slots,
        is_draining=told.state is _State.DRAINING,
        warmup_left_s=told.warmup_left_ms / 1000,
        sequence=told.seq,
        started_ms=told.born or 0,
    )


def _read_gone(incarnation: str, body: bytes) -> Heartbeat:
    """Returns the end of a registration; its body may be left out."""
    if not body.strip():
        return Heartbeat(incarnation, is_deregistered=True)
    try:
        told = _gone_decoder.decode(body)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise PlatformMalformedError(f"deregistration: {exc}") from exc
    return Heartbeat(
        incarnation, is_deregistered=True, started_ms=told.born or 0
    )


def _incarnation(path: str, prefix: str) -> str:
    name = path.removeprefix(prefix)
    plain = name.isascii() and name.isprintable() and "/" not in name
    if not plain or not 1 <= len(name) <= MAX_INCARNATION_CHARS:
        raise PlatformMalformedError(
            "heartbeat: expected the name of an incarnation of 1 to "
            f"{MAX_INCARNATION_CHARS} plain characters in the path, "
            f"got {len(name)}"
        )
    return name
