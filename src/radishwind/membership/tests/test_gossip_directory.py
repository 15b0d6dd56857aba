"""The directory returns listed members that may take new work."""

import msgspec
import pytest
from tests.support.gossip_simulation import GossipSimulation
from tests.support.gossip_simulation import member_record

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


class DirectorySetup:
    def __init__(self):
        self.clock = ManualClock()
        self.node = GossipSimulation().start_node(0)
        self.index = self.make_index(range(4))
        self.directory = GossipDirectory(
            self.node,
            InventoryAllowlist(lambda: self.index),
            self.clock,
            GRACE_S,
        )
        for number in (1, 2):
            self.receive(member_record(number))

    def make_index(self, numbers):
        records = [member_record(number) for number in numbers]
        targets = tuple(
            Target(r.name, r.service, r.failure_domain, 9) for r in records
        )
        return ConfigIndex(Configuration(1, "c", Inventory(targets=targets)))

    def receive(self, record, **changes):
        record = msgspec.structs.replace(record, **changes)
        ping = Ping("x", members=(record,))
        self.node.receive(ping, self.clock.monotonic())

    def eligible_names(self):
        return [m.name[-1] for m in self.directory.eligible_members(SERVICE)]


@pytest.fixture
def setup():
    return DirectorySetup()


def test_same_tuple_is_returned_until_the_service_changes(setup):
    first = setup.directory.eligible_members(SERVICE)
    setup.receive(member_record(20))
    setup.index = setup.make_index(range(5))
    same = setup.directory.eligible_members(SERVICE)
    setup.receive(member_record(3))

    assert same is first
    assert setup.eligible_names() == ["0", "1", "2", "3"]


def test_member_missing_from_the_inventory_is_reported_and_excluded(setup):
    setup.receive(member_record(5))

    assert setup.eligible_names() == ["0", "1", "2"]
    assert setup.directory.disallowed_names() == (member_record(5).name,)


@pytest.mark.parametrize(
    "changes", [{"service": "service-9"}, {"failure_domain": "elsewhere"}]
)
def test_member_advertised_differently_than_listed_is_excluded(setup, changes):
    setup.receive(member_record(3), **changes)

    assert setup.eligible_names() == ["0", "1", "2"]
    assert setup.directory.eligible_members("service-9") == ()
    assert setup.directory.disallowed_names() == (member_record(3).name,)


@pytest.mark.parametrize(
    "state",
    [AdvertisedState.DRAINING, AdvertisedState.LEAVING, AdvertisedState.LEFT],
)
def test_draining_and_leaving_members_take_no_new_work(setup, state):
    setup.receive(member_record(1), incarnation=1_001, advertised=state)

    assert setup.eligible_names() == ["0", "2"]


def test_suspect_members_are_returned_only_without_alive_ones(setup):
    setup.receive(member_record(1), liveness=Liveness.SUSPECT)
    with_alive_ones = setup.eligible_names()
    setup.receive(member_record(2), liveness=Liveness.SUSPECT)
    setup.receive(
        member_record(0), incarnation=1_001, advertised=AdvertisedState.LEAVING
    )
    setup.node.advertise(AdvertisedState.LEAVING, 0.0)

    assert with_alive_ones == ["0", "2"]
    assert setup.eligible_names() == ["1", "2"]


def test_suspect_member_that_is_leaving_takes_no_new_work(setup):
    setup.receive(
        member_record(1),
        incarnation=1_001,
        advertised=AdvertisedState.LEAVING,
        liveness=Liveness.SUSPECT,
    )
    setup.receive(member_record(2), liveness=Liveness.SUSPECT)
    setup.node.advertise(AdvertisedState.LEAVING, 0.0)

    assert setup.eligible_names() == ["2"]


def test_reported_dead_member_is_usable_only_within_the_grace_period(setup):
    for number in (1, 2):
        setup.receive(member_record(number), liveness=Liveness.DEAD)
    setup.node.advertise(AdvertisedState.DRAINING, 0.0)
    within_grace = setup.eligible_names()
    setup.clock.advance(GRACE_S)

    assert within_grace == ["1", "2"]
    assert setup.eligible_names() == []


def test_members_have_state_and_config_revision(setup):
    setup.node.config_revision = 8
    setup.node.receive(Ping(member_record(1).name, config_revision=7), 0.0)
    setup.receive(member_record(2), liveness=Liveness.DEAD)

    members = setup.directory.members()

    assert [m.config_revision for m in members] == [8, 7, 0]
    assert [m.state for m in members] == [
        MemberState.ALIVE,
        MemberState.ALIVE,
        MemberState.DEAD,
    ]


def test_member_is_rebuilt_only_if_its_record_changed(setup):
    before = {m.name: m for m in setup.directory.members()}

    setup.receive(
        member_record(2), incarnation=1_001, advertised=AdvertisedState.DRAINING
    )

    after = {m.name: m for m in setup.directory.members()}
    changed = {name for name in after if after[name] is not before[name]}
    assert changed == {member_record(2).name}
    assert after[member_record(2).name].state is MemberState.DRAINING


def test_member_has_the_config_revision_received_last(setup):
    name = member_record(1).name
    setup.node.receive(Ping(name, 7), setup.clock.monotonic())

    by_name = {m.name: m for m in setup.directory.members()}

    assert by_name[name].config_revision == 7


def test_forgotten_member_is_removed(setup):
    name = member_record(2).name
    setup.directory.members()

    setup.node.table.forget_member(name)

    assert name not in {m.name for m in setup.directory.members()}
    assert name not in setup.directory._member_cache
