"""Operator commands against real nodes and a failing store.

Guards against a change that is reported as accepted but not in force, a node
that goes back to an older revision after a restart in a store outage, and a
lost store response that is reported as accepted.
"""

import json
import pathlib

import pytest

from tests.support.processes import command
from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until

ONDA = pathlib.Path(__file__).parents[1] / "examples/onda"
TARGETS = (
    ("bollettino-1", "bollettino", "genova-a"),
    ("allerte-2", "allerte", "genova-b"),
    ("prenota-3", "prenota", "savona"),
)

pytestmark = pytest.mark.processes


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        for target, service, domain in TARGETS:
            fleet.start_node(target, service, domain)
        fleet.apply("inventory", ONDA / "inventory.json")
        yield fleet


def set_store_faults(fleet, **faults):
    url = f"http://{fleet.store}/standin/faults"
    assert fetch(url, "POST", json.dumps(faults).encode())[0] == 200


def wait_in_force(fleet, target, revision):
    wait_until(
        lambda: fleet.status(target)["config_revision"] == revision,
        f"revision {revision} at {target}",
    )


def admin_address(fleet, target):
    return fleet.admin_url(target).removeprefix("http://")


def test_a_change_is_waited_for_told_and_never_goes_back(fleet, tmp_path):
    rules = ONDA / "rules.json"
    options = (
        "--store",
        fleet.store,
        "--admin",
        admin_address(fleet, "allerte-2"),
    )
    for target, _, _ in TARGETS:
        wait_until(lambda t=target: fleet.status(t)["members"] == 3, "members")

    code, out, _ = command(
        "rules", "apply", *options, "--wait", "20", str(rules)
    )
    assert (code, "in force on 3 of 3 nodes" in out) == (0, True)

    code, out, _ = command(
        "rules", "apply", *options, "--base", "1", str(rules)
    )
    assert code == 75
    code, out, _ = command("status", *options[2:])
    assert (code, "revision 2 is in force on 3 of 3" in out) == (0, True)
    code, out, _ = command("changes", "show", "--store", fleet.store)
    assert (code, out.count("by "), out.index("revision 2") < 5) == (0, 2, True)

    set_store_faults(fleet, down="refuse")
    fleet.processes["node prenota-3"].end()
    fleet.start_node(*TARGETS[2], "--seeds", seed_address(fleet))
    wait_in_force(fleet, "prenota-3", 2)
    assert command("inventory", "show", *options[2:])[0] == 0
    code, _, err = command("rules", "apply", *options[:2], str(rules))
    assert (code, "RW-5001" in err) == (69, True)


def seed_address(fleet):
    return f"127.0.0.1:{fleet.ports['allerte-2'][2]}"


def test_lost_response_is_resolved_and_invalid_file_changes_nothing(
    fleet, tmp_path
):
    options = ("--store", fleet.store)
    faulty = tmp_path / "rules.json"
    faulty.write_text('{"services": {"nobody": {"slots": 1}}, "x": 1}')
    code, _, err = command("rules", "apply", *options, str(faulty))
    assert (code, err.count("unknown key")) == (65, 2)

    set_store_faults(fleet, lose_answers=2, lose_prefix="/radishwind/config/")
    code, _, err = command("rules", "apply", *options, str(ONDA / "rules.json"))
    assert (code, "not accepted" in err) == (69, True)
    set_store_faults(fleet)
    assert command("rules", "apply", *options, str(ONDA / "rules.json"))[0] == 0
    code, out, _ = command("changes", "show", *options, "--last", "1")
    change_id = out.split("change ")[1].split(",")[0]
    code, out, _ = command("changes", "show", *options, change_id)
    assert (code, "accepted" in out) == (0, True)
    wait_in_force(fleet, "bollettino-1", 2)
