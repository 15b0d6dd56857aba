"""Keyed calls through real processes.

Guards against a repeated key that runs again, also after the node that handled
it was killed, and against a store outage that is reported as not run.
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


@pytest.fixture
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
            url = fleet.caller_url(target) + "/prenota/x"
            wait_until(lambda url=url: fetch(url)[0] == 200, url)
        yield fleet


def _book(fleet: Fleet, target: str, key: str, body: bytes = b"tavola"):
    url = fleet.caller_url(target) + "/prenota/book"
    return fetch(url, "POST", body, {"Idempotency-Key": key})


def _are_claims_written(fleet: Fleet, target: str) -> bool:
    return fleet.status(target)["claims_unwritten"] == 0


def test_repeat_gets_the_recorded_answer_at_any_node(fleet):
    status, fields, body = _book(fleet, "bollettino-1", "k")
    assert (status, fields.get("radishwind-replayed")) == (200, None)
    wait_until(lambda: _are_claims_written(fleet, "bollettino-1"), "the result")

    for target in ("bollettino-1", "prenota-1"):
        again = _book(fleet, target, "k")
        assert again[0] == 200
        assert again[2] == body
        assert again[1]["radishwind-replayed"] == "true"
    assert _book(fleet, "prenota-1", "k", b"altra")[0] == 422


def test_result_outlives_a_killed_node_and_an_outage_is_reported(fleet):
    body = _book(fleet, "bollettino-1", "k")[2]
    wait_until(lambda: _are_claims_written(fleet, "bollettino-1"), "the result")
    fleet.processes["node bollettino-1"].send(signal.SIGKILL)

    assert _book(fleet, "prenota-1", "k")[2] == body

    fleet.processes["store"].send(signal.SIGKILL)
    fleet.processes["store"].wait()
    status, fields, _ = _book(fleet, "prenota-1", "new")
    assert (status, fields["radishwind-code"]) == (503, "4006")
    assert fields["radishwind-outcome"] == "unknown"
    url = fleet.caller_url("prenota-1") + "/prenota/x"
    assert fetch(url, "POST", b"no key")[0] == 200
