"""Decodes what a backend server sends to the control address."""

import dataclasses
from typing import Annotated

import msgspec

from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.platform.errors import PlatformMalformedError
from radishwind.platform.fields import DEREGISTER_PATH
from radishwind.platform.fields import HEARTBEAT_PATH

_DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a backend server says of itself.

    Attributes:
      incarnation: unique for each start of the server.
      service: the service it gives.
      address: where it receives requests.
      slots: requests it runs at once.
      draining: whether it takes no new work.
      gone: whether it has ended its registration.
      cold_s: how long it is still slow after its start (s).
      order: grows with each heartbeat of one incarnation.
    """

    incarnation: str
    service: str = ""
    address: Address | None = None
    slots: int = 0
    draining: bool = False
    gone: bool = False
    cold_s: float = 0.0
    order: int = 0


class _Body(msgspec.Struct, frozen=True, rename="kebab"):
    service: str
    address: str
    slots: Annotated[int, msgspec.Meta(ge=0)]
    state: str = "ready"
    # How much longer the server is slow, though the name speaks of warmth.
    warmup_left_ms: float = 0.0
    seq: int = 0


_decoder = msgspec.json.Decoder(_Body)


def read_call(request: Request, body: bytes) -> Heartbeat | None:
    """Returns the heartbeat in a call; `None` if it is another call.

    Raises:
      PlatformMalformedError: it cannot be read.
    """
    path = request.path.partition("?")[0]
    if request.method != "POST":
        return None
    if path.startswith(DEREGISTER_PATH):
        return Heartbeat(path.removeprefix(DEREGISTER_PATH), gone=True)
    if not path.startswith(HEARTBEAT_PATH):
        return None
    try:
        told = _decoder.decode(body)
        address = Address.parse(told.address)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise PlatformMalformedError(f"heartbeat: {exc}") from exc
    return Heartbeat(
        incarnation=path.removeprefix(HEARTBEAT_PATH),
        service=told.service,
        address=address,
        slots=told.slots,
        draining=told.state == _DRAINING,
        cold_s=max(0.0, told.warmup_left_ms) / 1000,
        order=told.seq,
    )
