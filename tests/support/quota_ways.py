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

#: Duration of the base load, and start and duration of a surge of some accounts
#: and of a network partition during it.
DURATION_S = 20.0
SURGE_START_S, SURGE_S = 10.0, 6.5
PARTITION_START_S, PARTITION_S = 12.0, 5.0

#: Loads by name: number of accounts that surge, ratio of their rate to the base
#: rate, and whether a third of the nodes is partitioned off.
LOADS = {
    "calm": (0, 1, False),
    "three largest 5 times": (3, 5, False),
    "largest 10 times": (1, 10, False),
    "a third cut off": (0, 1, True),
    "largest 10 times, a third cut off": (1, 10, True),
}

WAYS = ("equal parts", "lending ahead", "lending, one unasked")


class EqualParts(QuotaGate):
    """Gives each node a fixed, equal share of a quota's rate and burst."""

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
        """Does nothing, since the simulation does not compare refunds."""


def simulate(way, load_name, *, node_count, nodes_per_account, seed=1):
    """Simulates one load; returns the network after it.

    Args:
      way: one of `WAYS`.
      load_name: key of `LOADS`.
      node_count: number of nodes.
      nodes_per_account: number of nodes that receive an account's requests; 0
        for all.
      seed: seed of the random source.
    """
    surging, factor, is_partitioned = LOADS[load_name]
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
    receivers = (
        {a: network.rng.sample(names, nodes_per_account) for a in rates}
        if nodes_per_account
        else {}
    )
    nodes_of = receivers.get if nodes_per_account else None
    network.sent = network.bytes_sent = 0
    start = network.now
    schedule_requests(network, rates, start + DURATION_S, nodes_of)
    network.run_until(start + SURGE_START_S)
    surge = {a.name: rates[a.name] * (factor - 1) for a in accounts[:surging]}
    schedule_requests(network, surge, network.now + SURGE_S, nodes_of)
    network.run_until(start + PARTITION_START_S)
    if is_partitioned:
        network.cut(names[::3])
    network.run_until(start + PARTITION_START_S + PARTITION_S)
    if is_partitioned:
        network.heal()
    network.run_until(start + DURATION_S)
    return network


def cells(network):
    """Returns the results of a run as the cells of a table row.

    These are the ratio of the largest window to its bound, the fraction of
    false refusals, and the messages and bytes per node and second.
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
        for nodes_per_account in (0, 3):
            for way in WAYS:
                network = simulate(
                    way,
                    name,
                    node_count=58,
                    nodes_per_account=nodes_per_account,
                    seed=seed,
                )
                where = (
                    f"{nodes_per_account} nodes"
                    if nodes_per_account
                    else "all nodes"
                )
                print("|", name, "|", where, "|", way, "|",
                      " | ".join(cells(network)), "|", flush=True)  # fmt: skip
    for count in (12, 58, 300, 1100):
        for name in ("calm", "largest 10 times"):
            network = simulate(
                WAYS[-1], name, node_count=count, nodes_per_account=0, seed=seed
            )
            print("|", name, "|", f"all of {count}", "|", WAYS[-1], "|",
                  " | ".join(cells(network)), "|", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
