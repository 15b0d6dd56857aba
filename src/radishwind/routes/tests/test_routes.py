"""Routes are found by host and longest prefix, shared out, and only rise."""

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
def test_the_longest_prefix_of_the_host_counts(host, path, name):
    table = RouteTable([route("a", prefix="/a/"), route("ab", prefix="/a/b/")])

    found = table.match(host, path)

    assert (found.name if found else None) == name


def test_parts_get_their_shares_in_any_row_of_requests():
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


def test_a_part_of_no_weight_gets_nothing():
    split = route(
        "r",
        weighted_services=(WeightedService("x", 0), WeightedService("y", 5)),
    )
    table = RouteTable([split])

    assert {table.next_service(split) for _ in range(50)} == {"y"}


def test_versions_only_rise():
    heard = []
    active_routes = ActiveRoutes(ManualClock())
    active_routes.subscribe(lambda cfg: heard.append(cfg.version))

    for version in (5, 3, 5, 9, 7):
        active_routes.adopt(
            RouteConfig(version, (), {}), b"%d" % version, "test"
        )

    assert heard == [5, 9]
    assert (active_routes.version, active_routes.raw) == (9, b"9")
