"""Whatever becomes of messages and nodes, the bound of a quota holds."""

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from tests.support.quota_net import Net
from tests.support.quota_net import worst_window

from radishwind.accounts import Account

NODES = 6

#: Time between two faults (s): a process that ended needs about as long until
#: it takes callers again, so a window sees two faults.
APART_S = 2.5

FAULTS = ("none", "cut", "heal", "kill", "start", "restart", "late", "freeze")

faults = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(1, 2**NODES - 2)),
    max_size=6,
)


class Runs:
    """Lets requests come; some of those let in don't run."""

    def __init__(self, net, refused_part):
        self.net = net
        self.refused_part = refused_part
        self.ran = []

    def come(self, name):
        node = self.net.nodes[name]
        if not node.alive or node.frozen or not self.net.ask(name, "a"):
            return
        now = self.net.now
        if self.net.rng.random() < self.refused_part:
            late = self.net.rng.uniform(0.0, 1.5)
            self.net.at(now + late, lambda: self.back(node, now))
        else:
            self.ran.append(now)

    def back(self, node, taken_at):
        node.borrower.refund("a", taken_at, self.net.now)


def befall(net, kind, mask):
    """Brings one fault about at the nodes of `mask`."""
    names = [n for i, n in enumerate(net.nodes) if mask >> i & 1]
    if kind == "cut":
        net.side.clear()
        net.cut(names)
    elif kind == "heal":
        net.heal()
    for name in names[:2]:
        if kind == "kill":
            net.kill(name)
        elif kind == "start" or (kind == "restart" and net.nodes[name].alive):
            net.start(name)
        elif kind == "late":
            net.start(name, heard=(2.0, 5.0))
        elif kind == "freeze":
            net.freeze(name, 3.0)


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(
    faults=faults,
    seed=st.integers(0, 999),
    rate=st.sampled_from([0.5, 2.0, 10.0, 60.0]),
    times=st.sampled_from([0.8, 2.0, 8.0]),
    loss=st.sampled_from([0.0, 0.1, 0.5]),
    repeat=st.sampled_from([0.0, 0.3]),
    late_s=st.sampled_from([0.003, 0.3, 1.5]),
    refused_part=st.sampled_from([0.0, 0.3]),
)
@example(
    faults=[("late", 1)],
    seed=0,
    rate=10.0,
    times=8.0,
    loss=0.0,
    repeat=0.0,
    late_s=0.003,
    refused_part=0.0,
)
def test_the_bound_holds(
    faults, seed, rate, times, loss, repeat, late_s, refused_part
):
    net = Net(
        [Account("a", (), None, rate, rate)],
        NODES,
        seed=seed,
        loss=loss,
        repeat=repeat,
        delay=(0.0005, late_s),
    )
    runs = Runs(net, refused_part)
    at, end = net.now, net.now + APART_S * (len(faults) + 2)
    while at < end:
        at += net.rng.expovariate(rate * times)
        name = net.rng.choice(list(net.nodes))
        net.at(at, lambda name=name: runs.come(name))
    for kind, mask in faults:
        net.run_until(net.now + APART_S)
        befall(net, kind, mask)
    net.run_until(end)
    limit = net.limits["a"]
    assert worst_window(runs.ran, limit.window_s) <= limit.max_per_window
