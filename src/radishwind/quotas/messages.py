"""The datagrams by which quotas are lent, as msgpack arrays."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Annotated
from typing import TypeAlias
from typing import TypeVar

import msgspec

#: The longest list of items in one datagram (bytes), beside the names of nodes.
_ITEMS_BYTES = 1_000

#: Bytes of an item beside its account's name, at most.
_ITEM_BYTES = 56

_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]


class LeaseRequestItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node used of one account and wants to hold.

    Attributes:
      account: its name.
      session: names what the counts below begin with; grows.
      spent: requests let in since then.
      returned: of these, those taken back since they did not run.
      spent_known: of `spent`, what a lender has confirmed.
      returned_known: the same of `returned`.
      want: requests that it wants to hold.
      gives_up: whether it holds nothing any more of what it was lent.
    """

    account: _Name
    session: _Count
    spent: _Count
    returned: _Count
    spent_known: _Count
    returned_known: _Count
    want: _Count
    gives_up: bool


class LeaseRequest(
    msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False
):
    """Tells the node that lends what another used, and asks for more.

    Attributes:
      node: who asks.
      start: names its start.
      order: grows with each of its messages.
      sent_at: when by its own clock (s); comes back with the answer.
      items: by account.
    """

    node: _Name
    start: _Count
    order: _Count
    sent_at: float
    items: tuple[LeaseRequestItem, ...]


class LeaseGrantItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node is lent of one account.

    Attributes:
      account: its name.
      session: as asked.
      spent: what the lender has counted of it.
      returned: the same of what was taken back.
      limit: up to this of `spent` it may let in.
      calm: whether there is room, so that one may be let in unasked.
      askers: how many nodes use the account.
    """

    account: _Name
    session: _Count
    spent: _Count
    returned: _Count
    limit: _Count
    calm: bool
    askers: _Count


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Answers an `LeaseRequest`.

    Attributes:
      node: who lends.
      to_start: the start of the node that asked.
      order: of the message that is answered.
      sent_at: the same.
      items: by account.
    """

    node: _Name
    to_start: _Count
    order: _Count
    sent_at: float
    items: tuple[LeaseGrantItem, ...]


class ShortageNotice(
    msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False
):
    """Says that accounts have no room, or room again.

    While they have none, nothing is let in unasked.

    Attributes:
      node: who lends.
      accounts: their names.
      is_over: whether they have room again.
    """

    node: _Name
    accounts: tuple[_Name, ...]
    is_over: bool = False


QuotaMessage: TypeAlias = LeaseRequest | LeaseGrant | ShortageNotice

_Item = TypeVar("_Item", LeaseRequestItem, LeaseGrantItem)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(QuotaMessage)


def encode(message: QuotaMessage) -> bytes:
    """Returns `message` as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> QuotaMessage | None:
    """Returns the message in a datagram; `None` if there is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def split_into_datagrams(items: Iterable[_Item]) -> Iterator[tuple[_Item, ...]]:
    """Yields `items` in groups that each fit a datagram."""
    group: list[_Item] = []
    size = 0
    for item in items:
        more = len(item.account.encode()) + _ITEM_BYTES
        if group and size + more > _ITEMS_BYTES:
            yield tuple(group)
            group, size = [], 0
        group.append(item)
        size += more
    if group:
        yield tuple(group)


#: Accounts named in one message of a shortage.
_NAMED = 4


def shortages(
    node: str, short: Iterable[str], roomy: Iterable[str]
) -> Iterator[ShortageNotice]:
    """Yields the messages that tell which accounts are short, or no more.

    Args:
      node: who lends.
      short: the accounts without room.
      roomy: those with room again.
    """
    for accounts, is_over in ((tuple(short), False), (tuple(roomy), True)):
        for first in range(0, len(accounts), _NAMED):
            named = accounts[first : first + _NAMED]
            yield ShortageNotice(node, named, is_over)
