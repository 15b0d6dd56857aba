"""Failure detection and spreading, on many state machines in one process."""

import random

import pytest
from tests.support.gossip_net import GossipNet
from tests.support.gossip_net import member_record

from radishwind.membership import AdvertisedState
from radishwind.membership import GossipOptions
from radishwind.membership.messages import Ping
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.records import Liveness
from radishwind.membership.records import Rumor

SIZE = 30


@pytest.fixture
def net():
    net = GossipNet()
    net.fill(SIZE)
    net.run(5.0)
    return net


def everyone_holds(net, number, test):
    return lambda: net.count_holding(number, test) == len(net.nodes)


def test_nodes_that_know_one_contact_learn_of_all():
    net = GossipNet()
    for number in range(SIZE):
        net.add(number)
        net.join(number, [0])

    took = net.run_until(
        lambda: all(len(n.table.members) == SIZE for n in net.nodes.values()),
        20.0,
    )

    assert took is not None


def test_nobody_is_suspected_at_rest(net):
    net.run(60.0)

    facts = [f for n in net.nodes.values() for f in n.table.members.values()]
    assert {f.liveness for f in facts} == {Liveness.ALIVE}
    assert {f.incarnation for f in facts} == {1_000}


def test_death_is_found_and_told_to_all(net):
    net.kill(3)

    took = net.run_until(everyone_holds(net, 3, lambda f: f.is_gone), 60.0)

    assert took is not None


def test_leaving_is_told_to_all_within_two_seconds(net):
    net.send(4, net.nodes[4].advertise(AdvertisedState.LEAVING, net.now))

    took = net.run_until(
        everyone_holds(
            net, 4, lambda f: f.advertised is AdvertisedState.LEAVING
        ),
        2.0,
    )

    assert took is not None


def test_drain_that_ends_is_told_to_all(net):
    for announced in (AdvertisedState.DRAINING, AdvertisedState.SERVING):
        net.send(4, net.nodes[4].advertise(announced, net.now))
        took = net.run_until(
            everyone_holds(net, 4, lambda f, a=announced: f.advertised is a),
            2.0,
        )
        assert took is not None


def test_end_of_a_drain_does_not_take_leaving_back():
    node = GossipNet().add(1)
    node.advertise(AdvertisedState.LEAVING, 0.0)

    node.advertise(AdvertisedState.SERVING, 0.0)

    assert node.own_record.advertised is AdvertisedState.LEAVING


def test_paused_process_that_comes_back_refutes(net):
    net.pause(5)
    suspected = net.run_until(
        lambda: (
            net.count_holding(5, lambda f: f.liveness is Liveness.SUSPECT) > 0
        ),
        60.0,
    )
    net.resume(5)

    took = net.run_until(
        everyone_holds(
            net,
            5,
            lambda f: f.liveness is Liveness.ALIVE and f.incarnation > 1_000,
        ),
        20.0,
    )

    assert suspected is not None
    assert took is not None


def test_paused_process_believed_dead_comes_back(net):
    net.pause(5)
    net.run(60.0)
    believed = net.count_holding(5, lambda f: f.liveness is Liveness.DEAD)
    net.resume(5)

    took = net.run_until(
        everyone_holds(net, 5, lambda f: f.liveness is Liveness.ALIVE), 30.0
    )

    assert believed == SIZE - 1
    assert took is not None


def test_paused_process_suspects_nobody_when_it_resumes(net):
    net.pause(5)
    net.run(120.0)
    net.resume(5)

    net.run(0.2)

    beliefs = {f.liveness for f in net.nodes[5].table.members.values()}
    assert beliefs == {Liveness.ALIVE}


def test_sides_apart_for_an_hour_merge():
    net = GossipNet(GossipOptions(probe_period_s=5.0, probe_timeout_s=1.0))
    net.fill(12)
    net.side = {number: number % 2 for number in range(12)}
    net.run(3_600.0)
    apart = net.count_holding(0, lambda f: f.is_gone)
    net.send(2, net.nodes[2].advertise(AdvertisedState.DRAINING, net.now))
    net.side = {}

    def merged():
        tables = [n.table.members for n in net.nodes.values()]
        return all(t == tables[0] for t in tables) and all(
            f.liveness is Liveness.ALIVE for f in tables[0].values()
        )

    took = net.run_until(merged, 120.0)

    assert apart == 6
    assert took is not None
    assert net.nodes[1].table.members[member_record(2).name].advertised == 1


def test_restarted_process_replaces_its_dead_self(net):
    net.kill(6)
    net.run(40.0)
    net.add(6, incarnation=2_000)
    net.join(6, [1])

    took = net.run_until(
        everyone_holds(
            net, 6, lambda f: not f.is_gone and f.incarnation == 2_000
        ),
        20.0,
    )

    assert took is not None


def test_restart_with_the_wall_clock_behind_is_alive_again(net):
    net.kill(6)
    net.run(40.0)
    net.add(6, incarnation=10)
    net.join(6, [1])

    took = net.run_until(everyone_holds(net, 6, lambda f: not f.is_gone), 20.0)

    assert took is not None


