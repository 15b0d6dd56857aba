"""The directory gives what the inventory lists and what takes new work."""

import msgspec
import pytest
from tests.support.gossip_net import GossipNet
from tests.support.gossip_net import member_record

from radishwind.config import Configuration
from radishwind.config import Inventory
from radishwind.config import Target
from radishwind.config.index import ConfigIndex
from radishwind.core import ManualClock
from radishwind.membership import AdvertisedState
from radishwind.membership import GossipDirectory
from radishwind.membership import MemberState
from radishwind.membership.allowlist import InventoryAllowlist
from radishwind.membership.messages import Ping
from radishwind.membership.records import Liveness

SERVICE = "service-0"
GRACE_S = 10.0


class Setup:
    def __init__(self):
        self.clock = ManualClock()
        self.node = GossipNet().add(0)
        self.index = self.allowlist(range(4))
        self.directory = GossipDirectory(
            self.node,
            InventoryAllowlist(lambda: self.index),
            self.clock,
            GRACE_S,
        )
        for number in (1, 2):
            self.hear(member_record(number))

    def allowlist(self, numbers):
        facts = [member_record(number) for number in numbers]
        targets = tuple(
            Target(f.name, f.service, f.failure_domain, 9) for f in facts
        )
        return ConfigIndex(Configuration(1, "c", Inventory(targets=targets)))

    def hear(self, fact, **changes):
        fact = msgspec.structs.replace(fact, **changes)
        ping = Ping("x", members=(fact,))
        self.node.receive(ping, self.clock.monotonic())

    def names(self):
        return [m.name[-1] for m in self.directory.eligible_members(SERVICE)]


@pytest.fixture
def setup():
    return Setup()


def test_same_tuple_until_the_service_changes(setup):
    first = setup.directory.eligible_members(SERVICE)
    setup.hear(member_record(20))
    setup.index = setup.allowlist(range(5))
    same = setup.directory.eligible_members(SERVICE)
    setup.hear(member_record(3))

    assert same is first
    assert setup.names() == ["0", "1", "2", "3"]


def test_member_missing_from_the_inventory_is_reported_and_left_out(setup):
    setup.hear(member_record(5))

    assert setup.names() == ["0", "1", "2"]
    assert setup.directory.disallowed_names() == (member_record(5).name,)


@pytest.mark.parametrize(
    "changes", [{"service": "service-9"}, {"failure_domain": "elsewhere"}]
)
def test_member_announced_otherwise_than_listed_is_left_out(setup, changes):
    setup.hear(member_record(3), **changes)

    assert setup.names() == ["0", "1", "2"]
    assert setup.directory.eligible_members("service-9") == ()
    assert setup.directory.disallowed_names() == (member_record(3).name,)


@pytest.mark.parametrize(
    "announced",
    [AdvertisedState.DRAINING, AdvertisedState.LEAVING, AdvertisedState.LEFT],
)
def test_leaving_and_draining_take_no_new_work(setup, announced):
    setup.hear(member_record(1), incarnation=1_001, advertised=announced)

    assert setup.names() == ["0", "2"]


def test_suspected_member_is_the_last_resort(setup):
    setup.hear(member_record(1), liveness=Liveness.SUSPECT)
    beside = setup.names()
    setup.hear(member_record(2), liveness=Liveness.SUSPECT)
    setup.hear(
        member_record(0), incarnation=1_001, advertised=AdvertisedState.LEAVING
    )
    setup.node.advertise(AdvertisedState.LEAVING, 0.0)

    assert beside == ["0", "2"]
    assert setup.names() == ["1", "2"]


def test_leaving_member_that_is_suspected_takes_no_new_work(setup):
    setup.hear(
        member_record(1),
        incarnation=1_001,
        advertised=AdvertisedState.LEAVING,
        liveness=Liveness.SUSPECT,
    )
    setup.hear(member_record(2), liveness=Liveness.SUSPECT)
    setup.node.advertise(AdvertisedState.LEAVING, 0.0)

    assert setup.names() == ["2"]


def test_death_on_hearsay_is_usable_only_until_the_grace_is_over(setup):
    for number in (1, 2):
        setup.hear(member_record(number), liveness=Liveness.DEAD)
    setup.node.advertise(AdvertisedState.DRAINING, 0.0)
    at_once = setup.names()
    setup.clock.advance(GRACE_S)

    assert at_once == ["1", "2"]
    assert setup.names() == []


def test_members_tell_state_and_revision(setup):
    setup.node.config_revision = 8
    setup.node.receive(Ping(member_record(1).name, config_revision=7), 0.0)
    setup.hear(member_record(2), liveness=Liveness.DEAD)

    members = setup.directory.members()

    assert [m.config_revision for m in members] == [8, 7, 0]
    assert [m.state for m in members] == [
        MemberState.ALIVE,
        MemberState.ALIVE,
        MemberState.DEAD,
    ]


def test_a_member_is_made_anew_only_where_its_fact_changed(setup):
    before = {m.name: m for m in setup.directory.members()}

    setup.hear(
        member_record(2), incarnation=1_001, advertised=AdvertisedState.DRAINING
    )

    after = {m.name: m for m in setup.directory.members()}
    changed = {name for name in after if after[name] is not before[name]}
    assert changed == {member_record(2).name}
    assert after[member_record(2).name].state is MemberState.DRAINING


def test_a_member_tells_the_revision_heard_last(setup):
    name = member_record(1).name
    setup.node.receive(Ping(name, 7), setup.clock.monotonic())

    by_name = {m.name: m for m in setup.directory.members()}

    assert by_name[name].config_revision == 7


def test_a_member_that_is_forgotten_is_listed_no_more(setup):
    name = member_record(2).name
    setup.directory.members()

    setup.node.table.forget_member(name)

    assert name not in {m.name for m in setup.directory.members()}
    assert name not in setup.directory._member_cache
