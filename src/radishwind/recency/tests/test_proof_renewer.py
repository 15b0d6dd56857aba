"""FreshnessProof is kept with few calls of the store, whatever fails."""

import datetime

import pytest
from tests.support.recency_net import BOUND_S
from tests.support.recency_net import Net

from radishwind.experiment.loop import run
from radishwind.recency import ProofSchedule
from radishwind.telemetry import logs

NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(15)]
LIMIT_S = ProofSchedule(BOUND_S).limit_s


def play(story, names=NAMES, **options):
    async def whole():
        net = Net(names, **options)
        try:
            return await story(net)
        finally:
            net.stop()

    return run(whole())


async def watched(net, seconds, step_s=0.05):
    """Returns the least number of nodes that had proof at once."""
    least = len(net.nodes)
    for _ in range(round(seconds / step_s)):
        await net.pass_s(step_s)
        least = min(least, len(net.standing()))
    return least


@pytest.mark.parametrize("count", [2, 12, 60, 240])
def test_calls_of_the_store_are_few_whatever_the_number_of_nodes(count):
    names = [f"{'abcd'[n % 4]}-{n}" for n in range(count)]

    async def story(net):
        await net.pass_s(2.0)
        calls, delivered = net.store.calls, net.delivered
        least = await watched(net, 30.0)
        return (
            least,
            (net.store.calls - calls) / 30,
            (net.delivered - delivered) / 30 / count,
        )

    least, calls_per_s, messages_per_s = play(story, names)

    print(count, calls_per_s, messages_per_s)
    assert least == count
    assert calls_per_s <= 1.0
    assert messages_per_s <= 3.0


def test_all_have_proof_soon_after_a_start_of_all():
    async def story(net):
        await net.pass_s(0.3)
        return len(net.standing()), net.store.calls

    standing, calls = play(story)

    print(calls)
    assert standing == len(NAMES)
    assert calls <= len(NAMES) / 2


def test_without_accounts_nothing_is_asked():
    async def story(net):
        await net.pass_s(20.0)
        return net.store.calls, net.delivered

    assert play(story, accounts=()) == (0, 0)


def first_in_turn(net):
    """Returns names by their place, the one that reads the store first."""
    looks = {
        name: node.keeper._sources.look().place
        for name, node in net.nodes.items()
    }
    return sorted(looks, key=looks.get)


@pytest.mark.parametrize("how", ["busy", "silent", 0.24])
def test_a_third_turned_away_by_the_store_stay_in_service(how):
    async def story(net):
        await net.pass_s(2.0)
        turned_away = first_in_turn(net)[::3]
        net.store.faults = dict.fromkeys(turned_away, how)
        calls = net.store.calls
        least = await watched(net, 30.0)
        return least, (net.store.calls - calls) / 30

    least, calls_per_s = play(story)

    print(how, calls_per_s)
    assert least == len(NAMES)
    assert calls_per_s <= 1.5


@pytest.mark.parametrize("how", ["busy", "silent"])
def test_where_the_store_is_lost_for_all_none_goes_on_beyond_the_limit(how):
    async def story(net):
        await net.pass_s(2.0)
        lost_at = net.clock.monotonic()
        net.store.faults = dict.fromkeys(net.nodes, how)
        await net.pass_s(LIMIT_S - 2.6)
        early = len(net.standing())
        await net.pass_s(lost_at + LIMIT_S - net.clock.monotonic())
        late = len(net.standing())
        delivered = net.delivered
        await net.pass_s(5.0)
        messages_per_s = (net.delivered - delivered) / 5 / len(net.nodes)
        calls = net.store.calls
        net.store.faults = {}
        await net.pass_s(1.5)
        return early, late, len(net.standing()), calls, messages_per_s

    early, late, back, calls, messages_per_s = play(story)

    print(how, calls, messages_per_s)
    assert (early, late) == (len(NAMES), 0)
    assert back == len(NAMES)
    assert calls <= 10 * len(NAMES)
    assert messages_per_s <= 40


def test_a_store_that_is_sixty_times_slower_for_all_keeps_all_in_proof():
    async def story(net):
        net.store.faults = dict.fromkeys(net.nodes, 0.24)
        await net.pass_s(2.0)
        calls = net.store.calls
        return await watched(net, 20.0), (net.store.calls - calls) / 20

    least, calls_per_s = play(story)

    print(calls_per_s)
    assert least == len(NAMES)
    assert calls_per_s <= 1.0


def test_a_node_cut_off_from_all_goes_out_of_proof_and_comes_back():
    async def story(net):
        await net.pass_s(2.0)
        name = first_in_turn(net)[20]
        net.cut = {name}
        net.store.faults = {name: "silent"}
        await net.pass_s(LIMIT_S)
        out = net.standing()
        net.cut, net.store.faults = set(), {}
        await net.pass_s(1.0)
        return name, out, net.standing()

    name, out, back = play(story)

    assert out == set(NAMES) - {name}
    assert back == set(NAMES)


