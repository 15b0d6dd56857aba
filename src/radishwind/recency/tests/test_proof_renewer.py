"""Proofs are renewed with few store calls, whatever fails."""

import datetime

import pytest
from tests.support.recency_net import BOUND_S
from tests.support.recency_net import RecencyNetwork

from radishwind.experiment.virtual_loop import run_in_virtual_time
from radishwind.recency import ProofSchedule
from radishwind.telemetry import part_logger

NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(15)]
MAX_AGE_S = ProofSchedule(BOUND_S).max_age_s


def simulate(scenario, names=NAMES, **options):
    async def run_scenario():
        network = RecencyNetwork(names, **options)
        try:
            return await scenario(network)
        finally:
            network.stop()

    return run_in_virtual_time(run_scenario())


async def min_fresh_count(network, seconds, step_s=0.05):
    """Returns the smallest number of nodes that were fresh at one time."""
    least = len(network.nodes)
    for _ in range(round(seconds / step_s)):
        await network.advance(step_s)
        least = min(least, len(network.fresh_nodes()))
    return least


@pytest.mark.parametrize("count", [2, 12, 60, 240])
def test_store_calls_are_few_whatever_the_number_of_nodes(count):
    names = [f"{'abcd'[n % 4]}-{n}" for n in range(count)]

    async def scenario(network):
        await network.advance(2.0)
        calls, delivered = network.store.calls, network.delivered
        least = await min_fresh_count(network, 30.0)
        return (
            least,
            (network.store.calls - calls) / 30,
            (network.delivered - delivered) / 30 / count,
        )

    least, calls_per_s, messages_per_s = simulate(scenario, names)

    print(count, calls_per_s, messages_per_s)
    assert least == count
    assert calls_per_s <= 1.0
    assert messages_per_s <= 3.0


def test_all_nodes_are_fresh_soon_after_all_start():
    async def scenario(network):
        await network.advance(0.3)
        return len(network.fresh_nodes()), network.store.calls

    fresh_count, calls = simulate(scenario)

    print(calls)
    assert fresh_count == len(NAMES)
    assert calls <= len(NAMES) / 2


def test_accounts_change_neither_store_calls_nor_messages():
    async def scenario(network):
        await network.advance(20.0)
        return network.store.calls, network.delivered

    assert simulate(scenario, accounts=()) == simulate(scenario)


def names_in_order(network):
    """Returns the nodes' names in the order in which they read the store."""
    positions = {
        name: node.renewer._selector.select().position
        for name, node in network.nodes.items()
    }
    return sorted(positions, key=positions.get)


@pytest.mark.parametrize("fault", ["busy", "silent", 0.24])
def test_all_nodes_stay_fresh_when_store_reads_of_a_third_fail_or_are_slow(
    fault,
):
    async def scenario(network):
        await network.advance(2.0)
        affected = names_in_order(network)[::3]
        network.store.faults = dict.fromkeys(affected, fault)
        calls = network.store.calls
        least = await min_fresh_count(network, 30.0)
        return least, (network.store.calls - calls) / 30

    least, calls_per_s = simulate(scenario)

    print(fault, calls_per_s)
    assert least == len(NAMES)
    assert calls_per_s <= 1.5


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_no_node_is_fresh_beyond_the_maximum_age_without_the_store(fault):
    async def scenario(network):
        await network.advance(2.0)
        lost_at = network.clock.monotonic()
        network.store.faults = dict.fromkeys(network.nodes, fault)
        await network.advance(MAX_AGE_S - 2.6)
        early = len(network.fresh_nodes())
        await network.advance(lost_at + MAX_AGE_S - network.clock.monotonic())
        late = len(network.fresh_nodes())
        delivered = network.delivered
        await network.advance(5.0)
        messages_per_s = (
            (network.delivered - delivered) / 5 / len(network.nodes)
        )
        calls = network.store.calls
        network.store.faults = {}
        await network.advance(1.5)
        return early, late, len(network.fresh_nodes()), calls, messages_per_s

    early, late, back, calls, messages_per_s = simulate(scenario)

    print(fault, calls, messages_per_s)
    assert (early, late) == (len(NAMES), 0)
    assert back == len(NAMES)
    assert calls <= 10 * len(NAMES)
    assert messages_per_s <= 40


