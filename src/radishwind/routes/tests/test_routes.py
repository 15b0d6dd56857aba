"""Routes are found by host and longest prefix, shared out, and only rise."""

import collections

import pytest

from radishwind.core import ManualClock
from radishwind.routes import Part
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import RoutesInForce
from radishwind.routes import RouteTable

ONE_PART = (Part("s"),)


def route(name, host="h", prefix="/", parts=ONE_PART):
    return Route(name, host, prefix, True, parts, 1.0, 0.5, 1, 2)


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
    split = route("r", parts=(Part("x", 90), Part("y", 9), Part("z", 1)))
    table = RouteTable([split])

    counts = collections.Counter(table.service_of(split) for _ in range(200))

    assert counts == {"x": 180, "y": 18, "z": 2}


def test_a_part_of_no_weight_gets_nothing():
    split = route("r", parts=(Part("x", 0), Part("y", 5)))
    table = RouteTable([split])

    assert {table.service_of(split) for _ in range(50)} == {"y"}


def test_versions_only_rise():
    heard = []
    in_force = RoutesInForce(ManualClock())
    in_force.listen(lambda cfg: heard.append(cfg.version))

    for version in (5, 3, 5, 9, 7):
        in_force.adopt(RouteConfig(version, (), {}), b"%d" % version, "test")

    assert heard == [5, 9]
    assert (in_force.version, in_force.raw) == (9, b"9")
