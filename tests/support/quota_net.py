"""Nodes that lend each other requests of accounts, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random

from radishwind.accounts import Account
from radishwind.core import ManualClock
from radishwind.quotas import Borrower
from radishwind.quotas import Lender
from radishwind.quotas import LenderMap
from radishwind.quotas import QuotaBounds
from radishwind.quotas import QuotaLimit
from radishwind.quotas.messages import decode
from radishwind.quotas.messages import encode
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseRequest

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)

TICK_S = 0.25
BATCH_S = 0.01


class Node:
    """One node; what it sends goes to its net."""

    def __init__(self, net, name, members):
        self.net, self.name = net, name
        self.limits = net.limits
        self.frozen = False
        self.alive = True
        self.hears_at = 0.0
        self.lender_map = LenderMap(name, net.now, lambda: len(net.nodes) == 1)
        self.lender_map.update_members(members, len(members), net.now)
        self.lender = Lender(self.lender_map, self.limit_of, net.clock)
        self.borrower = Borrower(
            self.lender_map, self.limit_of, net.rng, self.ask_own, self.wake
        )
        net.at(net.now + net.rng.random() * TICK_S, self.tick)

    def limit_of(self, account):
        return self.limits.get(account)

    def ask_own(self, ask):
        grant, short = self.lender.handle_request(ask, self.net.now)
        self.tell(short)
        return grant

    def wake(self):
        self.net.at(self.net.now + BATCH_S, self.flush)

    def flush(self):
        if not self.alive:
            return
        if self.frozen:
            self.net.at(self.net.now + BATCH_S, self.flush)
            return
        for lender, ask in self.borrower.pop_requests(self.net.now):
            self.net.send(self.name, lender, ask)

    def tick(self):
        if not self.alive:
            return
        self.net.at(self.net.now + TICK_S, self.tick)
        if self.frozen:
            return
        self.tell(self.lender.tick(self.net.now))
        self.borrower.tick(self.net.now)
        self.flush()

    def tell(self, shortages):
        for told in shortages:
            self.borrower.handle_shortage(told, self.net.now)
            for other in self.net.nodes:
                if other != self.name:
                    self.net.send(self.name, other, told)

    def hear(self, sender, data):
        if not self.alive:
            return
        if self.frozen:
            self.net.held.append((self, sender, data))
            return
        message = decode(data)
        if isinstance(message, LeaseRequest):
            grant, short = self.lender.handle_request(message, self.net.now)
            self.net.send(self.name, sender, grant)
            self.tell(short)
        elif isinstance(message, LeaseGrant):
            self.borrower.handle_grant(message, self.net.now)
        else:
            self.borrower.handle_shortage(message, self.net.now)


@dataclasses.dataclass
class Net:
    """Nodes, the way between them, and what they let in."""

    accounts: list
    count: int
    seed: int = 1
    bounds: QuotaBounds = BOUNDS
    loss: float = 0.0
    repeat: float = 0.0
    delay: tuple = (0.0005, 0.003)
    settled: bool = True

    def __post_init__(self):
        self.clock = ManualClock()
        self.rng = random.Random(self.seed)
        self.events, self.held = [], []
        self.numbers = itertools.count()
        self.limits = self.limits_of(self.accounts)
        self.side = {}
        self.sent = self.bytes_sent = 0
        self.admitted = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        names = [f"n{i:04}" for i in range(self.count)]
        self.nodes = {}
        for name in names:
            self.nodes[name] = Node(self, name, names)
        if self.settled:
            self.run_until(5.0)

    def limits_of(self, accounts):
        return {
            a.name: QuotaLimit.for_account(a, self.bounds) for a in accounts
        }

    @property
    def now(self):
        return self.clock.monotonic()

    def at(self, when, call):
        heapq.heappush(self.events, (when, next(self.numbers), call))

    def run_until(self, end):
        while self.events and self.events[0][0] <= end:
            when, _, call = heapq.heappop(self.events)
            self.clock.advance(max(0.0, when - self.now))
            call()
        self.clock.advance(max(0.0, end - self.now))

    def send(self, sender, to, message):
        data = encode(message)
        assert len(data) < 1_400
        self.sent += 1
        self.bytes_sent += len(data)
        copies = 1 + (self.rng.random() < self.repeat)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            late = self.rng.uniform(*self.delay)
            self.at(self.now + late, lambda: self.deliver(sender, to, data))

    def deliver(self, sender, to, data):
        if self.side.get(sender) == self.side.get(to):
            self.nodes[to].hear(sender, data)

    def ask(self, node, account):
        """One request at `node` now; returns whether it was let in."""
        wait_s = self.nodes[node].borrower.admit(account, self.now)
        into = self.admitted if wait_s is None else self.refused
        into[account].append(self.now)
        return wait_s is None

    def cut(self, names, detect=(1.0, 3.0)):
        """Cuts `names` off; each node notices after a while of its own."""
        for name in names:
            self.side[name] = "cut"
        self.notice(detect)

    def heal(self, within_s=0.5):
        self.side.clear()
        self.notice((0.0, within_s))

    def kill(self, name, detect=(1.0, 3.0)):
        self.nodes[name].alive = False
        self.notice(detect)

    def start(self, name, heard=(0.05, 0.3)):
        """Starts `name`; it knows itself only, then all hear of each other.

        Args:
          name: the node.
          heard: when it hears of the others, from and to (s).
        """
        node = self.nodes[name] = Node(self, name, [name])
        node.hears_at = self.now + self.rng.uniform(*heard)
        self.at(node.hears_at, lambda: self.look(node))
        self.notice((0.05, 0.3))

    def notice(self, detect):
        for node in self.nodes.values():
            when = self.now + self.rng.uniform(*detect)
            self.at(when, lambda node=node: self.look(node))

    def look(self, node):
        if self.now < node.hears_at:
            return
        live = [
            name
            for name, other in self.nodes.items()
            if other.alive and self.side.get(name) == self.side.get(node.name)
        ]
        node.lender_map.update_members(live, len(self.nodes), self.now)

    def freeze(self, name, for_s):
        """Stands still; what comes meanwhile is read afterwards."""
        node = self.nodes[name]
        node.frozen = True
        self.at(self.now + for_s, lambda: self.thaw(node))

    def thaw(self, node):
        node.frozen = False
        held, self.held = self.held, []
        for to, sender, data in held:
            to.hear(sender, data)

    def worst(self, account, limit=None):
        """Returns the worst window's requests over its bound."""
        limit = limit or self.limits[account]
        return (
            worst_window(self.admitted[account], limit.window_s)
            / limit.max_per_window
        )


