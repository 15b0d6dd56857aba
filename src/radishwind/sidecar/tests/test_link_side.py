"""Links and ways are wired by what the settings and the routes say."""

import msgspec
import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.routes.model import Route
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import WeightedService
from radishwind.routing.cost_weights import CROSS_DOMAIN_S
from radishwind.routing.path_costs import FixedPathCosts
from radishwind.routing.route_sizes import DEFAULT_LARGE_BYTES
from radishwind.sidecar.link_side import LinkSide
from radishwind.sidecar.tests.test_target_side import settings

FAR = Member("f", "s", "b", Address("10.0.0.2", 80))


def route(name, **fields):
    return Route(
        name, "h", "/", True, (WeightedService("s"),), 2.0, 0.8, 0, 1, **fields
    )


CONFIG = RouteConfig(1, (route("l", has_large_responses=True), route("s")), {})


@pytest.fixture
def clock():
    return ManualClock()


def side(clock, link_mbps=10.0):
    told = msgspec.structs.replace(settings(), link_mbps=link_mbps)
    made = LinkSide(told, clock)
    made.adopt(CONFIG)
    return made


def test_a_route_of_large_answers_is_dear_to_send_far_from_the_first(clock):
    ways = side(clock).path_costs(CROSS_DOMAIN_S)

    large, small = (ways.path_cost("b", 0, name, 0.0) for name in ("l", "s"))

    assert large.transmission_s == pytest.approx(DEFAULT_LARGE_BYTES * 8 / 10e6)
    assert small.transmission_s == 0
    assert large.penalty_s > small.penalty_s


def test_without_a_link_in_the_settings_ways_are_fixed(clock):
    made = side(clock, link_mbps=0.0)
    made.traffic.set_members((FAR,))
    made.record_round_trip(FAR.address, 0.3)
    ways, fixed = made.path_costs(CROSS_DOMAIN_S), FixedPathCosts("a")

    for domain in ("a", "b"):
        for name in ("l", "s"):
            way = ways.path_cost(domain, 5_000, name, 0.0)
            assert way == fixed.path_cost(domain, 0, name, 0.0)


def test_a_round_trip_counts_for_the_domain_of_the_node_that_answered(clock):
    made = side(clock)
    made.record_round_trip(FAR.address, 0.3)
    assert made.round_trips.fresh_means_s(0.0) == {}
    made.traffic.set_members((FAR,))
    made.record_round_trip(FAR.address, 0.3)

    assert made.round_trips.fresh_means_s(0.0) == {"b": 0.3}
    assert (
        made.path_costs(CROSS_DOMAIN_S).path_cost("b", 0, "s", 0.0).round_trip_s
        == 0.3
    )
