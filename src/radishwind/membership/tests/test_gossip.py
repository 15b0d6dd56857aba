"""Failure detection and dissemination, simulated on many nodes."""

import random

import pytest
from tests.support.gossip_simulation import GossipSimulation
from tests.support.gossip_simulation import member_record

from radishwind.membership import AdvertisedState
from radishwind.membership import GossipOptions
from radishwind.membership.messages import Ping
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.records import Liveness
from radishwind.membership.records import Rumor

SIZE = 30


@pytest.fixture
def net():
    net = GossipSimulation()
    net.start_known_nodes(SIZE)
    net.run_for(5.0)
    return net


def all_hold(net, number, predicate):
    return lambda: net.count_nodes_holding(number, predicate) == len(net.nodes)


def test_nodes_that_join_by_one_contact_learn_all_members():
    net = GossipSimulation()
    for number in range(SIZE):
        net.start_node(number)
        net.join(number, [0])

    took = net.run_until(
        lambda: all(len(n.table.members) == SIZE for n in net.nodes.values()),
        20.0,
    )

    assert took is not None


def test_no_member_is_suspected_without_faults(net):
    net.run_for(60.0)

    records = [r for n in net.nodes.values() for r in n.table.members.values()]
    assert {r.liveness for r in records} == {Liveness.ALIVE}
    assert {r.incarnation for r in records} == {1_000}


def test_crash_is_detected_and_disseminated(net):
    net.crash(3)

    took = net.run_until(all_hold(net, 3, lambda r: r.is_gone), 60.0)

    assert took is not None


def test_leaving_reaches_all_nodes_within_two_seconds(net):
    net.send(4, net.nodes[4].advertise(AdvertisedState.LEAVING, net.now))

    took = net.run_until(
        all_hold(net, 4, lambda r: r.advertised is AdvertisedState.LEAVING),
        2.0,
    )

    assert took is not None


def test_start_and_end_of_draining_reach_all_nodes(net):
    for state in (AdvertisedState.DRAINING, AdvertisedState.SERVING):
        net.send(4, net.nodes[4].advertise(state, net.now))
        took = net.run_until(
            all_hold(net, 4, lambda r, s=state: r.advertised is s),
            2.0,
        )
        assert took is not None


def test_end_of_draining_does_not_revoke_leaving():
    node = GossipSimulation().start_node(1)
    node.advertise(AdvertisedState.LEAVING, 0.0)

    node.advertise(AdvertisedState.SERVING, 0.0)

    assert node.own_record.advertised is AdvertisedState.LEAVING


def test_resumed_process_refutes_suspicion(net):
    net.pause(5)
    suspected = net.run_until(
        lambda: (
            net.count_nodes_holding(5, lambda r: r.liveness is Liveness.SUSPECT)
            > 0
        ),
        60.0,
    )
    net.resume(5)

    took = net.run_until(
        all_hold(
            net,
            5,
            lambda r: r.liveness is Liveness.ALIVE and r.incarnation > 1_000,
        ),
        20.0,
    )

    assert suspected is not None
    assert took is not None


def test_resumed_process_refutes_its_death(net):
    net.pause(5)
    net.run_for(60.0)
    dead_views = net.count_nodes_holding(
        5, lambda r: r.liveness is Liveness.DEAD
    )
    net.resume(5)

    took = net.run_until(
        all_hold(net, 5, lambda r: r.liveness is Liveness.ALIVE), 30.0
    )

    assert dead_views == SIZE - 1
    assert took is not None


def test_resumed_process_suspects_no_member(net):
    net.pause(5)
    net.run_for(120.0)
    net.resume(5)

    net.run_for(0.2)

    states = {r.liveness for r in net.nodes[5].table.members.values()}
    assert states == {Liveness.ALIVE}


def test_sides_of_a_partition_merge_after_an_hour():
    net = GossipSimulation(
        GossipOptions(probe_period_s=5.0, probe_timeout_s=1.0)
    )
    net.start_known_nodes(12)
    net.partitions = {number: number % 2 for number in range(12)}
    net.run_for(3_600.0)
    gone_views = net.count_nodes_holding(0, lambda r: r.is_gone)
    net.send(2, net.nodes[2].advertise(AdvertisedState.DRAINING, net.now))
    net.partitions = {}

    def merged():
        tables = [n.table.members for n in net.nodes.values()]
        return all(t == tables[0] for t in tables) and all(
            r.liveness is Liveness.ALIVE for r in tables[0].values()
        )

    took = net.run_until(merged, 120.0)

    assert gone_views == 6
    assert took is not None
    assert net.nodes[1].table.members[member_record(2).name].advertised == 1


def test_restarted_process_supersedes_its_dead_incarnation(net):
    net.crash(6)
    net.run_for(40.0)
    net.start_node(6, incarnation=2_000)
    net.join(6, [1])

    took = net.run_until(
        all_hold(net, 6, lambda r: not r.is_gone and r.incarnation == 2_000),
        20.0,
    )

    assert took is not None


def test_process_restarted_with_an_earlier_wall_clock_is_alive_again(net):
    net.crash(6)
    net.run_for(40.0)
    net.start_node(6, incarnation=10)
    net.join(6, [1])

    took = net.run_until(all_hold(net, 6, lambda r: not r.is_gone), 20.0)

    assert took is not None


