"""Facts only move up, whatever the order in which they arrive."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from tests.support.gossip_net import GossipNet
from tests.support.gossip_net import member_record

from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.messages import decode_message
from radishwind.membership.messages import encode_message
from radishwind.membership.messages import MessageError
from radishwind.membership.messages import Ping
from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import member_newer
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

FACTS = st.builds(
    MemberRecord,
    st.sampled_from(["a", "b"]),
    st.sampled_from(["s", "t"]),
    st.just("d"),
    st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
    st.integers(0, 3),
    st.sampled_from(AdvertisedState),
    st.sampled_from(Liveness),
)
RUMORS = st.builds(
    Rumor,
    st.just("t"),
    st.sampled_from(["a", "b"]),
    st.integers(0, 3),
    st.sampled_from(["1", "2"]),
    st.just(1_000),
)


def held_after(facts):
    table = MembershipTable(10, 10)
    # A table learns of the living only; here both names are known before.
    for name in ("a", "b"):
        table.merge_member(MemberRecord(name, "-", "-", "0:0", 0))
    for fact in facts:
        table.merge_member(fact)
    return table.members, table.digests.groups()


@given(st.lists(FACTS, max_size=6).flatmap(lambda f: st.permutations(f + f)))
def test_merging_is_commutative_and_idempotent(facts):
    assert held_after(facts) == held_after(sorted(set(facts), key=repr))


@given(st.lists(FACTS, max_size=8))
def test_merging_is_monotone(facts):
    table = MembershipTable(10, 10)
    for fact in facts:
        old = table.members.get(fact.name)
        news = table.merge_member(fact)
        new = table.members.get(fact.name)
        assert news == (new != old)
        assert old is None or new == old or member_newer(new, old)


@given(st.lists(RUMORS, max_size=6).flatmap(lambda r: st.permutations(r + r)))
def test_rumours_merge_in_any_order(rumors):
    def held(facts):
        table = MembershipTable(10, 10)
        for fact in facts:
            table.merge_rumor(fact, 0.0)
        return set(table.rumors()), table.digests.groups()

    assert held(rumors) == held(set(rumors))


@given(st.lists(FACTS, max_size=6))
def test_digest_is_that_of_a_table_built_anew(facts):
    table = MembershipTable(10, 10)
    for fact in facts:
        table.merge_member(fact)
    rebuilt = MembershipTable(10, 10)
    for fact in table.members.values():
        rebuilt.merge_member(fact)

    assert table.digests.groups() == rebuilt.digests.groups()


def test_rumours_are_bounded_and_the_soonest_to_end_goes():
    table = MembershipTable(10, 3)
    for number in range(5):
        fact = Rumor("t", str(number), 1, "", 1_000 * (number + 1))
        table.merge_rumor(fact, 0.0)

    assert {f.key for f in table.rumors()} == {"2", "3", "4"}


def test_members_are_bounded():
    table = MembershipTable(3, 3)
    for number in range(5):
        table.merge_member(member_record(number))

    assert len(table.members) == 3


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message_are_refused(data):
    with pytest.raises(MessageError):
        decode_message(data)


@given(
    st.recursive(
        st.none()
        | st.integers(-(2**63), 2**64 - 1)
        | st.text(max_size=8)
        | st.sampled_from(["ping", "page", "groups", "push", "10.0.0.1:99999"]),
        lambda inner: st.lists(inner, max_size=6),
        max_leaves=20,
    )
)
def test_any_json_is_refused_or_handled(value):
    node = GossipNet().add(0)
    try:
        message = decode_message(msgspec.json.encode(value))
    except MessageError:
        return
    node.receive(message, 1.0)


@pytest.mark.parametrize(
    "address", ["", "host", "h:99999", "h:1\n", "h h:1", "http://h:1", ":1"]
)
def test_address_that_cannot_be_dialled_is_malformed(address):
    fact = MemberRecord("a", "s", "d", address, 1)

    with pytest.raises(MessageError):
        decode_message(encode_message(Ping("x", members=(fact,))))


def test_message_beyond_the_bound_is_refused():
    with pytest.raises(MessageError, match="at most"):
        decode_message(b" " * 100_000)
