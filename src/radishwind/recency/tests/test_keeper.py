"""Proof is kept with few calls of the store, whatever fails."""

import pytest
from tests.support.recency_net import BOUND_S
from tests.support.recency_net import Net

from radishwind.experiment.loop import run
from radishwind.recency import RecencyTimes

NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(15)]
LIMIT_S = RecencyTimes(BOUND_S).limit_s


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