def test_dead_members_are_forgotten_after_their_time():
    net = GossipSimulation(GossipOptions(forget_after_s=30.0))
    net.start_known_nodes(5)
    net.crash(2)

    net.run_for(120.0)

    assert net.count_nodes_holding(2, lambda r: True) == 0


def test_rumor_reaches_all_nodes_once_and_expires(net):
    received = []
    for node in net.nodes.values():
        node.add_rumor_listener(received.append)
    rumor = Rumor("config", "root", 7, '{"revision":7}', 20_000)
    net.nodes[0].publish(rumor, net.now)
    net.send(0, net.nodes[0].tick(net.now))

    net.run_for(2.0)
    count = len(received)
    net.run_for(30.0)

    assert count == SIZE
    assert len(received) == SIZE
    assert all(not n.table.rumors() for n in net.nodes.values())


def test_late_joiner_receives_earlier_rumors(net):
    net.nodes[0].publish(Rumor("q", "k", 1, "{}", 600_000), net.now)
    net.run_for(20.0)
    net.start_node(SIZE)
    net.join(SIZE, [3])

    took = net.run_until(lambda: net.nodes[SIZE].table.rumors() != (), 20.0)

    assert took is not None


def test_member_with_a_failed_connection_is_probed_next():
    net = GossipSimulation()
    net.start_known_nodes(10)
    node = net.nodes[0]
    net.run_for(0.01)
    node.probe_soon(member_record(7).name, net.now)

    probes = [
        m for m in node.tick(net.now) if m.purpose is MessagePurpose.PROBE
    ]

    assert [probe.member for probe in probes] == [member_record(7).name]


def test_reply_of_another_member_is_a_failed_probe():
    net = GossipSimulation()
    net.start_known_nodes(10)
    messages = net.nodes[0].tick(1.0)
    probe = next(m for m in messages if m.purpose is MessagePurpose.PROBE)
    other = next(n for n in net.nodes if member_record(n).name != probe.member)
    reply, _ = net.nodes[other].receive(probe.message, 1.0)

    messages = net.nodes[0].handle_reply(probe, reply, 1.0)

    assert {m.purpose for m in messages} == {MessagePurpose.REQUEST_PROBE}


def test_process_with_the_same_name_is_counted_and_refuted_rarely():
    node = GossipSimulation().start_node(1)
    conflicting_fields = (*_fields(member_record(1))[:3], "10.9.9.9:8081")

    for incarnation in range(9_000, 14_000, 1_000):
        other = type(node.own_record)(*conflicting_fields, incarnation)
        node.receive(Ping("x", members=(other,)), 1.0)

    assert node.name_conflicts == 5
    assert node.own_record.incarnation == 9_001


def test_unknown_dead_members_are_not_added():
    node = GossipSimulation().start_node(1)
    dead = type(member_record(2))(
        *_fields(member_record(2))[:5], 0, Liveness.DEAD
    )

    node.receive(Ping("x", members=(dead,)), 1.0)

    assert list(node.table.members) == [member_record(1).name]


def test_same_seed_gives_the_same_run():
    def simulate():
        net = GossipSimulation(seed=5)
        net.start_known_nodes(8)
        net.crash(2)
        net.run_for(30.0)
        return net.messages, [dict(n.table.members) for n in net.nodes.values()]

    assert simulate() == simulate()


def test_all_members_are_alive_again_after_random_pauses(net):
    rng = random.Random(11)
    for _ in range(20):
        number = rng.randrange(SIZE)
        if number in net.paused:
            net.resume(number)
        elif number in net.nodes and rng.random() < 0.5:
            net.pause(number)
        net.run_for(rng.random() * 4)
    for number in list(net.paused):
        net.resume(number)

    def settled():
        return all(
            r.liveness is Liveness.ALIVE
            for n in net.nodes.values()
            for r in n.table.members.values()
        )

    assert net.run_until(settled, 60.0) is not None


def _fields(record):
    return tuple(getattr(record, name) for name in record.__struct_fields__)


@pytest.mark.parametrize("how", ["killed", "stopped as planned"])
def test_restarted_node_without_contacts_is_found(net, how):
    """The store, by which it would find its peers, may be unavailable."""
    if how == "stopped as planned":
        net.send(3, net.nodes[3].advertise(AdvertisedState.LEFT, net.now))
        net.run_for(0.2)
    net.crash(3)
    net.run_for(3.0)

    restarted = net.start_node(3, incarnation=2_000)

    took = net.run_until(lambda: len(restarted.table.members) == SIZE, 15.0)
    assert took is not None
    is_back = all_hold(net, 3, lambda r: r.incarnation >= 2_000)
    assert net.run_until(is_back, 5.0) is not None


def test_member_that_left_is_sent_rejoin_probes_for_a_limited_time(net):
    net.send(3, net.nodes[3].advertise(AdvertisedState.LEFT, net.now))
    net.run_for(0.2)
    net.crash(3)
    net.run_for(60.0)

    rejoin_probes = [
        message
        for _ in range(200)
        for node in net.nodes.values()
        for message in node.tick(net.now + 1.0)
        if message.purpose is MessagePurpose.REJOIN
    ]

    assert rejoin_probes == []
