"""The few addresses kept in the store by which a new node finds the others.

There is one small record for each failure domain. It is read by nodes that
know nobody and by the few that rank first in their domain, and written only by
those that find it short or stale, so the store carries a handful of calls an
hour for each domain however many nodes there are.
"""

import msgspec

from radishwind.http.types import Address
from radishwind.membership.records import NonNegativeInt

CONTACTS_KEY_PREFIX = "/radishwind/contacts/"

#: Addresses kept for each failure domain.
MAX_CONTACTS_PER_DOMAIN = 8
#: An address that was not confirmed for this long may be replaced (ms).
CONTACT_STALE_AFTER_MS = 3 * 3_600_000
#: A contact confirms its address when it is older than this (ms).
CONTACT_RENEW_AFTER_MS = 3_600_000


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """An address of a node and when it was written.

    Attributes:
      address: a peer listener, `HOST:PORT`.
      confirmed_ms: wall-clock time (ms since the epoch, UTC).
    """

    address: str
    confirmed_ms: NonNegativeInt


class ContactRecord(msgspec.Struct, frozen=True):
    """The contacts of one failure domain."""

    contacts: tuple[Contact, ...] = ()


def contact_key(failure_domain: str) -> str:
    """Returns the key of the record of `failure_domain`."""
    return CONTACTS_KEY_PREFIX + failure_domain


def decode_contact_record(value: bytes) -> ContactRecord:
    """Returns the record in `value`; an unreadable one counts as empty."""
    try:
        return msgspec.json.decode(value, type=ContactRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ContactRecord()


def contact_addresses(record: ContactRecord) -> tuple[Address, ...]:
    """Returns the addresses of `record` that can be read."""
    parsed = (_parsed(contact.address) for contact in record.contacts)
    return tuple(address for address in parsed if address is not None)


def updated_record(
    record: ContactRecord,
    own: Address,
    unreachable: frozenset[Address],
    now_ms: int,
    most: int = MAX_CONTACTS_PER_DOMAIN,
) -> ContactRecord | None:
    """Returns the record with `own` in it, or `None` where it may stay.

    Args:
      record: as read from the store.
      own: the peer listener of this node.
      unreachable: contacts that this node found dead.
      now_ms: wall-clock time (ms since the epoch, UTC).
      most: addresses that the record holds at most.
    """
    kept = [
        contact
        for contact in record.contacts
        if now_ms - contact.confirmed_ms < CONTACT_STALE_AFTER_MS
        and contact.address != str(own)
        and _parsed(contact.address) not in unreachable
    ]
    mine = [c for c in record.contacts if c.address == str(own)]
    if mine and now_ms - mine[0].confirmed_ms < CONTACT_RENEW_AFTER_MS:
        return None
    if len(kept) >= most:
        return None
    return ContactRecord((*kept, Contact(str(own), now_ms)))


def _parsed(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except ValueError:
        return None
