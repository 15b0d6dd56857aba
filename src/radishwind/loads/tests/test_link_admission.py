"""A node admits no more attempts than its link can carry."""

from hypothesis import given
from hypothesis import strategies as st

from radishwind.core.clock import ManualClock
from radishwind.loads.link_admission import LinkAdmission
from radishwind.loads.link_admission import MAX_QUEUE_S
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
        self.admission = LinkAdmission(self.meter, sizes, self.clock)
        self.running = []
        self.admitted = {SMALL: 0, LARGE: 0}
        self.refused = {SMALL: 0, LARGE: 0}
        self.longest_queue_s = 0.0

    def request(self, route):
        size = self.admission.admit(route, self.load)
        if isinstance(size, NotRun):
            self.refused[route] += 1
            return
        self.admitted[route] += 1
        ends_at = self.clock.monotonic() + RUN_S
        self.running.append((ends_at, size, BYTES[route]))

    def advance(self, duration_s):
        until = self.clock.monotonic() + duration_s
        while self.running and self.running[0][0] <= until:
            ends_at, size, response_bytes = self.running.pop(0)
            self.clock.advance(max(0.0, ends_at - self.clock.monotonic()))
            self.meter.record_sent(response_bytes)
            self.admission.release(size)
            self.longest_queue_s = max(
                self.longest_queue_s, self.meter.queue_s()
            )
        self.clock.advance(max(0.0, until - self.clock.monotonic()))


def test_overload_by_large_responses_queues_briefly_and_small_ones_pass():
    """Offered load is three times the capacity of a link of 5 Mbit/s."""
    node = Node()
    for number in range(800):
        node.request(LARGE if number % 4 == 0 else SMALL)
        node.advance(0.0125)

    assert node.refused[SMALL] == 0
    assert node.refused[LARGE] > node.admitted[LARGE] > 0
    assert node.longest_queue_s < 0.5
    sent_bits = 8 * sum(n * BYTES[r] for r, n in node.admitted.items())
    assert sent_bits > 0.8 * MBPS * 1e6 * 10


def test_response_over_the_bound_is_admitted_if_nothing_is_queued():
    node = Node(mbps=0.5)
    node.request(LARGE)
    node.request(LARGE)

    assert node.admitted[LARGE] == node.refused[LARGE] == 1


def test_requests_queued_at_a_slow_server_do_not_queue_at_the_link():
    """Three slots with runs of 0.55 s produce half of what 10 Mbit/s carry."""
    node = Node(mbps=10, slots=3, run_s=0.55)
    for _ in range(12):
        node.request(LARGE)

    assert node.refused[LARGE] == 0


def test_nothing_is_refused_if_the_link_rate_is_unknown():
    node = Node(mbps=0)
    for _ in range(100):
        node.request(LARGE)

    assert node.refused[LARGE] == 0


def test_refusal_states_when_to_retry():
    node = Node()
    while not node.refused[LARGE]:
        node.request(LARGE)
    refusal = node.admission.admit(LARGE, node.load)

    assert 0 < refusal.retry_after_s < 1


@given(
    st.lists(
        st.tuples(st.sampled_from((SMALL, LARGE)), st.floats(0, 0.2)),
        max_size=150,
    )
)
def test_large_responses_never_queue_for_half_a_second(requests):
    node = Node()
    for route, pause_s in requests:
        node.request(route)
        node.advance(pause_s)
    node.advance(1.0)

    max_small_s = node.meter.transmission_s(BYTES[SMALL]) * node.admitted[SMALL]
    max_queue_s = max(MAX_QUEUE_S, node.meter.transmission_s(BYTES[LARGE]))
    assert node.longest_queue_s <= max_queue_s + max_small_s + 1e-9
    assert node.admission.expected_bytes == 0
