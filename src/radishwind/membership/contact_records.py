"""Contact records in the store, by which a new node finds its first peers.

There is one small record of addresses per failure domain. It is read by nodes
without peers and by the few that rank first in their domain, and written only
by nodes that find too few or stale contacts in it. So each domain costs the
store a handful of calls per hour, regardless of the number of nodes.
"""

import msgspec

from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.sizes import MAX_VALUE_BYTES
from radishwind.http.types import Address

CONTACTS_KEY_PREFIX = "/radishwind/contacts/"

#: Maximum number of addresses in the record of a failure domain.
MAX_CONTACTS_PER_DOMAIN = 8
#: Contacts read from a record; another writer may have put any number there.
_MAX_CONTACTS_READ = 64
#: A contact that wasn't confirmed for this long, or is said to have been this
#: far in the future, may be replaced (ms).
CONTACT_STALE_AFTER_MS = 3 * 3_600_000
#: A contact renews its own entry when it is this old (ms).
CONTACT_RENEW_AFTER_MS = 3_600_000


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """Address of a node and when the node last confirmed it.

    Attributes:
      address: address of a peer listener, `HOST:PORT`.
      confirmed_ms: wall-clock time (ms since the epoch, UTC).
    """

    address: str
    confirmed_ms: NonNegativeInt


class ContactRecord(msgspec.Struct, frozen=True):
    """The contacts of one failure domain."""

    contacts: tuple[Contact, ...] = ()


class _RawContactRecord(msgspec.Struct, frozen=True):
    # Decoded one by one, so that a malformed contact doesn't hide the others.
    contacts: tuple[msgspec.Raw, ...] = ()


_record_decoder = JsonDecoder[_RawContactRecord](
    _RawContactRecord, "a contact record", MAX_VALUE_BYTES
)
_contact_decoder = JsonDecoder[Contact](Contact, "a contact", MAX_VALUE_BYTES)


def contact_key(failure_domain: str) -> str:
    """Returns the store key of the record of `failure_domain`."""
    return CONTACTS_KEY_PREFIX + failure_domain


def decode_contact_record(value: bytes) -> ContactRecord:
    """Returns the record decoded from `value`; empty if it is malformed.

    Malformed contacts in it are left out.
    """
    try:
        raws = _record_decoder.decode(value).contacts
    except MalformedInputError:
        return ContactRecord()
    contacts = (_decode_contact(raw) for raw in raws[:_MAX_CONTACTS_READ])
    return ContactRecord(tuple(c for c in contacts if c is not None))


def contact_addresses(record: ContactRecord) -> tuple[Address, ...]:
    """Returns the valid addresses of `record`."""
    parsed = (_parse_address(contact.address) for contact in record.contacts)
    return tuple(address for address in parsed if address is not None)


def updated_record(
    record: ContactRecord,
    own: Address,
    unreachable: frozenset[Address],
    now_ms: int,
    max_contacts: int = MAX_CONTACTS_PER_DOMAIN,
) -> ContactRecord | None:
    """Returns `record` with `own` added or confirmed, if that is needed.

    Args:
      record: the record as read from the store.
      own: address of this node's peer listener.
      unreachable: contacts that didn't answer this node.
      now_ms: wall-clock time (ms since the epoch, UTC).
      max_contacts: maximum number of addresses in the record.

    Returns:
      The record to write; `None` if the stored one needs no change.
    """
    kept = [
        contact
        for contact in record.contacts
        if abs(now_ms - contact.confirmed_ms) < CONTACT_STALE_AFTER_MS
        and contact.address != str(own)
        and _parse_address(contact.address) not in unreachable
    ]
    own_entries = [c for c in record.contacts if c.address == str(own)]
    if (
        own_entries
        and now_ms - own_entries[0].confirmed_ms < CONTACT_RENEW_AFTER_MS
    ):
        return None
    if len(kept) >= max_contacts:
        return None
    return ContactRecord((*kept, Contact(str(own), now_ms)))


def _decode_contact(raw: msgspec.Raw) -> Contact | None:
    try:
        contact = _contact_decoder.decode(raw)
    except MalformedInputError:
        return None
    return contact if _parse_address(contact.address) is not None else None


def _parse_address(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except ValueError:
        return None
