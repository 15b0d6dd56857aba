"""Tests for the matching, weighting and adoption of routes."""

import collections

import pytest

from radishwind.core import ManualClock
from radishwind.routes import ActiveRoutes
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import RouteTable
from radishwind.routes import WeightedService

ONE_SERVICE = (WeightedService("s"),)


def route(name, host="h", prefix="/", weighted_services=ONE_SERVICE):
    return Route(name, host, prefix, True, weighted_services, 1.0, 0.5, 1, 2)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/b/x", "ab"),
        ("h", "/a/bx", "a"),
        ("h", "/a/b", "a"),
        ("h", "/a/b/", "ab"),
        ("h", "/a/b/c?d=/a/b/c/", "ab"),
        ("h", "/z", None),
        ("other", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host_matches(host, path, name):
    table = RouteTable([route("a", prefix="/a/"), route("ab", prefix="/a/b/")])

    found = table.match(host, path)

    assert (found.name if found else None) == name


def test_requests_are_distributed_by_weight():
    split = route(
        "r",
        weighted_services=(
            WeightedService("x", 90),
            WeightedService("y", 9),
            WeightedService("z", 1),
        ),
    )
    table = RouteTable([split])

    counts = collections.Counter(table.next_service(split) for _ in range(200))

    assert counts == {"x": 180, "y": 18, "z": 2}


def test_service_without_weight_gets_no_requests():
    split = route(
        "r",
        weighted_services=(WeightedService("x", 0), WeightedService("y", 5)),
    )
    table = RouteTable([split])

    assert {table.next_service(split) for _ in range(50)} == {"y"}


def test_only_higher_versions_are_adopted():
    adopted = []
    active_routes = ActiveRoutes(ManualClock())
    active_routes.subscribe(lambda cfg: adopted.append(cfg.version))

    for version in (5, 3, 5, 9, 7):
        active_routes.adopt(
            RouteConfig(version, (), {}), b"%d" % version, "test"
        )

    assert adopted == [5, 9]
    assert (active_routes.version, active_routes.raw) == (9, b"9")
