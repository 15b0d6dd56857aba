"""A request from caller to backend server, through separate processes.

Guards against a request that is not forwarded to a node of its service, fields
between nodes that reach the caller, and a stop that ends with an error.
"""

import pathlib
import signal

import pytest

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until

INVENTORY = (
    pathlib.Path(__file__).parents[1] / "examples/quickstart/inventory.json"
)

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        for target, service, domain in (
            ("bollettino-1", "bollettino", "genova-a"),
            ("prenota-1", "prenota", "savona"),
        ):
            fleet.start_backend(target)
            fleet.start_node(target, service, domain)
        fleet.apply("inventory", INVENTORY)
        for target in ("bollettino-1", "prenota-1"):
            for path in ("/bollettino/x", "/prenota/x"):
                url = fleet.caller_url(target) + path
                wait_until(lambda url=url: fetch(url)[0] == 200, url)
        yield fleet


def test_request_is_forwarded_to_the_node_of_the_target(fleet):
    url = fleet.caller_url("prenota-1") + "/bollettino/spots/recco"

    status, fields, body = fetch(url)

    assert status == 200
    assert body.startswith(b"bollettino-1 ran GET /bollettino/spots/recco")
    assert not [name for name in fields if name.startswith("radishwind-node")]


def test_unknown_service_is_reported_as_not_run(fleet):
    status, fields, _ = fetch(fleet.caller_url("prenota-1") + "/nobody")

    assert status == 404
    assert fields["radishwind-outcome"] == "not-run"
    assert fields["radishwind-code"] == "2003"


def test_planned_stop_ends_with_success(fleet):
    node = fleet.processes["node prenota-1"]

    node.send(signal.SIGTERM)

    assert node.wait() == 0