def test_all_nodes_stay_fresh_with_a_store_sixty_times_slower():
    async def scenario(network):
        network.store.faults = dict.fromkeys(network.nodes, 0.24)
        await network.advance(2.0)
        calls = network.store.calls
        return await min_fresh_count(network, 20.0), (
            network.store.calls - calls
        ) / 20

    least, calls_per_s = simulate(scenario)

    print(calls_per_s)
    assert least == len(NAMES)
    assert calls_per_s <= 1.0


def test_node_cut_off_from_all_becomes_stale_and_recovers():
    async def scenario(network):
        await network.advance(2.0)
        name = names_in_order(network)[20]
        network.cut = {name}
        network.store.faults = {name: "silent"}
        await network.advance(MAX_AGE_S)
        out = network.fresh_nodes()
        network.cut, network.store.faults = set(), {}
        await network.advance(1.0)
        return name, out, network.fresh_nodes()

    name, out, back = simulate(scenario)

    assert out == set(NAMES) - {name}
    assert back == set(NAMES)


@pytest.mark.parametrize("position", [0, 1, 5, 59])
def test_node_unreachable_from_the_others_reads_the_store_itself(position):
    async def scenario(network):
        await network.advance(2.0)
        name = names_in_order(network)[position]
        network.cut = {name}
        network.store.callers.clear()
        least = await min_fresh_count(network, 20.0)
        return least, network.store.callers.count(name) / 20

    least, calls_per_s = simulate(scenario)

    assert least == len(NAMES)
    assert 0 < calls_per_s < 1.0


@pytest.mark.parametrize("count", [1, 3, 20])
def test_remaining_nodes_stay_fresh_when_the_first_ones_are_killed(count):
    async def scenario(network):
        await network.advance(2.0)
        killed = names_in_order(network)[:count]
        for name in killed:
            network.kill(name)
        # Membership finds out seconds later, all at once here.
        least = await min_fresh_count(network, 4.0)
        network.connect_all()
        least = min(least, await min_fresh_count(network, 10.0))
        for name in killed:
            network.start(name)
        network.connect_all()
        await network.advance(0.5)
        return least, len(network.fresh_nodes())

    least, back = simulate(scenario)

    assert least == len(NAMES) - count
    assert back == len(NAMES)


@pytest.mark.parametrize("position", [0, 3, 30])
def test_paused_node_gains_no_proof_from_before_its_pause(position):
    async def scenario(network):
        await network.advance(2.0)
        name = names_in_order(network)[position]
        node = network.nodes[name]
        paused_at = network.clock.monotonic()
        node.paused_until = paused_at + 4.0
        network.store.faults = {name: 4.0}
        least = len(network.nodes)
        while network.clock.monotonic() < node.paused_until:
            await network.advance(0.05)
            others = network.fresh_nodes() - {name}
            least = min(least, len(others))
            if network.clock.monotonic() >= node.paused_until:
                break
            # Late replies prove no more than was known before the pause.
            assert node.age_s() >= network.clock.monotonic() - paused_at - 0.01
        network.store.faults = {}
        await network.advance(0.5)
        return least, node.age_s()

    least, age_s = simulate(scenario)

    assert least == len(NAMES) - 1
    assert age_s < 3.0


def test_missing_version_is_fetched_before_its_proof_counts():
    async def scenario(network):
        await network.advance(2.0)
        network.store.write(2)
        await network.advance(MAX_AGE_S)
        return (
            {node.routes.version for node in network.nodes.values()},
            len(network.fresh_nodes()),
        )

    assert simulate(scenario) == ({2}, len(NAMES))


def refuse_first(network, count, fault):
    for name in names_in_order(network)[:count]:
        network.store.faults[name] = fault


def pause_first(network, count):
    until = network.clock.monotonic() + 2 * network.bound_s
    for name in names_in_order(network)[:count]:
        network.nodes[name].paused_until = until
        network.store.faults[name] = 2 * network.bound_s
        network.cut.add(name)