@pytest.mark.parametrize("place", [0, 1, 5, 59])
def test_a_node_that_nobody_reaches_reads_the_store_itself(place):
    async def story(net):
        await net.pass_s(2.0)
        name = first_in_turn(net)[place]
        net.cut = {name}
        net.store.asked_by.clear()
        least = await watched(net, 20.0)
        return least, net.store.asked_by.count(name) / 20

    least, calls_per_s = play(story)

    assert least == len(NAMES)
    assert 0 < calls_per_s < 1.0


@pytest.mark.parametrize("count", [1, 3, 20])
def test_proof_goes_on_where_the_first_in_turn_are_killed(count):
    async def story(net):
        await net.pass_s(2.0)
        killed = first_in_turn(net)[:count]
        for name in killed:
            net.kill(name)
        # Membership finds out seconds later, all at once here.
        least = await watched(net, 4.0)
        net.meet()
        least = min(least, await watched(net, 10.0))
        for name in killed:
            net.start(name)
        net.meet()
        await net.pass_s(0.5)
        return least, len(net.standing())

    least, back = play(story)

    assert least == len(NAMES) - count
    assert back == len(NAMES)


@pytest.mark.parametrize("place", [0, 3, 30])
def test_a_frozen_node_brings_no_proof_back_from_before_its_freeze(place):
    async def story(net):
        await net.pass_s(2.0)
        name = first_in_turn(net)[place]
        node = net.nodes[name]
        frozen_at = net.clock.monotonic()
        node.frozen_until = frozen_at + 4.0
        net.store.faults = {name: 4.0}
        least = len(net.nodes)
        while net.clock.monotonic() < node.frozen_until:
            await net.pass_s(0.05)
            others = net.standing() - {name}
            least = min(least, len(others))
            if net.clock.monotonic() >= node.frozen_until:
                break
            # What comes back late says no more than what was known before.
            assert node.age_s() >= net.clock.monotonic() - frozen_at - 0.01
        net.store.faults = {}
        await net.pass_s(0.5)
        return least, node.age_s()

    least, age_s = play(story)

    assert least == len(NAMES) - 1
    assert age_s < 3.0


def test_a_version_that_a_node_lacks_is_fetched_before_proof_counts():
    async def story(net):
        await net.pass_s(2.0)
        net.store.write(2)
        await net.pass_s(LIMIT_S)
        return (
            {node.routes.version for node in net.nodes.values()},
            len(net.standing()),
        )

    assert play(story) == ({2}, len(NAMES))


def test_who_cannot_fetch_a_version_goes_out_of_proof():
    async def story(net):
        await net.pass_s(2.0)
        net.spreads = False
        written_at = net.clock.monotonic()
        net.store.write(2)
        await net.pass_s(written_at + LIMIT_S - net.clock.monotonic())
        return {
            name
            for name in net.standing()
            if net.nodes[name].routes.version < 2
        }

    assert play(story) == set()


def test_lost_datagrams_take_nobody_out_of_proof():
    async def story(net):
        net.loss = 0.2
        await net.pass_s(2.0)
        return await watched(net, 30.0)

    assert play(story) == len(NAMES)


def test_each_side_of_a_cut_through_the_nodes_keeps_proof():
    async def story(net):
        await net.pass_s(2.0)
        own = {name for name in net.nodes if name[0] == "c"}
        send = net.send

        def cut(sender, peer, data):
            if (sender.name in own) == (peer.host in own):
                send(sender, peer, data)

        net.send = cut
        calls = net.store.calls
        least = await watched(net, 30.0)
        return least, (net.store.calls - calls) / 30

    least, calls_per_s = play(story)

    print(calls_per_s)
    assert least == len(NAMES)
    assert calls_per_s <= 2.0


def test_other_changes_of_the_store_cost_a_second_call_each_at_most():
    async def story(net):
        await net.pass_s(2.0)
        calls = net.store.calls
        for _ in range(200):
            net.store.write_other()
            await net.pass_s(0.1)
        return len(net.standing()), (net.store.calls - calls) / 20

    standing, calls_per_s = play(story)

    assert standing == len(NAMES)
    assert calls_per_s <= 1.5


@pytest.mark.parametrize("jump_s", [-4.0, 4.0, 3600.0])
def test_a_time_of_day_that_jumps_changes_nothing(jump_s):
    async def story(net):
        await net.pass_s(2.0)
        now = net.clock.now
        net.clock.now = lambda: now() + datetime.timedelta(seconds=jump_s)
        least = await watched(net, 5.0)
        net.store.faults = dict.fromkeys(net.nodes, "busy")
        await net.pass_s(LIMIT_S)
        return least, len(net.standing())

    assert play(story) == (len(NAMES), 0)


def test_proof_lost_and_regained_are_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "_takers", [lines.append])

    async def story(net):
        await net.pass_s(2.0)
        net.store.faults = dict.fromkeys(net.nodes, "busy")
        await net.pass_s(10.0)
        net.store.faults = {}
        await net.pass_s(2.0)

    play(story, ["a-1", "b-1"])

    told = [x for x in lines if x["message_type"] == "radishwind:recency"]
    out = [x for x in told if "Out of proof" in x["text"]]
    back = [x for x in told if "Has proof" in x["text"]]
    assert (len(out), len(back)) == (2, 4)
    assert all(x["age_s"] >= LIMIT_S for x in out)
    assert {x["source"] for x in back} <= {"store", "a-1", "b-1"}
