"""Compares ways to enforce quotas over many nodes, by simulation.

    python -m tests.support.quota_ways

Prints the largest window over its bound, refusals, messages and bytes of each
way, as rows of a table. Time is virtual and the runs are seeded; account sizes
follow a power law, requests arrive at random. The lending is the product's own
code.
"""

import argparse

import msgspec

from radishwind.quotas import QuotaGate
from tests.support.quota_net import false_refusal_ratio
from tests.support.quota_net import power_law_accounts
from tests.support.quota_net import QuotaNetwork
from tests.support.quota_net import schedule_requests

#: Duration of the usual load, and begin and duration of a surge of some
#: accounts and of a network partition in it.
DURATION_S = 20.0
SURGE_FROM_S, SURGE_S = 10.0, 6.5
CUT_FROM_S, CUT_S = 12.0, 5.0

#: Loads by name: number of accounts that surge, their rate over the usual one,
#: and whether a third of the nodes is cut off.
LOADS = {
    "calm": (0, 1, False),
    "three largest 5 times": (3, 5, False),
    "largest 10 times": (1, 10, False),
    "a third cut off": (0, 1, True),
    "largest 10 times, a third cut off": (1, 10, True),
}

WAYS = ("equal parts", "lending ahead", "lending, one unasked")


class EqualParts(QuotaGate):
    """Gives each node an equal part of rate and depth, without messages."""

    def __init__(self, network):
        self._network = network
        self._levels = {}

    def admit(self, account, now):
        limit = self._network.limits[account]
        depth = max(1.0, limit.depth / self._network.node_count)
        level, at = self._levels.get(account, (depth, now))
        rate = limit.rate_per_s / self._network.node_count
        level = min(depth, level + (now - at) * rate)
        admitted = level >= 1
        self._levels[account] = (level - admitted, now)
        return None if admitted else 1.0

    def refund(self, account, admitted_at, now):
        """Does nothing; refunds are not compared here."""


def simulate(way, load_name, *, node_count, homed, seed=1):
    """Returns a network after one load.

    Args:
      way: one of `WAYS`.
      load_name: key of `LOADS`.
      node_count: number of nodes.
      homed: number of nodes that receive an account's requests; 0 for all.
      seed: seed of the random source.
    """
    surging, factor, cut = LOADS[load_name]
    accounts, rates = power_law_accounts()
    network = QuotaNetwork(accounts, node_count, seed=seed)
    if way == "lending ahead":
        network.limits.update(
            (n, msgspec.structs.replace(limit, max_unleased=0.0))
            for n, limit in network.limits.items()
        )
    if way == "equal parts":
        for node in network.nodes.values():
            node.borrower = EqualParts(network)
            node.tick = node.flush = lambda: None
        network.events = []
    names = list(network.nodes)
    homes = (
        {a: network.rng.sample(names, homed) for a in rates} if homed else {}
    )
    nodes_of = homes.get if homed else None
    network.sent = network.bytes_sent = 0
    start = network.now
    schedule_requests(network, rates, start + DURATION_S, nodes_of)
    network.run_until(start + SURGE_FROM_S)
    surge = {a.name: rates[a.name] * (factor - 1) for a in accounts[:surging]}
    schedule_requests(network, surge, network.now + SURGE_S, nodes_of)
    network.run_until(start + CUT_FROM_S)
    if cut:
        network.cut(names[::3])
    network.run_until(start + CUT_FROM_S + CUT_S)
    if cut:
        network.heal()
    network.run_until(start + DURATION_S)
    return network


def cells(network):
    """Returns the results of a run as text.

    These are the largest window over its bound, the fraction of false refusals,
    and the messages and bytes of a node and second.
    """
    worst = max(network.worst_ratio(a.name) for a in network.accounts)
    node_seconds = DURATION_S * network.node_count
    return (
        f"{worst:.2f}",
        f"{false_refusal_ratio(network):.3f}",
        f"{network.sent / node_seconds:.1f}",
        f"{network.bytes_sent / node_seconds:.0f}",
    )


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("| load | callers at | way | worst | refused | messages | bytes |")
    for name in LOADS:
        for homed in (0, 3):
            for way in WAYS:
                network = simulate(
                    way, name, node_count=58, homed=homed, seed=seed
                )
                where = f"{homed} nodes" if homed else "all nodes"
                print("|", name, "|", where, "|", way, "|",
                      " | ".join(cells(network)), "|", flush=True)  # fmt: skip
    for count in (12, 58, 300, 1100):
        for name in ("calm", "largest 10 times"):
            network = simulate(
                WAYS[-1], name, node_count=count, homed=0, seed=seed
            )
            print("|", name, "|", f"all of {count}", "|", WAYS[-1], "|",
                  " | ".join(cells(network)), "|", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