@pytest.mark.parametrize("phase", range(2))
@pytest.mark.parametrize("bound_s", [2.0, BOUND_S])
@pytest.mark.parametrize("count", [11, 60])
@pytest.mark.parametrize(
    "disturb",
    [
        lambda network: None,
        lambda network: refuse_first(network, 8, "busy"),
        lambda network: refuse_first(network, 8, "silent"),
        lambda network: pause_first(network, 6),
        lambda network: setattr(network, "loss", 0.2),
    ],
    ids=["none", "busy", "silent", "paused", "lost datagrams"],
)
def test_change_that_no_watch_reports_is_in_force_within_the_bound(
    disturb, count, bound_s, phase
):
    names = [f"{'abc'[n % 3]}-{n}" for n in range(count)]

    async def scenario(network):
        await network.advance(bound_s * (2 + phase / 5))
        disturb(network)
        network.store.write(2)
        await network.advance(bound_s)
        return {
            name
            for name, node in network.nodes.items()
            if node.routes.version < 2 and not node.paused_until
        }

    assert simulate(scenario, names, bound_s=bound_s) == set()


@pytest.mark.parametrize("bound_s", [2.0, BOUND_S])
def test_change_is_in_force_soon_after_a_silence_of_the_store(bound_s):
    async def scenario(network):
        await network.advance(2.0)
        network.store.faults = dict.fromkeys(network.nodes, "silent")
        await network.advance(4.0)
        network.store.write(2)
        network.store.faults = {}
        await network.advance(3.0)
        return {node.routes.version for node in network.nodes.values()}

    assert simulate(scenario, bound_s=bound_s) == {2}


def test_node_that_cannot_fetch_a_version_becomes_stale():
    async def scenario(network):
        await network.advance(2.0)
        network.delivers_versions = False
        written_at = network.clock.monotonic()
        network.store.write(2)
        await network.advance(
            written_at + MAX_AGE_S - network.clock.monotonic()
        )
        return {
            name
            for name in network.fresh_nodes()
            if network.nodes[name].routes.version < 2
        }

    assert simulate(scenario) == set()


def test_all_nodes_stay_fresh_with_lost_datagrams():
    async def scenario(network):
        network.loss = 0.2
        await network.advance(2.0)
        return await min_fresh_count(network, 30.0)

    assert simulate(scenario) == len(NAMES)


def test_both_sides_of_a_partition_stay_fresh():
    async def scenario(network):
        await network.advance(2.0)
        separated = {name for name in network.nodes if name[0] == "c"}
        send = network.send

        def cut(sender, peer, data):
            if (sender.name in separated) == (peer.host in separated):
                send(sender, peer, data)

        network.send = cut
        calls = network.store.calls
        least = await min_fresh_count(network, 30.0)
        return least, (network.store.calls - calls) / 30

    least, calls_per_s = simulate(scenario)

    print(calls_per_s)
    assert least == len(NAMES)
    assert calls_per_s <= 2.0


def test_other_store_changes_cost_at_most_a_second_call_each():
    async def scenario(network):
        await network.advance(2.0)
        calls = network.store.calls
        for _ in range(200):
            network.store.write_other()
            await network.advance(0.1)
        return len(network.fresh_nodes()), (network.store.calls - calls) / 20

    fresh_count, calls_per_s = simulate(scenario)

    assert fresh_count == len(NAMES)
    assert calls_per_s <= 1.5


@pytest.mark.parametrize("jump_s", [-4.0, 4.0, 3600.0])
def test_jumps_of_the_wall_clock_have_no_effect(jump_s):
    async def scenario(network):
        await network.advance(2.0)
        now = network.clock.now
        network.clock.now = lambda: now() + datetime.timedelta(seconds=jump_s)
        least = await min_fresh_count(network, 5.0)
        network.store.faults = dict.fromkeys(network.nodes, "busy")
        await network.advance(MAX_AGE_S)
        return least, len(network.fresh_nodes())

    assert simulate(scenario) == (len(NAMES), 0)


def test_loss_and_recovery_of_the_proof_are_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(part_logger, "_sinks", [lines.append])

    async def scenario(network):
        await network.advance(2.0)
        network.store.faults = dict.fromkeys(network.nodes, "busy")
        await network.advance(10.0)
        network.store.faults = {}
        await network.advance(2.0)

    simulate(scenario, ["a-1", "b-1"])

    logged = [x for x in lines if x["message_type"] == "radishwind:recency"]
    out = [x for x in logged if "Out of proof" in x["text"]]
    back = [x for x in logged if "Has proof" in x["text"]]
    assert (len(out), len(back)) == (2, 4)
    assert all(x["age_s"] >= MAX_AGE_S for x in out)
    assert {x["source"] for x in back} <= {"store", "a-1", "b-1"}
