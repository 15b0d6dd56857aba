"""Ways to keep a quota over many nodes: its bound, refusals, messages.

    python -m tests.support.quota_ways

Virtual time, seeded: accounts by a power law, requests at random; the lending
is the product's. Written as rows of a table.
"""

import argparse

import msgspec

from radishwind.quotas import QuotaGate
from tests.support.quota_net import load
from tests.support.quota_net import Net
from tests.support.quota_net import power_law
from tests.support.quota_net import refused_wrongly

#: Usual load lasts so long (s), and so does a hot account or a cut in it.
PLAYED_S = 20.0
HOT_FROM_S, HOT_S = 10.0, 6.5
CUT_FROM_S, CUT_S = 12.0, 5.0

#: Loads by name: hot accounts, times of their usual, whether a third is cut.
LOADS = {
    "calm": (0, 1, False),
    "three largest 5 times": (3, 5, False),
    "largest 10 times": (1, 10, False),
    "a third cut off": (0, 1, True),
    "largest 10 times, a third cut off": (1, 10, True),
}

WAYS = ("equal parts", "lending ahead", "lending, one unasked")


class EqualParts(QuotaGate):
    """Each node has its part of rate and depth, and tells nobody."""

    def __init__(self, net):
        self._net = net
        self._levels = {}

    def admit(self, account, now):
        limit = self._net.limits[account]
        depth = max(1.0, limit.depth / self._net.count)
        level, at = self._levels.get(account, (depth, now))
        rate = limit.rate_per_s / self._net.count
        level = min(depth, level + (now - at) * rate)
        let_in = level >= 1
        self._levels[account] = (level - let_in, now)
        return None if let_in else 1.0

    def refund(self, account, taken_at, now):
        """Counts nothing back."""


def play(way, name, *, count, homed, seed=1):
    """Returns a net after one load."""
    hot, times, cut = LOADS[name]
    accounts, rates = power_law()
    net = Net(accounts, count, seed=seed)
    if way == "lending ahead":
        net.limits.update(
            (n, msgspec.structs.replace(limit, unasked=0.0))
            for n, limit in net.limits.items()
        )
    if way == "equal parts":
        for node in net.nodes.values():
            node.borrower = EqualParts(net)
            node.tick = node.flush = lambda: None
        net.events = []
    names = list(net.nodes)
    homes = {a: net.rng.sample(names, homed) for a in rates} if homed else {}
    nodes_of = homes.get if homed else None
    net.sent = net.bytes_sent = 0
    start = net.now
    load(net, rates, start + PLAYED_S, nodes_of)
    net.run_until(start + HOT_FROM_S)
    more = {a.name: rates[a.name] * (times - 1) for a in accounts[:hot]}
    load(net, more, net.now + HOT_S, nodes_of)
    net.run_until(start + CUT_FROM_S)
    if cut:
        net.cut(names[::3])
    net.run_until(start + CUT_FROM_S + CUT_S)
    if cut:
        net.heal()
    net.run_until(start + PLAYED_S)
    return net


def figures(net):
    """Returns worst window over bound, refused wrongly, messages, bytes."""
    worst = max(net.worst(a.name) for a in net.accounts)
    a_node = PLAYED_S * net.count
    return (
        f"{worst:.2f}",
        f"{refused_wrongly(net):.3f}",
        f"{net.sent / a_node:.1f}",
        f"{net.bytes_sent / a_node:.0f}",
    )


def main():
    """Prints the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("| load | callers at | way | worst | refused | messages | bytes |")
    for name in LOADS:
        for homed in (0, 3):
            for way in WAYS:
                net = play(way, name, count=58, homed=homed, seed=seed)
                where = f"{homed} nodes" if homed else "all nodes"
                print("|", name, "|", where, "|", way, "|",
                      " | ".join(figures(net)), "|", flush=True)  # fmt: skip
    for count in (12, 58, 300, 1100):
        for name in ("calm", "largest 10 times"):
            net = play(WAYS[-1], name, count=count, homed=0, seed=seed)
            print("|", name, "|", f"all of {count}", "|", WAYS[-1], "|",
                  " | ".join(figures(net)), "|", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
