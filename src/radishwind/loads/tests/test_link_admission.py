"""A node takes on no more than its link carries."""

from hypothesis import given
from hypothesis import strategies as st

from radishwind.core.clock import ManualClock
from radishwind.loads.link_admission import LinkAdmission
from radishwind.loads.link_admission import MOST_QUEUE_S
from radishwind.loads.link_meter import LinkMeter
from radishwind.outcomes import NotRun
from radishwind.routing.chooser import LoadReport
from radishwind.routing.route_sizes import RouteSizes

MBPS = 5
SMALL, LARGE = "small", "large"
BYTES = {SMALL: 1_500, LARGE: 90_000}
RUN_S = 0.1


class Node:
    """A node whose server answers each attempt after `RUN_S`."""

    def __init__(self, mbps=MBPS, slots=100, run_s=RUN_S):
        self.load = LoadReport(slots, 0, 0, run_s * 1000)
        self.clock = ManualClock()
        sizes = RouteSizes()
        for route, size in BYTES.items():
            sizes.learn(route, 0, size)
        self.meter = LinkMeter(mbps, self.clock)
        self.room = LinkAdmission(self.meter, sizes, self.clock)
        self.running = []
        self.taken = {SMALL: 0, LARGE: 0}
        self.refused = {SMALL: 0, LARGE: 0}
        self.longest_s = 0.0

    def ask(self, route):
        size = self.room.admit(route, self.load)
        if isinstance(size, NotRun):
            self.refused[route] += 1
            return
        self.taken[route] += 1
        ends = self.clock.monotonic() + RUN_S
        self.running.append((ends, size, BYTES[route]))

    def pass_s(self, for_s):
        until = self.clock.monotonic() + for_s
        while self.running and self.running[0][0] <= until:
            ends, size, answer = self.running.pop(0)
            self.clock.advance(max(0.0, ends - self.clock.monotonic()))
            self.meter.sent(answer)
            self.room.release(size)
            self.longest_s = max(self.longest_s, self.meter.queue_s())
        self.clock.advance(max(0.0, until - self.clock.monotonic()))


def test_a_burst_of_large_answers_queues_briefly_and_short_ones_pass():
    """A link of 5 Mbit/s is asked for three times what it carries."""
    node = Node()
    for number in range(800):
        node.ask(LARGE if number % 4 == 0 else SMALL)
        node.pass_s(0.0125)

    assert node.refused[SMALL] == 0
    assert node.refused[LARGE] > node.taken[LARGE] > 0
    assert node.longest_s < 0.5
    sent_bits = 8 * sum(n * BYTES[r] for r, n in node.taken.items())
    assert sent_bits > 0.8 * MBPS * 1e6 * 10


def test_an_answer_longer_than_the_bound_is_taken_where_nothing_waits():
    node = Node(mbps=0.5)
    node.ask(LARGE)
    node.ask(LARGE)

    assert node.taken[LARGE] == node.refused[LARGE] == 1


def test_what_a_slow_server_lets_wait_is_no_queue_at_the_link():
    """Three slots of 0.55 s answer half of what 10 Mbit/s carries."""
    node = Node(mbps=10, slots=3, run_s=0.55)
    for _ in range(12):
        node.ask(LARGE)

    assert node.refused[LARGE] == 0


def test_nothing_is_refused_where_no_link_is_told():
    node = Node(mbps=0)
    for _ in range(100):
        node.ask(LARGE)

    assert node.refused[LARGE] == 0


def test_a_refusal_says_when_there_will_be_room():
    node = Node()
    while not node.refused[LARGE]:
        node.ask(LARGE)
    refusal = node.room.admit(LARGE, node.load)

    assert 0 < refusal.retry_after_s < 1


@given(
    st.lists(
        st.tuples(st.sampled_from((SMALL, LARGE)), st.floats(0, 0.2)),
        max_size=150,
    )
)
def test_large_answers_never_queue_for_half_a_second(moves):
    node = Node()
    for route, pause_s in moves:
        node.ask(route)
        node.pass_s(pause_s)
    node.pass_s(1.0)

    most_short_s = node.meter.transmission_s(BYTES[SMALL]) * node.taken[SMALL]
    most_s = max(MOST_QUEUE_S, node.meter.transmission_s(BYTES[LARGE]))
    assert node.longest_s <= most_s + most_short_s + 1e-9
    assert node.room.expected_bytes == 0