def test_dead_are_forgotten_by_rule():
    net = GossipNet(GossipOptions(forget_after_s=30.0))
    net.fill(5)
    net.kill(2)

    net.run(120.0)

    assert net.count_holding(2, lambda f: True) == 0


def test_rumour_reaches_all_and_is_forgotten(net):
    heard = []
    for node in net.nodes.values():
        node.add_rumor_listener(heard.append)
    fact = Rumor("config", "root", 7, '{"revision":7}', 20_000)
    net.nodes[0].publish(fact, net.now)
    net.send(0, net.nodes[0].tick(net.now))

    net.run(2.0)
    count = len(heard)
    net.run(30.0)

    assert count == SIZE
    assert len(heard) == SIZE
    assert all(not n.table.rumors() for n in net.nodes.values())


def test_late_joiner_hears_of_rumours(net):
    net.nodes[0].publish(Rumor("q", "k", 1, "{}", 600_000), net.now)
    net.run(20.0)
    net.add(SIZE)
    net.join(SIZE, [3])

    took = net.run_until(lambda: net.nodes[SIZE].table.rumors() != (), 20.0)

    assert took is not None


def test_hint_makes_the_member_be_probed_next():
    net = GossipNet()
    net.fill(10)
    node = net.nodes[0]
    net.run(0.01)
    node.probe_soon(member_record(7).name, net.now)

    calls = [c for c in node.tick(net.now) if c.purpose is MessagePurpose.PROBE]

    assert [call.member for call in calls] == [member_record(7).name]


def test_answer_by_another_member_is_a_failed_probe():
    net = GossipNet()
    net.fill(10)
    calls = net.nodes[0].tick(1.0)
    probe = next(c for c in calls if c.purpose is MessagePurpose.PROBE)
    other = next(n for n in net.nodes if member_record(n).name != probe.member)
    answer, _ = net.nodes[other].receive(probe.message, 1.0)

    asked = net.nodes[0].handle_reply(probe, answer, 1.0)

    assert {c.purpose for c in asked} == {MessagePurpose.REQUEST_PROBE}


def test_second_process_of_our_name_is_counted_and_contradicted_rarely():
    node = GossipNet().add(1)
    place = (*_fields(member_record(1))[:3], "10.9.9.9:8081")

    for incarnation in range(9_000, 14_000, 1_000):
        other = type(node.own_record)(*place, incarnation)
        node.receive(Ping("x", members=(other,)), 1.0)

    assert node.name_conflicts == 5
    assert node.own_record.incarnation == 9_001


def test_unknown_dead_are_not_learnt():
    node = GossipNet().add(1)
    dead = type(member_record(2))(
        *_fields(member_record(2))[:5], 0, Liveness.DEAD
    )

    node.receive(Ping("x", members=(dead,)), 1.0)

    assert list(node.table.members) == [member_record(1).name]


def test_same_seed_gives_the_same_session():
    def session():
        net = GossipNet(seed=5)
        net.fill(8)
        net.kill(2)
        net.run(30.0)
        return net.messages, [dict(n.table.members) for n in net.nodes.values()]

    assert session() == session()


def test_random_faults_settle(net):
    rng = random.Random(11)
    for _ in range(20):
        number = rng.randrange(SIZE)
        if number in net.paused:
            net.resume(number)
        elif number in net.nodes and rng.random() < 0.5:
            net.pause(number)
        net.run(rng.random() * 4)
    for number in list(net.paused):
        net.resume(number)

    def settled():
        return all(
            f.liveness is Liveness.ALIVE
            for n in net.nodes.values()
            for f in n.table.members.values()
        )

    assert net.run_until(settled, 60.0) is not None


def _fields(fact):
    return tuple(getattr(fact, name) for name in fact.__struct_fields__)


@pytest.mark.parametrize("how", ["killed", "stopped as planned"])
def test_a_node_that_starts_again_and_finds_nobody_is_found(net, how):
    """As where the store, by which it would find others, is away."""
    if how == "stopped as planned":
        net.send(3, net.nodes[3].advertise(AdvertisedState.LEFT, net.now))
        net.run(0.2)
    net.kill(3)
    net.run(3.0)

    again = net.add(3, incarnation=2_000)

    took = net.run_until(lambda: len(again.table.members) == SIZE, 15.0)
    assert took is not None
    back = everyone_holds(net, 3, lambda f: f.incarnation >= 2_000)
    assert net.run_until(back, 5.0) is not None


def test_who_left_for_good_is_not_looked_for_without_end(net):
    net.send(3, net.nodes[3].advertise(AdvertisedState.LEFT, net.now))
    net.run(0.2)
    net.kill(3)
    net.run(60.0)

    tried = [
        call
        for _ in range(200)
        for node in net.nodes.values()
        for call in node.tick(net.now + 1.0)
        if call.purpose is MessagePurpose.REJOIN
    ]

    assert tried == []