def worst_window(times, window_s):
    """Returns the most of `times` in any window."""
    most, first = 0, 0
    for last, when in enumerate(times):
        while when - times[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def power_law(count=71, total_per_s=392.0, skew=1.2, times=1.6):
    """Returns accounts and their usual rates by a power law (1/s)."""
    parts = [(i + 1) ** -skew for i in range(count)]
    rates = [total_per_s * p / sum(parts) for p in parts]
    accounts = [
        Account(f"account-{i:02}", (), None, rate * times, rate * times)
        for i, rate in enumerate(rates)
    ]
    return accounts, {a.name: r for a, r in zip(accounts, rates, strict=True)}


def load(net, rates, until, nodes_of=None):
    """Lets requests come at random until `until`, by account and rate."""
    rng = random.Random(net.seed + 1)
    names = list(net.nodes)
    for account, rate in rates.items():
        at = net.now + rng.expovariate(rate)
        own = nodes_of(account) if nodes_of else names
        while at < until:
            node = rng.choice(own)
            net.at(at, lambda n=node, a=account: _come(net, n, a))
            at += rng.expovariate(rate)


def _come(net, name, account):
    node = net.nodes[name]
    if node.alive and not node.frozen:
        net.ask(name, account)


class Bucket:
    """One bucket that sees all at once."""

    def __init__(self, limit, burst):
        self.rate, self.burst = limit.rate_per_s, burst
        self.level, self.at = burst, 0.0

    def take(self, now):
        gained = (now - self.at) * self.rate
        self.level, self.at = min(self.burst, self.level + gained), now
        if self.level < 1:
            return False
        self.level -= 1
        return True


def refused_wrongly(net):
    """Returns the part of requests refused though one bucket lets them in."""
    wrong = total = 0
    for account in net.accounts:
        came = [(t, True) for t in net.admitted[account.name]]
        came += [(t, False) for t in net.refused[account.name]]
        bucket = Bucket(net.limits[account.name], max(1.0, account.burst))
        for when, let_in in sorted(came):
            total += 1
            wrong += bucket.take(when) and not let_in
    return wrong / max(1, total)
