"""Paths cost by the bytes transferred and the free capacity of links."""

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
from radishwind.routing.path_costs import CACHE_TTL_S
from radishwind.routing.path_costs import FixedPathCosts
from radishwind.routing.path_costs import LinkPathCosts
from radishwind.routing.path_costs import MAX_LINK_COST_FRACTION
from radishwind.routing.round_trip_times import RoundTripTimes
from radishwind.routing.round_trip_times import STALE_AFTER_S
from radishwind.routing.route_sizes import DEFAULT_LARGE_BYTES
from radishwind.routing.route_sizes import MAX_ROUTES
from radishwind.routing.route_sizes import RouteSizes

AIM_S = 1.0
LINK_KBPS = 10_000
SMALL, LARGE = "small", "large"


def learned_sizes():
    sizes = RouteSizes()
    sizes.learn(SMALL, 0, 1_500)
    sizes.learn(LARGE, 0, 90_000)
    return sizes


def link_costs(own_kbps=LINK_KBPS, sizes=None, round_trips=None, aim_s=AIM_S):
    return LinkPathCosts(
        own_domain="a",
        sizes=sizes or learned_sizes(),
        round_trips=round_trips or RoundTripTimes(),
        own_free_kbps=lambda: own_kbps,
        aim_s=lambda route: aim_s,
    )


def test_cost_grows_with_body_size_and_distance():
    local, remote = (
        link_costs().path_cost(domain, 0, LARGE, 0.0) for domain in ("a", "b")
    )

    assert (
        link_costs().path_cost("b", 0, SMALL, 0.0).penalty_s
        < remote.penalty_s / 10
    )
    assert local.penalty_s < remote.penalty_s
    assert local.transmission_s == remote.transmission_s
    assert (local.round_trip_s, remote.round_trip_s) == (0, CROSS_DOMAIN_S)


