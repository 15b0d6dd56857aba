"""A malformed entry of a gossip message hides no other one."""

import msgspec
import pytest

from radishwind.decoding.numbers import MAX_INT
from radishwind.http.types import Address
from radishwind.membership.contact_records import contact_addresses
from radishwind.membership.contact_records import decode_contact_record
from radishwind.membership.contact_records import updated_record
from radishwind.membership.envelope import decode_envelope
from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import decode_message
from radishwind.membership.messages import encode_message
from radishwind.membership.messages import MessageError
from radishwind.membership.messages import Ping
from radishwind.membership.messages import Push
from radishwind.membership.messages import SyncPage
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

MEMBER = MemberRecord("n-1", "s", "a", "127.0.0.1:7600", 5)
RUMOR = Rumor("config", "version", 7, "[7]", 1_000)

ODD_MEMBERS = [
    None,
    [],
    ["n-2"],
    ["n" * 64, "s", "a", "127.0.0.1:7600", 5],
    ["n-2", "s", "a", "a..b:7600", 5],
    ["n-2", "s", "a", "127.0.0.1:76000", 5],
    ["n-2", "s", "a", "127.0.0.1:7600", -1],
    ["n-2", "s", "a", "127.0.0.1:7600", 5, 9],
]
ODD_RUMORS = [
    {},
    ["t", "k" * 161, 1, "1", 1],
    ["t", "k", 1, "v" * 513, 1],
    ["t", "k", MAX_INT + 1, "1", 1],
    ["t", "k", 1, "1", -1],
]


def odd_message(message):
    """Returns the builtin types of `message` with malformed entries in it."""
    raw = msgspec.to_builtins(message)
    raw[3] = (*ODD_MEMBERS, *raw[3], ODD_MEMBERS[0])
    raw[4] = (*ODD_RUMORS, *raw[4], ODD_RUMORS[0])
    return raw


@pytest.mark.parametrize("kind", [Push, Ping, SyncPage])
def test_malformed_entries_hide_no_good_ones(kind):
    message = kind("n-0", 3, (MEMBER,), (RUMOR,))
    odd = odd_message(message)
    reasons = []

    from_json = decode_message(msgspec.json.encode(odd), reasons.append)
    from_datagram = decode_envelope(
        msgspec.msgpack.encode([9, True, odd]), reasons.append
    )

    assert from_json == message
    assert from_datagram == Envelope(9, True, message)
    assert len(reasons) == 2 * (len(ODD_MEMBERS) + len(ODD_RUMORS) + 2)


def test_sound_message_is_decoded_as_a_whole():
    message = Push("n-0", 3, (MEMBER,), (RUMOR,))
    reasons = []

    envelope = Envelope(0, False, message)
    assert decode_message(encode_message(message), reasons.append) == message
    assert (
        decode_envelope(encode_envelope(envelope), reasons.append) == envelope
    )
    assert not reasons


@pytest.mark.parametrize(
    "odd",
    [
        None,
        [],
        ["push"],
        ["push", "n", -1, [], []],
        ["push", "n", 1, None, []],
        ["unknown", "n", 1, [], []],
        ["push", "n" * 64, 1, [], []],
    ],
)
def test_message_that_is_odd_otherwise_is_malformed(odd):
    with pytest.raises(MessageError):
        decode_message(msgspec.json.encode(odd))
    with pytest.raises(MessageError):
        decode_envelope(msgspec.msgpack.encode([0, False, odd]))


@pytest.mark.parametrize("version", [2**53 + 1, MAX_INT])
def test_versions_up_to_64_bits_are_carried(version):
    rumor = msgspec.structs.replace(RUMOR, version=version)
    message = Push("n-0", version, (MEMBER,), (rumor,))

    assert decode_message(encode_message(message)) == message
    datagram = encode_envelope(Envelope(0, False, message))
    assert decode_envelope(datagram).message == message


def test_odd_contacts_hide_no_good_ones():
    nested = "[" * 100_000 + "]" * 100_000
    contacts = [
        "1",
        "{}",
        "[1,1]",
        '["a..b:7600",1]',
        f'["{"x" * 300}:7600",1]',
        '["127.0.0.1:99999",1]',
        '["127.0.0.1:9",-1]',
        '["127.0.0.1:9",1' + "0" * 400 + "]",
        nested,
        '["127.0.0.2:7600",5]',
    ]
    value = '{"contacts":[' + ",".join(contacts) + "]}"

    record = decode_contact_record(value.encode())

    assert contact_addresses(record) == (Address("127.0.0.2", 7600),)


def test_contacts_of_the_far_future_make_room():
    entries = ",".join(f'["127.0.0.{n}:7600",{2**62}]' for n in range(1, 20))
    record = decode_contact_record(f'{{"contacts":[{entries}]}}'.encode())
    own = Address("127.0.1.1", 7600)

    updated = updated_record(record, own, frozenset(), 1_000_000)

    assert contact_addresses(updated) == (own,)
