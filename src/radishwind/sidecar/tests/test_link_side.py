"""Link and path costs are wired by the settings and the routes."""

import msgspec
import pytest
from tests.support.local_server import settings

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

REMOTE = Member("f", "s", "b", Address("10.0.0.2", 80))


def route(name, **fields):
    return Route(
        name, "h", "/", True, (WeightedService("s"),), 2.0, 0.8, 0, 1, **fields
    )


CONFIG = RouteConfig(1, (route("l", has_large_responses=True), route("s")), {})


@pytest.fixture
def clock():
    return ManualClock()


def make_link_side(clock, link_mbps=10.0):
    link_settings = msgspec.structs.replace(settings(), link_mbps=link_mbps)
    links = LinkSide(link_settings, clock)
    links.adopt(CONFIG)
    return links


def test_route_with_large_responses_is_costly_from_first_request(clock):
    path_costs = make_link_side(clock).path_costs(CROSS_DOMAIN_S)

    large, small = (
        path_costs.path_cost("b", 0, name, 0.0) for name in ("l", "s")
    )

    assert large.transmission_s == pytest.approx(DEFAULT_LARGE_BYTES * 8 / 10e6)
    assert small.transmission_s == 0
    assert large.penalty_s > small.penalty_s


def test_without_link_in_settings_path_costs_are_fixed(clock):
    links = make_link_side(clock, link_mbps=0.0)
    links.traffic.set_members((REMOTE,))
    links.record_round_trip(REMOTE.address, 0.3)
    path_costs, fixed = links.path_costs(CROSS_DOMAIN_S), FixedPathCosts("a")

    for domain in ("a", "b"):
        for name in ("l", "s"):
            cost = path_costs.path_cost(domain, 5_000, name, 0.0)
            assert cost == fixed.path_cost(domain, 0, name, 0.0)


def test_round_trip_is_recorded_for_domain_of_answering_node(clock):
    links = make_link_side(clock)
    links.record_round_trip(REMOTE.address, 0.3)
    assert links.round_trips.fresh_means_s(0.0) == {}
    links.traffic.set_members((REMOTE,))
    links.record_round_trip(REMOTE.address, 0.3)

    assert links.round_trips.fresh_means_s(0.0) == {"b": 0.3}
    assert (
        links.path_costs(CROSS_DOMAIN_S)
        .path_cost("b", 0, "s", 0.0)
        .round_trip_s
        == 0.3
    )
