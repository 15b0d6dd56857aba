"""Datagrams of the quota protocol, encoded as msgpack arrays."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Annotated
from typing import TypeAlias
from typing import TypeVar

import msgspec

from radishwind.decoding import MalformedInputError
from radishwind.decoding import MsgpackDecoder
from radishwind.decoding.numbers import Float
from radishwind.decoding.sizes import MAX_DATAGRAM_BYTES

#: Size limit of the items in one datagram, without the names of the nodes.
_MAX_ITEMS_BYTES = 1_000

#: Upper bound of an item's encoded size without the name of its account.
_ITEM_OVERHEAD_BYTES = 56

_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]


class LeaseRequestItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a borrower used of one account, and the tokens it wants.

    Attributes:
      account: name of the account.
      session: identifies the counts below; increases. A new session begins
        with the use that no lender has acknowledged.
      admitted: requests admitted in this session.
      refunded: of these, those refunded since they did not run.
      admitted_acked: value of `admitted` that a lender has acknowledged.
      refunded_acked: value of `refunded` that a lender has acknowledged.
      wanted: tokens that the borrower wants to hold.
      releases: whether the borrower has released all tokens it was lent.
    """

    account: _Name
    session: _Count
    admitted: _Count
    refunded: _Count
    admitted_acked: _Count
    refunded_acked: _Count
    wanted: _Count
    releases: bool


class LeaseRequest(
    msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False
):
    """Reports use to a lender and asks it for tokens.

    Attributes:
      node: name of the borrower.
      start_id: identifies the start of the borrower's process.
      sequence: sequence number; increases with each message of the borrower.
      sent_at: when it was sent, by the borrower's clock (s); the answer echoes
        it.
      items: one item for each account.
    """

    node: _Name
    start_id: _Count
    sequence: _Count
    sent_at: Float
    items: tuple[LeaseRequestItem, ...]


class LeaseGrantItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tokens of one account that a borrower is lent.

    Attributes:
      account: name of the account.
      session: session of the request.
      admitted: admitted requests that the lender has counted.
      refunded: refunded requests that the lender has counted.
      admit_limit: the borrower may admit up to this value of `admitted`.
      allows_unleased: whether the bucket has tokens left, so that a request
        may be admitted without a leased one.
      borrower_count: number of nodes that use the account.
    """

    account: _Name
    session: _Count
    admitted: _Count
    refunded: _Count
    admit_limit: _Count
    allows_unleased: bool
    borrower_count: _Count


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Answers a `LeaseRequest`.

    Attributes:
      node: name of the lender.
      start_id: start of the borrower, copied from the request.
      sequence: sequence number of the request.
      sent_at: when the request was sent, by the borrower's clock (s).
      items: one item for each account.
    """

    node: _Name
    start_id: _Count
    sequence: _Count
    sent_at: Float
    items: tuple[LeaseGrantItem, ...]


class ShortageNotice(
    msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False
):
    """Announces that accounts are short of tokens, or no longer are.

    During a shortage no request is admitted without a leased token.

    Attributes:
      node: name of the lender.
      accounts: names of the accounts.
      has_ended: whether the shortage has ended.
    """

    node: _Name
    accounts: tuple[_Name, ...]
    has_ended: bool = False


class BucketRequest(
    msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False
):
    """Asks the previous lender of an account for the rest of its bucket.

    Attributes:
      node: name of the new lender.
      start_id: identifies the start of its process.
      account: name of the account.
    """

    node: _Name
    start_id: _Count
    account: _Name


class BucketTransfer(
    msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False
):
    """Answers a `BucketRequest`; its sender lends nothing of this any more.

    Attributes:
      node: name of the previous lender.
      start_id: start of the new lender, copied from the request.
      account: name of the account.
      is_known: whether the sender was the previous lender, as it knows.
      tokens: what was left; negative if more was admitted.
      is_short: whether the account was short of tokens.
      demand_per_s: recent demand (1/s).
    """

    node: _Name
    start_id: _Count
    account: _Name
    is_known: bool
    tokens: Float = 0.0
    is_short: bool = False
    demand_per_s: Float = 0.0


QuotaMessage: TypeAlias = (
    LeaseRequest | LeaseGrant | ShortageNotice | BucketRequest | BucketTransfer
)

_Item = TypeVar("_Item", LeaseRequestItem, LeaseGrantItem)

_encoder = msgspec.msgpack.Encoder()
_decoder = MsgpackDecoder[QuotaMessage](
    QuotaMessage, "a quota message", MAX_DATAGRAM_BYTES
)


def encode(message: QuotaMessage) -> bytes:
    """Returns `message` encoded as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> QuotaMessage | None:
    """Returns the message in a datagram; `None` if it is malformed."""
    try:
        return _decoder.decode(data)
    except MalformedInputError:
        return None


def split_into_datagrams(
    items: Iterable[_Item],
) -> Iterator[tuple[_Item, ...]]:
    """Yields `items` in groups that each fit one datagram."""
    group: list[_Item] = []
    size = 0
    for item in items:
        item_size = len(item.account.encode()) + _ITEM_OVERHEAD_BYTES
        if group and size + item_size > _MAX_ITEMS_BYTES:
            yield tuple(group)
            group, size = [], 0
        group.append(item)
        size += item_size
    if group:
        yield tuple(group)


#: Maximum number of accounts in one shortage notice.
_MAX_NOTICE_ACCOUNTS = 4


def shortage_notices(
    node: str, short: Iterable[str], recovered: Iterable[str]
) -> Iterator[ShortageNotice]:
    """Yields the notices that announce the begin or end of shortages.

    Args:
      node: name of the lender.
      short: accounts that are short of tokens.
      recovered: accounts that no longer are.
    """
    for accounts, has_ended in (
        (tuple(short), False),
        (tuple(recovered), True),
    ):
        for first in range(0, len(accounts), _MAX_NOTICE_ACCOUNTS):
            batch = accounts[first : first + _MAX_NOTICE_ACCOUNTS]
            yield ShortageNotice(node, batch, has_ended)