def test_busier_link_at_either_end_raises_the_cost():
    idle = link_costs().path_cost("b", LINK_KBPS, LARGE, 0.0)

    for costs, free_kbps in (
        (link_costs(), LINK_KBPS // 2),
        (link_costs(LINK_KBPS // 2), LINK_KBPS),
    ):
        cost = costs.path_cost("b", free_kbps, LARGE, 0.0)
        assert cost.transmission_s > idle.transmission_s


def test_costs_are_fixed_if_the_link_rate_is_unknown():
    for domain in ("a", "b"):
        cost = link_costs(own_kbps=0).path_cost(domain, LINK_KBPS, LARGE, 0.0)
        assert cost == FixedPathCosts("a").path_cost(domain, 0, LARGE, 0.0)


def test_size_before_the_first_response_is_taken_from_configuration():
    sizes = RouteSizes()
    sizes.expect_large(frozenset({"l"}))

    assert sizes.exchange_bytes("l") == DEFAULT_LARGE_BYTES
    assert sizes.exchange_bytes("s") == 0


def test_sizes_adapt_to_changed_responses():
    sizes = RouteSizes()
    for _ in range(50):
        sizes.learn("r", 100, 1_000)
    for _ in range(200):
        sizes.learn("r", 0, 90_000)
    assert sizes.by_route()["r"].response_bytes > 80_000

    for _ in range(400):
        sizes.learn("r", 0, 1_000)
    assert sizes.by_route()["r"].response_bytes < 2_000
    assert sizes.by_route()["r"].large_response_bytes < 2_000


def test_number_of_routes_is_bounded():
    sizes = RouteSizes()
    for number in range(MAX_ROUTES + 5):
        sizes.learn(str(number), 1, 1)

    assert len(sizes.by_route()) == MAX_ROUTES


@given(
    own_kbps=st.integers(0, 10**7),
    free_kbps=st.integers(-1, 10**7),
    size=st.integers(0, 10**12),
    aim_s=st.floats(0, 1e4),
    domain=st.sampled_from(("a", "b")),
    trip_s=st.floats(0, 1e4),
)
def test_costs_are_finite_and_bounded_by_the_latency_target(
    own_kbps, free_kbps, size, aim_s, domain, trip_s
):
    sizes = RouteSizes()
    sizes.learn("r", size, size)
    round_trips = RoundTripTimes()
    round_trips.record("b", trip_s, 0.0)
    costs = link_costs(own_kbps, sizes, round_trips, aim_s)

    cost = costs.path_cost(domain, free_kbps, "r", 1.0)

    max_cost_s = CROSS_DOMAIN_S + trip_s + MAX_LINK_COST_FRACTION * aim_s
    for cost_s in (cost.round_trip_s, cost.transmission_s, cost.penalty_s):
        assert math.isfinite(cost_s)
        assert 0 <= cost_s <= max_cost_s


def test_long_round_trip_counts_and_short_one_has_a_lower_bound():
    round_trips = RoundTripTimes()
    round_trips.record("b", 0.2, 0.0)
    round_trips.record("c", 0.01, 0.0)
    costs = link_costs(sizes=RouteSizes(), round_trips=round_trips)

    long, short = (
        costs.path_cost(domain, 0, SMALL, 1.0) for domain in ("b", "c")
    )

    assert long.round_trip_s == 0.2
    assert long.penalty_s == 0
    assert short.round_trip_s == 0.01
    assert short.round_trip_s + short.penalty_s == pytest.approx(CROSS_DOMAIN_S)


def test_stale_round_trip_is_discarded():
    round_trips = RoundTripTimes()
    round_trips.record("b", 3.0, 0.0)
    assert round_trips.mean_s("b", STALE_AFTER_S) == 3.0
    assert round_trips.mean_s("b", STALE_AFTER_S + 0.1) is None
    assert round_trips.fresh_means_s(STALE_AFTER_S + 0.1) == {}
    round_trips.record("b", 0.01, STALE_AFTER_S + 0.2)

    assert round_trips.mean_s("b", STALE_AFTER_S + 0.3) == 0.01


@given(st.lists(st.tuples(st.floats(0, 100), st.floats(0, 30)), max_size=60))
def test_mean_is_between_the_recorded_round_trips(trips):
    round_trips, now, recorded = RoundTripTimes(), 0.0, []
    for trip_s, pause_s in trips:
        now += pause_s
        round_trips.record("b", trip_s, now)
        recorded.append(trip_s)
        mean_s = round_trips.mean_s("b", now)
        assert min(recorded) - 1e-9 <= mean_s <= max(recorded) + 1e-9


class Simulation:
    """Requests of two routes at a node whose own domain is overloaded.

    Each server runs `SLOTS` requests at once and queues others in order. The
    node receives each change of load at once.
    """

    SLOTS = 3
    RUN_S = 0.1

    def __init__(self, chooser, local, remote):
        self.chooser = chooser
        self.targets = [
            Member(f"{domain}{n}", "s", domain, Address("10.0.0.1", 80))
            for domain, count in (("a", local), ("b", remote))
            for n in range(count)
        ]
        self.free_at = {m.name: [0.0] * self.SLOTS for m in self.targets}
        self.sequence = 0
        self.cross_domain_count = {SMALL: 0, LARGE: 0}
        self.response_s = {SMALL: [], LARGE: []}

    def send_reports(self, now):
        for name, slots in self.free_at.items():
            self.sequence += 1
            in_flight = sum(at > now for at in slots)
            queued_s = sum(max(0.0, at - now - self.RUN_S) for at in slots)
            queued = round(queued_s / self.RUN_S)
            self.chooser.receive_report(
                name,
                LoadReport(
                    self.SLOTS,
                    in_flight,
                    queued,
                    100.0,
                    link_free_kbps=LINK_KBPS,
                ),
                1,
                self.sequence,
                now,
            )

    def request(self, route, now):
        self.send_reports(now)
        member = self.chooser.choose(
            self.targets, now, route=route, aim=now + AIM_S
        )
        slots = self.free_at[member.name]
        slots.sort()
        slots[0] = max(slots[0], now) + self.RUN_S
        self.response_s[route].append(slots[0] - now)
        self.cross_domain_count[route] += member.failure_domain == "b"


def simulate(costs):
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
    simulation = Simulation(chooser, local=2, remote=4)
    # Two servers with three slots run 60 requests a second. The offered load is
    # 75, of which a fifth is large.
    for number in range(750):
        simulation.request(LARGE if number % 5 == 0 else SMALL, number / 75)
    return simulation


def test_small_responses_leave_a_full_domain_first_and_all_are_in_time():
    """Offered load exceeds the capacity of a domain by a quarter."""
    fixed, by_size = simulate(None), simulate(link_costs())

    assert fixed.cross_domain_count[LARGE] > 10
    assert (
        by_size.cross_domain_count[LARGE] <= fixed.cross_domain_count[LARGE] / 4
    )
    assert (
        by_size.cross_domain_count[SMALL]
        > 10 * by_size.cross_domain_count[LARGE]
    )
    for response_s in by_size.response_s.values():
        assert max(response_s) < AIM_S


def choose_large(local_in_flight, remote_in_flight=0):
    chooser = FreshLoadChooser(
        random.Random(5),
        node_name="own",
        failure_domain="a",
        own_load=lambda: LoadReport(0, 0, 0, 0.0),
        path_costs=link_costs(),
    )
    local, remote = (
        Member(d, "s", d, Address("10.0.0.1", 80)) for d in ("a", "b")
    )
    done = LoadReport(3, 0, 0, 100.0, normal_run_ms=100.0)
    chooser.attempt_started("a", 0.0)
    chooser.attempt_finished("a", 0.0, 0.0, Done(Response(200)), done, LARGE)
    chooser.receive_report(
        "a", LoadReport(3, local_in_flight, 0, 100.0), 1, 1, 0.0
    )
    chooser.receive_report(
        "b", LoadReport(3, remote_in_flight, 0, 100.0), 1, 1, 0.0
    )
    return chooser.choose((local, remote), 0.0, route=LARGE, aim=AIM_S).name


def test_large_response_leaves_its_domain_only_to_be_in_time():
    assert choose_large(local_in_flight=4) == "a"
    assert choose_large(local_in_flight=24) == "b"


def test_large_response_stays_if_it_would_be_late_everywhere():
    """Offered load exceeds the capacity of both failure domains."""
    assert choose_large(local_in_flight=40, remote_in_flight=38) == "a"


def test_computed_cost_is_cached_for_its_lifetime():
    free_kbps = [LINK_KBPS]
    sizes = learned_sizes()
    costs = LinkPathCosts(
        own_domain="a",
        sizes=sizes,
        round_trips=RoundTripTimes(),
        own_free_kbps=lambda: free_kbps[0],
        aim_s=lambda route: AIM_S,
    )
    before = costs.path_cost("b", 0, LARGE, 1.0)
    free_kbps[0] //= 2

    assert costs.path_cost("b", 0, LARGE, 1.0 + CACHE_TTL_S / 2) == before
    assert (
        costs.path_cost("b", 0, LARGE, 1.0 + CACHE_TTL_S).transmission_s
        > before.transmission_s
    )
