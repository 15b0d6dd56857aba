"""What nodes tell of each other, and which of two facts is the newer one.

Facts form a join semilattice: merging is the maximum of a total order, so it
is commutative, associative and idempotent, and a table only ever moves up.
"""

import enum
from typing import Annotated
from typing import TypeAlias

import msgspec

#: Bounds of what a peer may send; longer values make a message malformed.
MAX_NAME_CHARS = 63
MAX_ADDRESS_CHARS = 64
MAX_VALUE_CHARS = 512
MAX_TTL_MS = 7 * 86_400_000
_MAX_INT = 2**53

_Name: TypeAlias = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)
]
_PORT = (
    "(?:[0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    "|655[0-2][0-9]|6553[0-5])"
)
AddressText: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        max_length=MAX_ADDRESS_CHARS,
        pattern=rf"^[A-Za-z0-9._:\[\]-]+:{_PORT}\Z",
    ),
]
_Key: TypeAlias = Annotated[str, msgspec.Meta(max_length=160)]
_Value: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_VALUE_CHARS)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT)]

#: JSON around the values of a member's fact and of a rumor (bytes, about).
_MEMBER_OVERHEAD_BYTES = 36
_RUMOR_OVERHEAD_BYTES = 44


class AdvertisedState(enum.IntEnum):
    """What a member says of itself; each change raises its incarnation."""

    SERVING = 0
    DRAINING = 1
    LEAVING = 2
    LEFT = 3


class Liveness(enum.IntEnum):
    """What peers believe of one incarnation of a member."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One incarnation of a member and what is believed of it.

    Attributes:
      name: the name of the target it stands beside; unique.
      service: the service of that target.
      failure_domain: where it stands.
      address: its peer listener, `HOST:PORT`.
      incarnation: raised by the member alone, at each start (wall-clock ms),
        change of `advertised` and refutation.
      advertised: what it says of itself.
      liveness: what peers believe; only higher in the same incarnation.
    """

    name: _Name
    service: _Name
    failure_domain: _Name
    address: AddressText
    incarnation: Count
    advertised: AdvertisedState = AdvertisedState.SERVING
    liveness: Liveness = Liveness.ALIVE

    @property
    def is_gone(self) -> bool:
        """Whether it left or is believed dead."""
        return (
            self.liveness is Liveness.DEAD
            or self.advertised is AdvertisedState.LEFT
        )

    def size_bytes(self) -> int:
        """Returns about how long it is on the wire (bytes)."""
        strings = len(self.name) + len(self.service)
        strings += len(self.failure_domain) + len(self.address)
        return strings + _MEMBER_OVERHEAD_BYTES


class Rumor(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A small fact on a topic.

    Attributes:
      topic: the kind of fact.
      key: what it is about, unique in the topic.
      version: grows with each change of the key.
      value: JSON.
      ttl_ms: time left until it is forgotten when it was sent (ms).
    """

    topic: _Name
    key: _Key
    version: Count
    value: _Value
    ttl_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TTL_MS)]

    def size_bytes(self) -> int:
        """Returns about how long it is on the wire (bytes)."""
        strings = len(self.topic) + len(self.key) + len(self.value)
        return strings + self.value.count('"') + _RUMOR_OVERHEAD_BYTES


def member_newer(new: MemberRecord, old: MemberRecord) -> bool:
    """Returns whether `new` replaces `old`; both are of one name.

    The incarnation decides, then the liveness. The rest only makes the order
    total where two processes were given one name.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.liveness is not old.liveness:
        return new.liveness > old.liveness
    return _tie(new) > _tie(old)


def rumor_newer(new: Rumor, old: Rumor) -> bool:
    """Returns whether `new` replaces `old`; both are of one topic and key."""
    return (new.version, new.value) > (old.version, old.value)


def unique_members(facts: tuple[MemberRecord, ...]) -> tuple[MemberRecord, ...]:
    """Returns the last fact of each member."""
    return tuple({fact.name: fact for fact in facts}.values())


def _tie(fact: MemberRecord) -> tuple[int, str, str, str]:
    return (fact.advertised, fact.address, fact.service, fact.failure_domain)
