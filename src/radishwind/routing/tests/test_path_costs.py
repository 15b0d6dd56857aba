"""Ways are weighed by what crosses and by what links have left."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.http.types import Address
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.routing.chooser import LoadReport
from radishwind.routing.cost_weights import CROSS_DOMAIN_S
from radishwind.routing.fresh_load_chooser import FreshLoadChooser
from radishwind.routing.path_costs import FixedPathCosts
from radishwind.routing.path_costs import KEPT_S
from radishwind.routing.path_costs import LinkPathCosts
from radishwind.routing.path_costs import MOST_PART
from radishwind.routing.round_trip_times import RoundTripTimes
from radishwind.routing.round_trip_times import STALE_AFTER_S
from radishwind.routing.route_sizes import DEFAULT_LARGE_BYTES
from radishwind.routing.route_sizes import MAX_ROUTES
from radishwind.routing.route_sizes import RouteSizes

AIM_S = 1.0
LINK_KBPS = 10_000
SMALL, LARGE = "small", "large"


def sizes():
    known = RouteSizes()
    known.learn(SMALL, 0, 1_500)
    known.learn(LARGE, 0, 90_000)
    return known


def ways(own_kbps=LINK_KBPS, known=None, trips=None, aim_s=AIM_S):
    return LinkPathCosts(
        own_domain="a",
        sizes=known or sizes(),
        trips=trips or RoundTripTimes(),
        own_free_kbps=lambda: own_kbps,
        aim_s=lambda route: aim_s,
    )


def test_large_answers_cost_more_than_small_ones_and_far_more_than_near():
    near, far = (
        ways().path_cost(domain, 0, LARGE, 0.0) for domain in ("a", "b")
    )

    assert ways().path_cost("b", 0, SMALL, 0.0).penalty_s < far.penalty_s / 10
    assert near.penalty_s < far.penalty_s
    assert near.transmission_s == far.transmission_s
    assert (near.round_trip_s, far.round_trip_s) == (0, CROSS_DOMAIN_S)


def test_a_fuller_link_at_either_end_costs_more():
    usual = ways().path_cost("b", LINK_KBPS, LARGE, 0.0)

    for fuller, free_kbps in (
        (ways(), LINK_KBPS // 2),
        (ways(LINK_KBPS // 2), LINK_KBPS),
    ):
        way = fuller.path_cost("b", free_kbps, LARGE, 0.0)
        assert way.transmission_s > usual.transmission_s


def test_a_way_is_a_fixed_one_where_no_link_is_told():
    for domain in ("a", "b"):
        way = ways(own_kbps=0).path_cost(domain, LINK_KBPS, LARGE, 0.0)
        assert way == FixedPathCosts("a").path_cost(domain, 0, LARGE, 0.0)


def test_a_route_without_answers_yet_is_taken_as_the_configuration_says():
    known = RouteSizes()
    known.expect_large(frozenset({"l"}))

    assert known.exchange_bytes("l") == DEFAULT_LARGE_BYTES
    assert known.exchange_bytes("s") == 0


def test_sizes_follow_a_route_whose_answers_change():
    known = RouteSizes()
    for _ in range(50):
        known.learn("r", 100, 1_000)
    for _ in range(200):
        known.learn("r", 0, 90_000)
    assert known.by_route()["r"].response_bytes > 80_000

    for _ in range(400):
        known.learn("r", 0, 1_000)
    assert known.by_route()["r"].response_bytes < 2_000
    assert known.by_route()["r"].large_response_bytes < 2_000


def test_the_routes_known_are_bounded():
    known = RouteSizes()
    for number in range(MAX_ROUTES + 5):
        known.learn(str(number), 1, 1)

    assert len(known.by_route()) == MAX_ROUTES


@given(
    own_kbps=st.integers(0, 10**7),
    free_kbps=st.integers(-1, 10**7),
    size=st.integers(0, 10**12),
    aim_s=st.floats(0, 1e4),
    domain=st.sampled_from(("a", "b")),
    trip_s=st.floats(0, 1e4),
)
def test_a_way_is_finite_and_bounded_by_what_the_caller_can_wait(
    own_kbps, free_kbps, size, aim_s, domain, trip_s
):
    known = RouteSizes()
    known.learn("r", size, size)
    trips = RoundTripTimes()
    trips.record("b", trip_s, 0.0)
    found = ways(own_kbps, known, trips, aim_s)

    way = found.path_cost(domain, free_kbps, "r", 1.0)

    most_s = CROSS_DOMAIN_S + trip_s + MOST_PART * aim_s
    for cost_s in (way.round_trip_s, way.transmission_s, way.penalty_s):
        assert math.isfinite(cost_s)
        assert 0 <= cost_s <= most_s


def test_a_longer_way_costs_its_time_and_a_shorter_one_no_less_than_usual():
    trips = RoundTripTimes()
    trips.record("b", 0.2, 0.0)
    trips.record("c", 0.01, 0.0)
    found = ways(known=RouteSizes(), trips=trips)

    long, short = (
        found.path_cost(domain, 0, SMALL, 1.0) for domain in ("b", "c")
    )

    assert long.round_trip_s == 0.2
    assert long.penalty_s == 0
    assert short.round_trip_s == 0.01
    assert short.round_trip_s + short.penalty_s == pytest.approx(CROSS_DOMAIN_S)


def test_a_stale_round_trip_is_given_up_and_learned_anew():
    trips = RoundTripTimes()
    trips.record("b", 3.0, 0.0)
    assert trips.mean_s("b", STALE_AFTER_S) == 3.0
    assert trips.mean_s("b", STALE_AFTER_S + 0.1) is None
    assert trips.fresh_means_s(STALE_AFTER_S + 0.1) == {}
    trips.record("b", 0.01, STALE_AFTER_S + 0.2)

    assert trips.mean_s("b", STALE_AFTER_S + 0.3) == 0.01


@given(st.lists(st.tuples(st.floats(0, 100), st.floats(0, 30)), max_size=60))
def test_a_mean_stays_between_the_round_trips_it_is_of(moves):
    trips, now, told = RoundTripTimes(), 0.0, []
    for trip_s, pause_s in moves:
        now += pause_s
        trips.record("b", trip_s, now)
        told.append(trip_s)
        mean_s = trips.mean_s("b", now)
        assert min(told) - 1e-9 <= mean_s <= max(told) + 1e-9


class Load:
    """Requests of two routes at a node whose own domain is short of room.

    Each server runs `SLOTS` at once; what waits does so in its order. The node
    hears each change of load at once.
    """

    SLOTS = 3
    WORK_S = 0.1

    def __init__(self, chooser, near, far):
        self.chooser = chooser
        self.targets = [
            Member(f"{domain}{n}", "s", domain, Address("10.0.0.1", 80))
            for domain, count in (("a", near), ("b", far))
            for n in range(count)
        ]
        self.free_at = {m.name: [0.0] * self.SLOTS for m in self.targets}
        self.order = 0
        self.crossed = {SMALL: 0, LARGE: 0}
        self.answer_s = {SMALL: [], LARGE: []}

    def tell(self, now):
        for name, slots in self.free_at.items():
            self.order += 1
            busy = sum(at > now for at in slots)
            queued_s = sum(max(0.0, at - now - self.WORK_S) for at in slots)
            queued = round(queued_s / self.WORK_S)
            self.chooser.receive_report(
                name,
                LoadReport(
                    self.SLOTS, busy, queued, 100.0, link_free_kbps=LINK_KBPS
                ),
                1,
                self.order,
                now,
            )

    def ask(self, route, now):
        self.tell(now)
        member = self.chooser.choose(
            self.targets, now, work=route, aim=now + AIM_S
        )
        slots = self.free_at[member.name]
        slots.sort()
        slots[0] = max(slots[0], now) + self.WORK_S
        self.answer_s[route].append(slots[0] - now)
        self.crossed[route] += member.failure_domain == "b"


def play(costs):
    chooser = FreshLoadChooser(
        random.Random(5),
        node_name="own",
        failure_domain="a",
        own_load=lambda: LoadReport(0, 0, 0, 0.0),
        path_costs=costs,
    )
    for route in (SMALL, LARGE):
        done = Done(Response(200))
        report = LoadReport(3, 0, 0, 100.0, normal_run_ms=100.0)
        chooser.attempt_started("a0", 0.0)
        chooser.attempt_finished("a0", 0.0, 0.0, done, report, route)
    load = Load(chooser, near=2, far=4)
    # Two servers of three slots do 60 a second; 75 come, a fifth large.
    for number in range(750):
        load.ask(LARGE if number % 5 == 0 else SMALL, number / 75)
    return load


def test_small_answers_leave_a_full_domain_first_and_all_are_in_time():
    """A domain is asked for a quarter more than its servers can do."""
    fixed, weighed = play(None), play(ways())

    assert fixed.crossed[LARGE] > 10
    assert weighed.crossed[LARGE] <= fixed.crossed[LARGE] / 4
    assert weighed.crossed[SMALL] > 10 * weighed.crossed[LARGE]
    for answer_s in weighed.answer_s.values():
        assert max(answer_s) < AIM_S


def choose_large(near_busy, far_busy=0):
    chooser = FreshLoadChooser(
        random.Random(5),
        node_name="own",
        failure_domain="a",
        own_load=lambda: LoadReport(0, 0, 0, 0.0),
        path_costs=ways(),
    )
    near, far = (Member(d, "s", d, Address("10.0.0.1", 80)) for d in ("a", "b"))
    done = LoadReport(3, 0, 0, 100.0, normal_run_ms=100.0)
    chooser.attempt_started("a", 0.0)
    chooser.attempt_finished("a", 0.0, 0.0, Done(Response(200)), done, LARGE)
    chooser.receive_report("a", LoadReport(3, near_busy, 0, 100.0), 1, 1, 0.0)
    chooser.receive_report("b", LoadReport(3, far_busy, 0, 100.0), 1, 1, 0.0)
    return chooser.choose((near, far), 0.0, work=LARGE, aim=AIM_S).name


def test_a_large_answer_stays_while_in_time_and_leaves_before_it_is_late():
    assert choose_large(near_busy=4) == "a"
    assert choose_large(near_busy=24) == "b"


def test_a_large_answer_stays_where_it_would_be_late_everywhere():
    """Load: both failure domains are asked for more than they can do."""
    assert choose_large(near_busy=40, far_busy=38) == "a"


def test_a_way_that_was_weighed_is_kept_for_a_moment_only():
    free_kbps = [LINK_KBPS]
    known = sizes()
    found = LinkPathCosts(
        own_domain="a",
        sizes=known,
        trips=RoundTripTimes(),
        own_free_kbps=lambda: free_kbps[0],
        aim_s=lambda route: AIM_S,
    )
    before = found.path_cost("b", 0, LARGE, 1.0)
    free_kbps[0] //= 2

    assert found.path_cost("b", 0, LARGE, 1.0 + KEPT_S / 2) == before
    assert (
        found.path_cost("b", 0, LARGE, 1.0 + KEPT_S).transmission_s
        > before.transmission_s
    )
