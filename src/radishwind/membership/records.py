"""Member records and rumors, and which of two versions is the newer one.

Both form a join semilattice: merging takes the maximum of a total order, so
it is commutative, associative and idempotent, and an entry of a table is only
ever replaced by a newer one.
"""

import enum
from typing import Annotated
from typing import TypeAlias

import msgspec

from radishwind.decoding.numbers import NonNegativeInt
from radishwind.http.types import ADDRESS_PATTERN

#: Bounds on what a peer may send; a message that exceeds them is malformed.
MAX_NAME_CHARS = 63
MAX_ADDRESS_CHARS = 64
MAX_RUMOR_KEY_CHARS = 160
MAX_RUMOR_VALUE_CHARS = 512
MAX_RUMOR_TTL_MS = 7 * 86_400_000

_Name: TypeAlias = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)
]
AddressText: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        max_length=MAX_ADDRESS_CHARS,
        pattern=ADDRESS_PATTERN,
    ),
]
_Key: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_RUMOR_KEY_CHARS)]
_Value: TypeAlias = Annotated[
    str, msgspec.Meta(max_length=MAX_RUMOR_VALUE_CHARS)
]

#: Above the time of a start in ms. Earlier versions refuse a whole message that
#: has a higher one.
_Incarnation: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=2**53)]

#: Approximate length of the JSON around the values of a member record and of
#: a rumor (bytes).
_MEMBER_OVERHEAD_BYTES = 36
_RUMOR_OVERHEAD_BYTES = 44


class AdvertisedState(enum.IntEnum):
    """Lifecycle state that a member advertises of itself.

    Each change raises the member's incarnation.
    """

    SERVING = 0
    DRAINING = 1
    LEAVING = 2
    LEFT = 3


class Liveness(enum.IntEnum):
    """State of one incarnation of a member as its peers detect it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One incarnation of a member, with its liveness.

    Attributes:
      name: name of the target that the node runs beside; unique.
      service: service of that target.
      failure_domain: failure domain in which the node runs.
      address: peer listener, `HOST:PORT`.
      incarnation: raised only by the member itself: at each start (to the
        wall-clock time in ms), change of `advertised` or `service`, and
        refutation.
      advertised: lifecycle state that the member advertises.
      liveness: state as peers detect it; within one incarnation it can only
        get worse.
    """

    name: _Name
    service: _Name
    failure_domain: _Name
    address: AddressText
    incarnation: _Incarnation
    advertised: AdvertisedState = AdvertisedState.SERVING
    liveness: Liveness = Liveness.ALIVE

    @property
    def is_gone(self) -> bool:
        """Whether the member left or is considered dead."""
        return (
            self.liveness is Liveness.DEAD
            or self.advertised is AdvertisedState.LEFT
        )

    def estimated_bytes(self) -> int:
        """Returns the approximate encoded size (bytes)."""
        strings = len(self.name) + len(self.service)
        strings += len(self.failure_domain) + len(self.address)
        return strings + _MEMBER_OVERHEAD_BYTES


class Rumor(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Small versioned value of a key in a topic.

    Attributes:
      topic: the kind of value.
      key: identifies the value within its topic.
      version: grows with each change of the value.
      value: JSON.
      ttl_ms: remaining time to live at the time of sending (ms).
    """

    topic: _Name
    key: _Key
    version: NonNegativeInt
    value: _Value
    ttl_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUMOR_TTL_MS)]

    def estimated_bytes(self) -> int:
        """Returns the approximate encoded size (bytes)."""
        strings = len(self.topic) + len(self.key) + len(self.value)
        return strings + self.value.count('"') + _RUMOR_OVERHEAD_BYTES


def is_newer_member(new: MemberRecord, old: MemberRecord) -> bool:
    """Returns whether `new` supersedes `old`; both have the same name.

    The higher incarnation wins, then the worse liveness. The other fields only
    make the order total if two processes were given the same name.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.liveness is not old.liveness:
        return new.liveness > old.liveness
    return _tie_breaker(new) > _tie_breaker(old)


def is_newer_rumor(new: Rumor, old: Rumor) -> bool:
    """Returns whether `new` supersedes `old`; both have the same key."""
    return (new.version, new.value) > (old.version, old.value)


def unique_members(
    records: tuple[MemberRecord, ...],
) -> tuple[MemberRecord, ...]:
    """Returns the last record of each member."""
    return tuple({record.name: record for record in records}.values())


def _tie_breaker(record: MemberRecord) -> tuple[int, str, str, str]:
    return (
        record.advertised,
        record.address,
        record.service,
        record.failure_domain,
    )
