"""A node and its backend server, as processes.

Guards against requests to a server that has not announced itself or is missing
from the inventory, probes into a full server, crashes reported as not run, and
requests cut by a planned stop of the server.
"""

import json
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
        fleet.start_node("bollettino-1", "bollettino", "genova-a")
        fleet.start_node("stranger-1", "bollettino", "genova-a")
        fleet.start_backend("stranger-1")
        fleet.apply("inventory", INVENTORY)
        yield fleet


def fetch_counters(fleet, target):
    url = fleet.backend_url(target) + "/standin/counters"
    return json.loads(fetch(url)[2])


def wait_served(fleet, path="/bollettino/x"):
    url = fleet.caller_url("bollettino-1") + path
    return wait_until(lambda: fetch(url)[0] == 200, url)


def test_requests_are_not_run_until_the_server_announces_itself(fleet):
    url = fleet.caller_url("bollettino-1") + "/bollettino/x"
    fields = wait_until(
        lambda: (
            fetch(url)[1]
            if fetch(url)[1].get("radishwind-code") == "3001"
            else None
        ),
        "the refusal",
    )
    assert fields["radishwind-outcome"] == "not-run"

    fleet.start_backend("bollettino-1", "--probe-ms", "1")
    wait_served(fleet)


def _is_announced_and_unlisted(fleet):
    # The node may get the inventory before the server announces itself.
    server = fleet.status("stranger-1")["server"]
    return server["listed"] is False and server["announced"]


def test_unlisted_server_is_reported_and_gets_no_requests(fleet):
    wait_served(fleet)
    wait_until(lambda: _is_announced_and_unlisted(fleet), "the status")
    assert fetch_counters(fleet, "stranger-1")["runs"] == {}


def test_idle_server_is_probed_and_the_cost_is_reported(fleet):
    wait_served(fleet)
    probing = wait_until(
        lambda: (
            fleet.status("bollettino-1")["probing"]
            if fleet.status("bollettino-1")["probing"]["cost_s"]
            else None
        ),
        "a probe",
    )
    assert probing["probes"] > 0
    assert fetch_counters(fleet, "bollettino-1")["probes_into_full"] == 0
    metrics = fetch(fleet.admin_url("bollettino-1") + "/v1/metrics")[2]
    for name in ("requests", "attempts", "time"):
        assert b'"radishwind.target.%s"' % name.encode() in metrics


def test_a_crash_is_unknown_once_and_the_suspect_is_known(fleet):
    wait_served(fleet)
    url = fleet.caller_url("bollettino-1") + "/bollettino/standin-crash"
    status, fields, _ = fetch(url, "POST", b"x")
    assert status == 502
    assert fields["radishwind-outcome"] == "unknown"
    assert fleet.processes["backend bollettino-1"].wait() == 70

    fleet.start_backend("bollettino-1")
    wait_served(fleet)
    assert "bollettino" in fleet.status("bollettino-1")["quarantine"]


def test_a_planned_stop_of_the_server_cuts_nothing(fleet):
    wait_served(fleet)
    backend = fleet.processes["backend bollettino-1"]
    backend.send(signal.SIGTERM)
    assert backend.wait() == 0
    assert fleet.status("bollettino-1")["leaving"]

    fleet.start_backend("bollettino-1")
    wait_served(fleet)
