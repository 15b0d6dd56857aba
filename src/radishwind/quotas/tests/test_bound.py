"""The bound of a quota holds whatever faults messages and nodes have."""

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from tests.support.quota_net import max_in_window
from tests.support.quota_net import QuotaNetwork

from radishwind.accounts import Account

NODE_COUNT = 6

#: Time between two faults: a process that ended takes about as long until it
#: accepts requests again, so a window of 5 s sees two faults.
FAULT_INTERVAL_S = 2.5

FAULTS = ("none", "cut", "heal", "kill", "start", "restart", "late", "freeze")

faults = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(1, 2**NODE_COUNT - 2)),
    max_size=6,
)


class RequestRecorder:
    """Sends requests; refunds some of the admitted ones, records the others."""

    def __init__(self, network, refund_ratio):
        self.network = network
        self.refund_ratio = refund_ratio
        self.ran_at = []

    def send(self, name):
        node = self.network.nodes[name]
        if not node.alive or node.frozen or not self.network.request(name, "a"):
            return
        now = self.network.now
        if self.network.rng.random() < self.refund_ratio:
            delay_s = self.network.rng.uniform(0.0, 1.5)
            self.network.at(now + delay_s, lambda: self.refund(node, now))
        else:
            self.ran_at.append(now)

    def refund(self, node, admitted_at):
        node.borrower.refund("a", admitted_at, self.network.now)


def inject(network, kind, mask):
    """Injects one fault at the nodes whose bits are set in `mask`."""
    names = [n for i, n in enumerate(network.nodes) if mask >> i & 1]
    if kind == "cut":
        network.partitions.clear()
        network.cut(names)
    elif kind == "heal":
        network.heal()
    for name in names[:2]:
        if kind == "kill":
            network.kill(name)
        elif kind == "start" or (
            kind == "restart" and network.nodes[name].alive
        ):
            network.start(name)
        elif kind == "late":
            network.start(name, discovery=(2.0, 5.0))
        elif kind == "freeze":
            network.freeze(name, 3.0)


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
    load_factor=st.sampled_from([0.8, 2.0, 8.0]),
    loss=st.sampled_from([0.0, 0.1, 0.5]),
    duplication=st.sampled_from([0.0, 0.3]),
    max_delay_s=st.sampled_from([0.003, 0.3, 1.5]),
    refund_ratio=st.sampled_from([0.0, 0.3]),
)
@example(
    faults=[("late", 1)],
    seed=0,
    rate=10.0,
    load_factor=8.0,
    loss=0.0,
    duplication=0.0,
    max_delay_s=0.003,
    refund_ratio=0.0,
)
def test_bound_holds_under_faults(
    faults,
    seed,
    rate,
    load_factor,
    loss,
    duplication,
    max_delay_s,
    refund_ratio,
):
    network = QuotaNetwork(
        [Account("a", (), None, rate, rate)],
        NODE_COUNT,
        seed=seed,
        loss=loss,
        duplication=duplication,
        delay=(0.0005, max_delay_s),
    )
    recorder = RequestRecorder(network, refund_ratio)
    at, end = (
        network.now,
        network.now + FAULT_INTERVAL_S * (len(faults) + 2),
    )
    while at < end:
        at += network.rng.expovariate(rate * load_factor)
        name = network.rng.choice(list(network.nodes))
        network.at(at, lambda name=name: recorder.send(name))
    for kind, mask in faults:
        network.run_until(network.now + FAULT_INTERVAL_S)
        inject(network, kind, mask)
    network.run_until(end)
    limit = network.limits["a"]
    assert (
        max_in_window(recorder.ran_at, limit.window_s) <= limit.max_per_window
    )
